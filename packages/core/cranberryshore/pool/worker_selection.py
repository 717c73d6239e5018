"""Selection of a worker for a task.

A typical task needs 14 cores and a worker has 32 or 48, so only two or three tasks fit, and a
poorly placed task leaves capacity that no other task can use. Best fit preserves the largest free
blocks. Workers that have failed or are slow are used last.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.placement.health import PoolHealth
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.work import PoolJob, PoolTask


def meets_constraints(worker: HeldWorker, job: PoolJob, task: PoolTask) -> bool:
    """Return whether a worker satisfies the constraints of a task, regardless of free capacity."""
    step = job.step_of(task)
    if step.label and step.label not in worker.labels:
        return False
    return not (
        step.max_per_worker and job.placed_count(worker.name, task.step) >= step.max_per_worker
    )


@attrs.frozen
class Candidate:
    """Available worker with its placement rank; lower ranks are preferred."""

    worker: HeldWorker
    placement_rank: float


def find_candidates(
    workers: Iterable[HeldWorker], smallest: int, health: PoolHealth, now: float
) -> list[Candidate]:
    """Return the available workers that have at least ``smallest`` free millicores."""
    return [
        Candidate(worker, health.placement_rank(worker.name))
        for worker in workers
        if worker.room.millicores >= smallest
        and worker.is_available()
        and health.allowance(worker.name, now) > 0
    ]


@attrs.define(eq=False)
class CandidateGroups:
    """Candidates of one placement, grouped by the jobs that may use them.

    Hundreds of jobs wait in a load burst, but few services and rosters are in use.
    """

    candidates: list[Candidate]
    now: float
    groups: dict[tuple[str, frozenset[str] | None], tuple[list[Candidate], list[Candidate]]] = (
        attrs.field(factory=dict)
    )

    def get(
        self, service: str, usable: frozenset[str] | None
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the usable candidates of a service whose clock is known, and the others."""
        group = self.groups.get((service, usable))
        if group is None:
            members = [
                item
                for item in self.candidates
                if item.worker.service == service and (usable is None or item.worker.name in usable)
            ]
            group = self.groups[service, usable] = (
                [item for item in members if item.worker.is_clock_known(self.now)],
                [item for item in members if not item.worker.is_clock_known(self.now)],
            )
        return group


def max_free_millicores(candidates: Iterable[Candidate]) -> int:
    """Return the largest number of free millicores on a single candidate."""
    return max(item.worker.room.millicores for item in candidates)


def select_worker(
    candidates: Iterable[Candidate], job: PoolJob, task: PoolTask
) -> HeldWorker | None:
    """Return the best of the workers of a service for a task, or ``None`` if it fits on none."""
    step = job.step_of(task)
    demand = step.demand
    best, best_key = None, None
    for candidate in candidates:
        worker = candidate.worker
        room = worker.room
        if room.millicores < demand.millicores or not room.holds(demand):
            continue
        if not meets_constraints(worker, job, task):
            continue
        key = (
            worker.name in task.avoided_workers,
            candidate.placement_rank,
            bool(step.rack) and worker.rack != step.rack,
            room.millicores,
            worker.name,
        )
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best
