"""Everything that a dispatcher asks its surroundings to do, as typed messages."""

import attrs

from cranberryshore.errors import Refusal
from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.task import TaskSpec


class Effect:
    """Base of all effects."""


@attrs.frozen
class TaskStart:
    """One task to start."""

    index: int
    spec: TaskSpec


@attrs.frozen
class TaskBatch:
    """Tasks of one job for one worker.

    ``task_count`` is the size of the whole job, so that a peer which closes this owner can tell
    from the workers' records alone whether the job is whole, and ``caller`` to whom it belongs.
    """

    job: str
    caller: str
    task_count: int
    tasks: tuple[TaskStart, ...]


@attrs.frozen
class StartTasks(Effect):
    """Send one batch of starts to a worker incarnation."""

    worker: str
    incarnation: str
    batch: TaskBatch


@attrs.frozen
class StopTasks(Effect):
    """Stop all tasks of a job on a worker with one message."""

    worker: str
    job: str


@attrs.frozen
class JobSettled(Effect):
    """A job has its outcome; whoever waits for it is answered now."""

    id: SubmissionId


@attrs.frozen
class JobRefused(Effect):
    """A submission was not accepted, and never will be under this id.

    If the id could be used again, a copy of the submission that was delayed on its way could
    run after its caller had been told that it did not.
    """

    id: SubmissionId
    refusal: Refusal


@attrs.frozen
class RequestLoans(Effect):
    """Ask the zone's peers for room; a count of zero withdraws the request."""

    demand: Capacity
    count: int


@attrs.frozen
class GrantLoans(Effect):
    """Lend room to a peer."""

    peer: str
    grants: tuple[Grant, ...]


@attrs.frozen
class ReturnLoans(Effect):
    """Return borrowed room to whoever is assigned the resources."""

    grants: tuple[Grant, ...]


@attrs.frozen
class ReportHeldLoans(Effect):
    """Tell new assignees what this instance holds on their resources."""

    grants: tuple[Grant, ...]


@attrs.frozen
class RecallLoans(Effect):
    """Tell a peer that this instance needs what it has lent of some workers."""

    peer: str
    workers: frozenset[str]


@attrs.frozen
class JobOwnershipLost(Effect):
    """A job whose owner was closed; from now on the workers' records tell its outcome."""

    id: SubmissionId
    team: str


@attrs.frozen
class AnnounceIsolation(Effect):
    """Tell the peers that a worker incarnation fails everything, and for how long to avoid it."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class OwnerRetired(Effect):
    """The incarnation may start nothing any more and must be replaced by a new one."""

    owner: str
