"""Sharing of workers and upstreams between the entry instances of an availability zone."""

from cranberryshore.placement.assignment import Assignment, assign_balanced
from cranberryshore.placement.health import PoolHealth, WorkerHealth
from cranberryshore.placement.shared_pool import Grant, LoanRequest, SharedPool, SharedResource

__all__ = [
    "Assignment",
    "Grant",
    "PoolHealth",
    "SharedResource",
    "SharedPool",
    "LoanRequest",
    "WorkerHealth",
    "assign_balanced",
]
