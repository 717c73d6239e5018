"""Pools of workers under fencing tokens: who schedules them, and what runs where.

The modules that decide about load are ``ordering``, ``placing`` and ``refusing``.
"""

from cranberryshore.pool.config import PoolConfig, QueueSpec
from cranberryshore.pool.effects import JobEnded, LookAt, PoolEffect, RunLost, StartRun, StopRun
from cranberryshore.pool.group import Claim, Group, Member, MemberAddress
from cranberryshore.pool.held_worker import (
    EndKind,
    HeldWorker,
    HoldState,
    ListedEnd,
    ListedRun,
    LookAnswer,
    RunKey,
)
from cranberryshore.pool.roster import WorkerEntry
from cranberryshore.pool.scheduler import Scheduler
from cranberryshore.pool.stream import InStream, OutStream
from cranberryshore.pool.work import Outcome, StepSpec, WorkRequest

__all__ = [
    "Claim",
    "EndKind",
    "Group",
    "HeldWorker",
    "HoldState",
    "InStream",
    "JobEnded",
    "ListedEnd",
    "ListedRun",
    "LookAnswer",
    "LookAt",
    "Member",
    "MemberAddress",
    "Outcome",
    "OutStream",
    "PoolConfig",
    "PoolEffect",
    "QueueSpec",
    "RunKey",
    "RunLost",
    "Scheduler",
    "StartRun",
    "StepSpec",
    "StopRun",
    "WorkRequest",
    "WorkerEntry",
]
