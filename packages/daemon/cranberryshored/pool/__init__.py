"""The entry instance of a pool of workers under fencing tokens."""

from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.protocols import (
    Look,
    LookFailure,
    Registry,
    StartReply,
    WorkerCalls,
)

__all__ = ["Look", "LookFailure", "PoolDaemon", "Registry", "StartReply", "WorkerCalls"]
