"""Scheduling of jobs on pools of workers: leader election, placement and run tracking.

The load policies are in ``ordering``, ``worker_selection`` and ``refusing``.
"""

from cranberryshore.pool.cancelling import CancelledJobs, CancelSpread, OwedReply
from cranberryshore.pool.claims import Claim, Member, MemberAddress
from cranberryshore.pool.config import PoolConfig, QueueSpec, VersionedQueue
from cranberryshore.pool.confirmation import ConfigConfirmation
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.departures import Departure
from cranberryshore.pool.effects import (
    InterferenceChanged,
    JobEnded,
    PollWorker,
    PoolEffect,
    ResumedJobReleased,
    SpeedsChanged,
    StartRun,
    StopRun,
    UnsuccessfulRun,
    WorkerLossJudged,
    WorkerLost,
)
from cranberryshore.pool.group import Group
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.lost_run import LossState, LostRun
from cranberryshore.pool.roster import RosterHistory
from cranberryshore.pool.scheduler import Scheduler
from cranberryshore.pool.scheduling_policy import SchedulingPolicy
from cranberryshore.pool.start_rights import AcknowledgedRights, StartRights
from cranberryshore.pool.stream import ReceiveStream, SendStream
from cranberryshore.pool.work import Outcome, StepSpec, WorkRequest
from cranberryshore.pool.worker_registration import WorkerListing, WorkerRegistration
from cranberryshore.pool.worker_status import (
    EndKind,
    ReportedEnd,
    ReportedRun,
    RunKey,
    WorkerStatus,
)

__all__ = [
    "AcknowledgedRights",
    "CancelSpread",
    "CancelledJobs",
    "Claim",
    "ConfigConfirmation",
    "CrashHistory",
    "Departure",
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
    "SchedulingPolicy",
    "InterferenceChanged",
    "SpeedsChanged",
    "UnsuccessfulRun",
    "WorkerListing",
    "WorkerLossJudged",
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
