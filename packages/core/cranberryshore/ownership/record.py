"""Store record of a task owner, and the workers' records of its tasks."""

from enum import Enum

import attrs

from cranberryshore.identity.incarnation import Incarnation

OWNER_PREFIX = "owners/"


def owner_key(incarnation: Incarnation) -> str:
    """Return the store key of an incarnation's record.

    Examples
    --------
    >>> owner_key(Incarnation("a", "e1", "0" * 16))
    'owners/a/e1/0000000000000000'
    """
    return f"{OWNER_PREFIX}{incarnation.zone}/{incarnation.instance}/{incarnation.nonce}"


@attrs.frozen(order=True)
class OwnedWorker:
    """A worker incarnation on which an owner may start tasks."""

    name: str
    incarnation: str


@attrs.frozen(order=True)
class PastWorker:
    """A worker incarnation that an owner used earlier and does not use any more.

    Ids with a sequence number of ``below`` or higher were issued after the worker was dropped,
    so their tasks cannot have been started on it.
    """

    worker: OwnedWorker
    below: int


@attrs.frozen
class OwnerRecord:
    """Store record of one incarnation.

    An owner starts tasks only on the workers in its record, and updates the record by
    compare-and-swap, which fails once a peer has set ``is_closed``. The record that the peer
    reads after closing it therefore lists every worker on which this owner can have started
    tasks, even if the owner is paused and resumes later.
    """

    owner: str
    workers: tuple[OwnedWorker, ...] = ()
    past: tuple[PastWorker, ...] = ()
    is_closed: bool = False
    closed_by: str = ""

    def closed(self, by: str) -> "OwnerRecord":
        """Return a copy of the record that is closed by ``by``."""
        return attrs.evolve(self, is_closed=True, closed_by=by)

    def with_workers(self, workers: frozenset[OwnedWorker], next_sequence: int) -> "OwnerRecord":
        """Return a copy with another set of workers; dropped ones become past workers.

        ``next_sequence`` is the sequence number of the next id that the owner will issue.

        Examples
        --------
        >>> one, two = OwnedWorker("w", "run-1"), OwnedWorker("w", "run-2")
        >>> record = OwnerRecord("a.e1.0", (one,)).with_workers(frozenset({two}), 7)
        >>> record.past
        (PastWorker(worker=OwnedWorker(name='w', incarnation='run-1'), below=7),)
        """
        dropped = set(self.workers) - workers
        past = {entry.worker: entry for entry in self.past if entry.worker not in workers}
        for worker in dropped:
            past[worker] = PastWorker(worker, next_sequence)
        return attrs.evolve(self, workers=tuple(sorted(workers)), past=tuple(sorted(past.values())))


class TaskRecordState(Enum):
    """State of a task on its worker."""

    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    STOPPED = "stopped"


@attrs.frozen
class TaskRecord:
    """A worker's record of a task that it has started."""

    job: str
    caller: str
    task_count: int
    index: int
    state: TaskRecordState
    output: str = ""
