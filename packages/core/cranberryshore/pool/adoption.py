"""Lookup of runs that a previous scheduler has started for a resumed job."""

from collections.abc import Iterable

from cranberryshore.pool.held_worker import HeldWorker, ReportedEnd, RunKey
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase


def take_reported_ends(
    job: PoolJob, workers: Iterable[HeldWorker]
) -> list[tuple[PoolTask, ReportedEnd]]:
    """Remove and return the ends of the job's tasks that workers have reported."""
    tasks_by_name = {job.name_of(task): task for task in job.tasks}
    return [
        (tasks_by_name[name], worker.foreign_ends.pop(name))
        for worker in workers
        for name in sorted(tasks_by_name.keys() & worker.foreign_ends.keys())
    ]


def find_waiting_task(job: PoolJob, key: RunKey) -> PoolTask | None:
    """Return the waiting task that a run belongs to, or ``None``."""
    for task in job.tasks:
        if job.name_of(task) == key[0] and task.phase is TaskPhase.WAITING:
            return task
    return None


def job_id_of(key: RunKey) -> str:
    """Return the id of the job that a run belongs to.

    Examples
    --------
    >>> job_id_of(("a7.0.2.3", 1))
    'a7'
    """
    return key[0].partition(".")[0]
