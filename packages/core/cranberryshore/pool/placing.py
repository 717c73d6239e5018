"""Which worker gets a task.

Load pattern answered: a task takes 14 of 32 or 48 cores, so that two or three fit a worker and a
task placed with a poor match leaves a gap that nothing fills. The tightest fit leaves the largest
gaps whole. Workers that have failed or are slow come last.
"""

from collections.abc import Callable, Iterable

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.work import PoolJob, PoolTask


def is_allowed(worker: HeldWorker, job: PoolJob, task: PoolTask) -> bool:
    """Tell whether a task may run on a worker, whatever room is free there."""
    step = job.step_of(task)
    if step.label and step.label not in worker.labels:
        return False
    return not (step.max_per_worker and job.count_on(worker.name, task.step) >= step.max_per_worker)


def best_worker(
    workers: Iterable[HeldWorker],
    job: PoolJob,
    task: PoolTask,
    preference: Callable[[str], float],
) -> HeldWorker | None:
    """Return the worker for a task, or ``None`` if none has room.

    Parameters
    ----------
    workers : iterable of HeldWorker
        Usable workers of the queue's service.
    job, task : PoolJob, PoolTask
        What is to be placed.
    preference : callable
        Preference by worker name, lower first.
    """
    step = job.step_of(task)
    best, best_key = None, None
    for worker in workers:
        free = worker.free()
        if not free.holds(step.demand) or not is_allowed(worker, job, task):
            continue
        key = (
            worker.name in task.avoided,
            preference(worker.name),
            bool(step.rack) and worker.rack != step.rack,
            free.millicores,
            worker.name,
        )
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best
