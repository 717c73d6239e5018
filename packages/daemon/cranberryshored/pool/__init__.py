"""Entry instance of a worker pool in which fencing tokens protect the workers."""

from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.protocols import (
    PollFailure,
    PollRequest,
    Registry,
    StartReply,
    WorkerCalls,
)

__all__ = ["PollFailure", "PollRequest", "PoolDaemon", "Registry", "StartReply", "WorkerCalls"]
