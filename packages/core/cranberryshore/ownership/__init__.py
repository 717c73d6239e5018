"""Who may start tasks, and the truth about the tasks of an owner that has died."""

from cranberryshore.ownership.closure import Closure, Truth, TruthKind
from cranberryshore.ownership.record import (
    OwnedWorker,
    OwnerRecord,
    PastWorker,
    TaskRecord,
    TaskRecordState,
    owner_key,
)

__all__ = [
    "Closure",
    "OwnedWorker",
    "OwnerRecord",
    "PastWorker",
    "TaskRecord",
    "TaskRecordState",
    "Truth",
    "TruthKind",
    "owner_key",
]
