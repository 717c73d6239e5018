"""Events of the timeline."""

from enum import Enum

import attrs

from cranberryshore.timeline.clock import HybridTimestamp


class EventKind(Enum):
    """Kind of an event."""

    PROCESS_STARTED = "process_started"
    PROCESS_DRAINING = "process_draining"
    JOB_SUBMITTED = "job_submitted"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOB_ANSWERED = "job_answered"
    # The outcome of a job whose issuer has died was sought in the records of its workers.
    JOB_TRUTH = "job_truth"
    TASKS_STARTED = "tasks_started"
    TASKS_STOPPED = "tasks_stopped"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_APPLIED = "configuration_applied"
    MEMBER_JOINED = "member_joined"
    MEMBER_SUSPECTED = "member_suspected"
    MEMBER_LEFT = "member_left"
    OWNER_CLOSED = "owner_closed"
    OWNER_RETIRED = "owner_retired"
    WORKER_ADDED = "worker_added"
    WORKER_LOST = "worker_lost"
    STORE_UNREACHABLE = "store_unreachable"
    STORE_REACHABLE = "store_reachable"


@attrs.frozen
class Event:
    """One event of one process.

    Parameters
    ----------
    stamp : HybridTimestamp
        Hybrid logical time.
    process : str
        Incarnation of the process.
    kind : EventKind
        Kind of the event.
    subject : str
        Id of the job or request, or name of the member, worker or resource; empty if the event
        concerns the whole process.
    detail : str
        Short sentence or value whose meaning depends on the kind.
    count : int
        Number of tasks, for kinds that concern tasks.
    """

    stamp: HybridTimestamp
    process: str
    kind: EventKind
    subject: str = ""
    detail: str = ""
    count: int = 0
