"""Ownership of tasks, and recovery of job outcomes after an owner has died."""

from cranberryshore.ownership.closure import JobOutcome, JobOutcomeKind, OwnerClosure
from cranberryshore.ownership.record import (
    OwnedWorker,
    OwnerRecord,
    PastWorker,
    TaskRecord,
    TaskRecordState,
    owner_key,
)

__all__ = [
    "JobOutcome",
    "JobOutcomeKind",
    "OwnedWorker",
    "OwnerClosure",
    "OwnerRecord",
    "PastWorker",
    "TaskRecord",
    "TaskRecordState",
    "owner_key",
]
