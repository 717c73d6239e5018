"""Input events of a dispatcher."""

import attrs

from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.placement.assignment import Assignment
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import TaskResult
from cranberryshore.work.task import JobRequest


class Input:
    """Base class of inputs."""


@attrs.frozen
class Submit(Input):
    """A caller submits a job under an id that the ledger has confirmed as unused."""

    id: SubmissionId
    caller: str
    request: JobRequest


@attrs.frozen
class Cancel(Input):
    """The caller cancels a job."""

    id: SubmissionId


@attrs.frozen
class WorkerAdded(Input):
    """A worker incarnation was added to this owner's record in the store and may be used."""

    worker: str
    incarnation: str
    total: Capacity


@attrs.frozen
class WorkerOpened(Input):
    """A session with a worker was opened.

    ``known`` holds the job id and index of every task that the worker has received from this owner.
    """

    worker: str
    incarnation: str
    known: tuple[tuple[str, int], ...]


@attrs.frozen
class WorkerLost(Input):
    """A worker incarnation was lost, is leaving, or has not responded for too long.

    With ``is_leaving`` its running tasks continue, but it receives no new ones.
    """

    worker: str
    incarnation: str
    is_leaving: bool = False


@attrs.frozen
class TasksFinished(Input):
    """A worker reports task results, as pairs of a job id and a result."""

    worker: str
    results: tuple[tuple[str, TaskResult], ...]


@attrs.frozen
class TasksRejected(Input):
    """A worker refused to start tasks, given by job id and index; none of them ran."""

    worker: str
    tasks: tuple[tuple[str, int], ...]


@attrs.frozen
class WorkerIsolated(Input):
    """A peer isolated a worker incarnation because of repeated task failures."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class UsageReported(Input):
    """A worker reports the capacity that other owners use on it."""

    worker: str
    usage: dict[str, Capacity]


@attrs.frozen
class Assigned(Input):
    """The assignment of workers to instances has changed."""

    assignment: Assignment


@attrs.frozen
class LoanHeld(Input):
    """A peer reports the capacity it uses on workers newly assigned to this instance."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanWanted(Input):
    """A peer requests capacity; a count of zero withdraws the request."""

    peer: str
    demand: Capacity
    count: int


@attrs.frozen
class LoanGranted(Input):
    """A peer lends capacity."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanReturned(Input):
    """A peer returns borrowed capacity."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoansRecalled(Input):
    """A peer asks for the return of capacity that it has lent."""

    peer: str
    workers: frozenset[str]


@attrs.frozen
class PeerDead(Input):
    """A peer of the zone failed or left."""

    peer: str


@attrs.frozen
class PeerDemand(Input):
    """A peer or another zone reports its demand by team, in millicores.

    If ``is_whole`` is true, teams that are not listed have no demand; otherwise the last
    reported demand of those teams remains valid.
    """

    peer: str
    demands: dict[str, int]
    is_whole: bool = True


@attrs.frozen
class QuotasSet(Input):
    """The configuration sets the quota of each team, in millicores across all zones."""

    limits: dict[str, int]


@attrs.frozen
class LimitsSet(Input):
    """The configuration sets the limits of the queue."""

    queued_tasks: int
    longest_wait_ms: int


@attrs.frozen
class OwnerClosed(Input):
    """A peer closed this owner in the store; its record or a worker says so."""

    owner: str


@attrs.frozen
class OwnershipDoubted(Input):
    """The process was paused, and a peer may have closed the owner meanwhile."""


@attrs.frozen
class OwnershipConfirmed(Input):
    """The owner was not closed in the store when asked at ``asked_at``."""

    owner: str
    asked_at: float


@attrs.frozen
class OwnerNamed(Input):
    """The process has adopted a new incarnation, under which it may start jobs."""

    owner: str


@attrs.frozen
class Drain(Input):
    """The instance is shutting down and accepts no new jobs.

    With ``is_final``, jobs that still have waiting tasks are failed.
    """

    is_final: bool = False


@attrs.frozen
class Tick(Input):
    """Periodic timer event."""
