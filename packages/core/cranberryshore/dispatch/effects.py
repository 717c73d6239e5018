"""Effects that a dispatcher asks its caller to carry out."""

import attrs

from cranberryshore.errors import Refusal
from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.work.batch import TaskBatch
from cranberryshore.work.capacity import Capacity


class Effect:
    """Base class of effects."""


@attrs.frozen
class StartTasks(Effect):
    """Send a batch of tasks to a worker incarnation."""

    worker: str
    incarnation: str
    batch: TaskBatch


@attrs.frozen
class StopTasks(Effect):
    """Stop all tasks of a job on a worker with a single message."""

    worker: str
    job: str


@attrs.frozen
class JobSettled(Effect):
    """A job has reached its final outcome; pending callers can be answered."""

    id: SubmissionId


@attrs.frozen
class JobRefused(Effect):
    """A submission was refused, and its id stays unusable.

    If the id could be reused, a delayed duplicate of the submission could run after the caller
    had been told that the job did not run.
    """

    id: SubmissionId
    refusal: Refusal


@attrs.frozen
class RequestLoans(Effect):
    """Request capacity from the peers of the zone; a count of zero withdraws the request."""

    demand: Capacity
    count: int


@attrs.frozen
class GrantLoans(Effect):
    """Lend capacity to a peer."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class ReturnLoans(Effect):
    """Return borrowed capacity to the instances to which the resources are assigned."""

    grants: tuple[Grant, ...]


@attrs.frozen
class ReportHeldLoans(Effect):
    """Report to new assignees the capacity that this instance uses on their resources."""

    grants: tuple[Grant, ...]


@attrs.frozen
class RecallLoans(Effect):
    """Ask a peer to return the capacity it has borrowed on the given workers or upstreams."""

    peer: str
    workers: frozenset[str]


@attrs.frozen
class JobOwnershipLost(Effect):
    """The owner of a started job was closed; the workers' records now decide its outcome."""

    id: SubmissionId
    team: str


@attrs.frozen
class AnnounceIsolation(Effect):
    """Announce to the peers that a worker incarnation fails tasks and is avoided for a time."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class OwnerRetired(Effect):
    """The incarnation may not start tasks any more and has to be replaced by a new one."""

    owner: str
