"""Lookup of runs that a previous scheduler started for a job handed over to this one."""

from collections.abc import Iterable

from cranberryshore.pool.held_worker import HeldWorker, ReportedEnd, RunKey
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase


def take_reported_ends(
    job: PoolJob, workers: Iterable[HeldWorker]
) -> list[tuple[PoolTask, ReportedEnd]]:
    """Remove and return the ends of the job's tasks that workers have reported."""
    names = {job.name_of(task): task for task in job.tasks}
    return [
        (names[name], worker.foreign_ends.pop(name))
        for worker in workers
        for name in sorted(names.keys() & worker.foreign_ends.keys())
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
