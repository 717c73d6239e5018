"""Who may start tasks, and the truth about the tasks of an owner that has died."""

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
    "OwnerClosure",
    "OwnedWorker",
    "OwnerRecord",
    "PastWorker",
    "TaskRecord",
    "TaskRecordState",
    "JobOutcome",
    "JobOutcomeKind",
    "owner_key",
]
