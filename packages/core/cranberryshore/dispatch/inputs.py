"""Everything that can happen to a dispatcher, as typed messages."""

import attrs

from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.placement.assignment import Assignment
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import TaskResult
from cranberryshore.work.task import JobRequest


class Input:
    """Base of all inputs."""


@attrs.frozen
class Submit(Input):
    """A caller submits a job under an id that the ledger has found fresh."""

    id: SubmissionId
    caller: str
    request: JobRequest


@attrs.frozen
class Cancel(Input):
    """The caller withdraws a job."""

    id: SubmissionId


@attrs.frozen
class WorkerAdded(Input):
    """A worker incarnation is in this owner's record in the store and may be used."""

    worker: str
    incarnation: str
    total: Capacity


@attrs.frozen
class WorkerOpened(Input):
    """A session with a worker is open.

    Parameters
    ----------
    worker : str
        Name of the worker.
    incarnation : str
        Incarnation that answered.
    known : tuple of (str, int)
        Job id and index of every task that the worker has received from this owner.
    """

    worker: str
    incarnation: str
    known: tuple[tuple[str, int], ...]


@attrs.frozen
class WorkerLost(Input):
    """A worker incarnation is gone, leaving, or silent for too long.

    ``is_leaving`` keeps what runs and stops new work.
    """

    worker: str
    incarnation: str
    is_leaving: bool = False


@attrs.frozen
class TasksFinished(Input):
    """A worker reports results; each entry is a job id and the result of one of its tasks."""

    worker: str
    results: tuple[tuple[str, TaskResult], ...]


@attrs.frozen
class TasksRejected(Input):
    """A worker has refused to start tasks and has not run them."""

    worker: str
    tasks: tuple[tuple[str, int], ...]


@attrs.frozen
class WorkerIsolated(Input):
    """A peer has isolated a worker incarnation on which everything fails."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class UsageReported(Input):
    """A worker reports what other owners hold on it."""

    worker: str
    usage: dict[str, Capacity]


@attrs.frozen
class Assigned(Input):
    """The workers assigned to this instance have changed."""

    assignment: Assignment


@attrs.frozen
class LoanHeld(Input):
    """A peer tells what it holds on workers that have just been assigned here."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanWanted(Input):
    """A peer asks for room; a count of zero withdraws the request."""

    peer: str
    demand: Capacity
    count: int


@attrs.frozen
class LoanGranted(Input):
    """A peer lends room."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanReturned(Input):
    """A peer returns room."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoansRecalled(Input):
    """A peer needs what it has lent."""

    peer: str
    workers: frozenset[str]


@attrs.frozen
class PeerDead(Input):
    """A peer of the zone has died or left."""

    peer: str


@attrs.frozen
class PeerDemand(Input):
    """A peer or another zone reports its demand by team, in millicores.

    ``is_whole`` tells that teams which are not named have none.
    """

    peer: str
    demands: dict[str, int]
    is_whole: bool = True


@attrs.frozen
class QuotasSet(Input):
    """The configuration sets the teams' quotas, in millicores over the fleet."""

    limits: dict[str, int]


@attrs.frozen
class LimitsSet(Input):
    """The configuration sets the limits of the queue."""

    queued_tasks: int
    longest_wait_ms: int


@attrs.frozen
class OwnerClosed(Input):
    """A worker refuses this owner, because a peer has closed it in the store."""

    owner: str


@attrs.frozen
class OwnerNamed(Input):
    """The process has taken an incarnation, in whose name it may start jobs from now on."""

    owner: str


@attrs.frozen
class Drain(Input):
    """The instance leaves: nothing is accepted any more.

    ``is_final`` refuses what still waits.
    """

    is_final: bool = False


@attrs.frozen
class Tick(Input):
    """Time has passed."""
