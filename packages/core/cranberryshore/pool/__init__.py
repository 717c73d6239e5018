"""Scheduling of jobs on pools of workers: leader election, placement and run tracking.

The load policies are in ``ordering``, ``worker_selection`` and ``refusing``.
"""

from cranberryshore.pool.cancelling import CancelledJobs, CancelSpread, OwedReply
from cranberryshore.pool.claims import Claim, Member, MemberAddress
from cranberryshore.pool.config import PoolConfig, QueueSpec, VersionedQueue
from cranberryshore.pool.confirmation import ConfigConfirmation
from cranberryshore.pool.crashes import CrashHistory, LossState, LostRun
from cranberryshore.pool.effects import (
    JobEnded,
    PollWorker,
    PoolEffect,
    ResumedJobReleased,
    StartRun,
    StopRun,
    UnsuccessfulRun,
    WorkerLost,
)
from cranberryshore.pool.group import Group
from cranberryshore.pool.held_worker import (
    EndKind,
    HeldWorker,
    HoldState,
    ReportedEnd,
    ReportedRun,
    RunKey,
    WorkerStatus,
)
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.roster import RosterHistory
from cranberryshore.pool.scheduler import Scheduler
from cranberryshore.pool.start_rights import AcknowledgedRights, StartRights
from cranberryshore.pool.stream import ReceiveStream, SendStream
from cranberryshore.pool.work import Outcome, StepSpec, WorkRequest
from cranberryshore.pool.worker_registration import WorkerRegistration

__all__ = [
    "AcknowledgedRights",
    "CancelSpread",
    "CancelledJobs",
    "Claim",
    "ConfigConfirmation",
    "CrashHistory",
    "EndKind",
    "FailureCause",
    "Group",
    "HeldWorker",
    "HoldState",
    "ReceiveStream",
    "JobEnded",
    "JobFailure",
    "LossState",
    "LostRun",
    "ReportedEnd",
    "ReportedRun",
    "WorkerStatus",
    "PollWorker",
    "Member",
    "MemberAddress",
    "Outcome",
    "OwedReply",
    "SendStream",
    "PoolConfig",
    "PoolEffect",
    "QueueSpec",
    "ResumedJobReleased",
    "RosterHistory",
    "RunKey",
    "UnsuccessfulRun",
    "WorkerLost",
    "Scheduler",
    "StartRights",
    "StartRun",
    "StepSpec",
    "StopRun",
    "VersionedQueue",
    "WorkRequest",
    "WorkerRegistration",
]
