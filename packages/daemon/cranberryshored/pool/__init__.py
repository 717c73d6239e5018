"""Entry instance of a worker pool whose scheduler is protected by fencing tokens."""

from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.protocols import (
    PollFailure,
    PollRequest,
    Registry,
    StartReply,
    WorkerCalls,
)

__all__ = ["PollFailure", "PollRequest", "PoolDaemon", "Registry", "StartReply", "WorkerCalls"]
