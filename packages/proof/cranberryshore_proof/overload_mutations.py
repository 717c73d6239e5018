"""Mutations of a pool that concern overloads of the control path.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

from collections.abc import Callable

from cranberryshore.pool.overload import EntryGate, LoadEstimator, StartedJobs, estimator, gate
from cranberryshore.pool.overload.unsettled_jobs import UnsettledJobs
from cranberryshored.pool import entry_service, overload_control
from cranberryshored.pool.overload_control import EntryOverload, SchedulerLoad

OVERLOAD_TEST_MODULES = (
    "cranberryshore.pool.overload.tests.test_control_replay",
    "cranberryshore.pool.overload.tests.test_estimator",
    "cranberryshore.pool.overload.tests.test_gate",
    "cranberryshore.pool.overload.tests.test_started_jobs",
    "cranberryshored.pool.tests.test_overload_control",
)


def _constant(value: object) -> Callable:
    return lambda *arguments: value


def _refuse_any_late(is_late: bool, may_have_run: bool, is_resumed: bool) -> bool:
    return is_late


def _refuse_any_dropped(is_late: bool, may_have_run: bool, is_resumed: bool) -> bool:
    return not may_have_run and not is_resumed


def _keep_estimate(self: SchedulerLoad, moment: float) -> None:
    claim = self.exchange.group.claim
    self.term = claim.term if claim is not None else 0


OVERLOAD_MUTATIONS = (
    ("overload: credit is not used", EntryGate, "admits", _constant(True)),
    ("overload: any job uses the last credit", gate, "OPEN_SHARE", 0.999),
    ("overload: retries are not spread", gate, "crc32", _constant(0)),
    ("overload: it is never noticed", LoadEstimator, "_begin_if_overloaded", _constant(None)),
    ("overload: it never ends", estimator, "CALM_UPDATES", 10**9),
    ("overload: a pause is one", estimator, "OVERLOADED_UPDATES", 1),
    ("overload: a used limit ends", estimator, "UNUSED_SHARE", 1e9),
    ("overload: equal credit", estimator, "EQUAL_SHARE", 1.0),
    ("overload: credit never falls", LoadEstimator, "_decrease", _constant(1.0)),
    ("overload: late jobs are repeated", overload_control, "may_refuse_late_job", _constant(False)),
    (
        "overload: jobs that may have run are refused",
        overload_control,
        "may_refuse_late_job",
        _refuse_any_late,
    ),
    (
        "overload: all dropped jobs are refused",
        overload_control,
        "may_refuse_late_job",
        _refuse_any_dropped,
    ),
    ("overload: all late jobs are unknown", SchedulerLoad, "may_have_started", _constant(False)),
    ("overload: early reports", SchedulerLoad, "_is_informed", _constant(True)),
    ("overload: credit outlives its claim", SchedulerLoad, "_follow_claim", _keep_estimate),
    ("overload: started jobs are refused", overload_control, "may_contain", _constant(False)),
    ("overload: started jobs are forgotten", StartedJobs, "add", _constant(None)),
    ("overload: repeated jobs are refused", UnsettledJobs, "contains", _constant(False)),
    ("overload: stale credit holds", EntryOverload, "_has_scheduler", _constant(True)),
    ("overload: jobs wait in vain", EntryOverload, "can_wait", _constant(True)),
    ("overload: no job waits for a scheduler", EntryOverload, "can_wait", _constant(False)),
    (
        "overload: untried jobs are not counted",
        entry_service,
        "is_untried_too_long",
        _constant(False),
    ),
)
