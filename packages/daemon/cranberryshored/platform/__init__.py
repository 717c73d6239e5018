"""Interfaces and clients of the key-value store, the instance list and the workers."""

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
