"""Overload of the control path: load estimate of a scheduler, and admission at entry instances."""

from cranberryshore.pool.overload.estimator import LoadEstimator
from cranberryshore.pool.overload.gate import EntryGate, spread_retry_ms
from cranberryshore.pool.overload.load_report import LoadReport
from cranberryshore.pool.overload.rules import can_wait_for_scheduler, may_refuse_late_job
from cranberryshore.pool.overload.started_jobs import StartedJobs, may_contain
from cranberryshore.pool.overload.unsettled_jobs import UnsettledJobs

__all__ = [
    "EntryGate",
    "LoadEstimator",
    "LoadReport",
    "StartedJobs",
    "UnsettledJobs",
    "can_wait_for_scheduler",
    "may_contain",
    "may_refuse_late_job",
    "spread_retry_ms",
]
