"""Which worker gets a task.

Load pattern answered: a task takes 14 of 32 or 48 cores, so that two or three fit a worker and a
task placed with a poor match leaves a gap that nothing fills. The tightest fit leaves the largest
gaps whole. Workers that have failed or are slow come last.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.placement.health import PoolHealth
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.work import PoolJob, PoolTask


def is_allowed(worker: HeldWorker, job: PoolJob, task: PoolTask) -> bool:
    """Tell whether a task may run on a worker, whatever room is free there."""
    step = job.step_of(task)
    if step.label and step.label not in worker.labels:
        return False
    return not (step.max_per_worker and job.count_on(worker.name, task.step) >= step.max_per_worker)


@attrs.frozen
class Candidate:
    """A worker that may be used, and how gladly, lower first."""

    worker: HeldWorker
    preference: float


def candidates_of(
    workers: Iterable[HeldWorker], smallest: int, health: PoolHealth, now: float
) -> list[Candidate]:
    """Return the workers that may be used now and have at least ``smallest`` millicores free."""
    return [
        Candidate(worker, health.preference(worker.name))
        for worker in workers
        if worker.room.millicores >= smallest
        and worker.is_usable()
        and health.allowance(worker.name, now) > 0
    ]


def largest_room(candidates: Iterable[Candidate]) -> int:
    """Return the most millicores that one candidate has free."""
    return max(item.worker.room.millicores for item in candidates)


def best_worker(candidates: Iterable[Candidate], job: PoolJob, task: PoolTask) -> HeldWorker | None:
    """Return the worker for a task, or ``None`` if none has room.

    Parameters
    ----------
    candidates : iterable of Candidate
        Usable workers of the queue's service.
    job, task : PoolJob, PoolTask
        What is to be placed.
    """
    step = job.step_of(task)
    demand = step.demand
    best, best_key = None, None
    for candidate in candidates:
        worker = candidate.worker
        room = worker.room
        if room.millicores < demand.millicores or not room.holds(demand):
            continue
        if not is_allowed(worker, job, task):
            continue
        key = (
            worker.name in task.avoided,
            candidate.preference,
            bool(step.rack) and worker.rack != step.rack,
            room.millicores,
            worker.name,
        )
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best
