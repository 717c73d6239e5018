"""What another scheduler has left on the workers of a job that is handed over."""

from collections.abc import Iterable

from cranberryshore.pool.held_worker import HeldWorker, ReportedEnd, RunKey
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase


def take_ends(job: PoolJob, workers: Iterable[HeldWorker]) -> list[tuple[PoolTask, ReportedEnd]]:
    """Return the ends of the job's tasks that workers have listed, once."""
    names = {job.name_of(task): task for task in job.tasks}
    return [
        (names[name], worker.strange_ends.pop(name))
        for worker in workers
        for name in sorted(names.keys() & worker.strange_ends.keys())
    ]


def task_of(job: PoolJob, key: RunKey) -> PoolTask | None:
    """Return the waiting task that a run belongs to."""
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
