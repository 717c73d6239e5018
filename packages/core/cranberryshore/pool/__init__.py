"""Scheduling of jobs on pools of workers: leader election, placement and run tracking.

The load policies are in ``ordering``, ``worker_selection`` and ``refusing``.
"""

from cranberryshore.pool.config import PoolConfig, QueueSpec
from cranberryshore.pool.effects import (
    JobEnded,
    PollWorker,
    PoolEffect,
    StartRun,
    StopRun,
    UnsuccessfulRun,
)
from cranberryshore.pool.group import Claim, Group, Member, MemberAddress
from cranberryshore.pool.held_worker import (
    EndKind,
    HeldWorker,
    HoldState,
    ReportedEnd,
    ReportedRun,
    RunKey,
    WorkerStatus,
)
from cranberryshore.pool.scheduler import Scheduler
from cranberryshore.pool.stream import ReceiveStream, SendStream
from cranberryshore.pool.work import Outcome, StepSpec, WorkRequest
from cranberryshore.pool.worker_registration import WorkerRegistration

__all__ = [
    "Claim",
    "EndKind",
    "Group",
    "HeldWorker",
    "HoldState",
    "ReceiveStream",
    "JobEnded",
    "ReportedEnd",
    "ReportedRun",
    "WorkerStatus",
    "PollWorker",
    "Member",
    "MemberAddress",
    "Outcome",
    "SendStream",
    "PoolConfig",
    "PoolEffect",
    "QueueSpec",
    "RunKey",
    "UnsuccessfulRun",
    "Scheduler",
    "StartRun",
    "StepSpec",
    "StopRun",
    "WorkRequest",
    "WorkerRegistration",
]
