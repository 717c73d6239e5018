"""Clients of the platform: key-value store, instance list and worker sessions."""

from cranberryshored.platform.instance_list import (
    HttpInstanceList,
    InstanceKind,
    InstanceList,
    ListedInstance,
    Listing,
)
from cranberryshored.platform.store import (
    Entry,
    HttpStore,
    KeyListing,
    Store,
    StoreConflict,
    StoreFailure,
    StoreUnavailable,
    WatchCompacted,
    WatchResult,
)
from cranberryshored.platform.worker_link import WorkerEvents, WorkerLink

__all__ = [
    "Entry",
    "HttpInstanceList",
    "HttpStore",
    "InstanceKind",
    "InstanceList",
    "KeyListing",
    "ListedInstance",
    "Listing",
    "Store",
    "StoreConflict",
    "StoreFailure",
    "StoreUnavailable",
    "WatchCompacted",
    "WatchResult",
    "WorkerEvents",
    "WorkerLink",
]
