"""Adoption of runs that a previous scheduler has started for a resumed job."""

from collections.abc import Iterable

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase
from cranberryshore.pool.worker_status import EndKind, ReportedEnd, RunKey


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


def record_ends(job: PoolJob, workers: Iterable[HeldWorker], now: float) -> list[PoolTask]:
    """Record the reported ends of a job's tasks, and return the tasks that are done with that."""
    done = []
    for task, end in take_reported_ends(job, workers):
        task.attempt = max(task.attempt, end.attempt)
        if end.kind is EndKind.DONE and task.phase is TaskPhase.WAITING:
            if not job.has_started:
                job.has_started, job.started_at = True, now
            job.has_adopted_run = True
            job.waiting_tasks -= 1
            task.phase = TaskPhase.DONE
            done.append(task)
    return done


def adopt_run(
    job: PoolJob, worker: HeldWorker, key: RunKey, registry: RunRegistry, now: float
) -> bool:
    """Take over a run of a job on a worker; return whether a waiting task has got it."""
    task = find_waiting_task(job, key)
    if task is None or registry.is_task_active(key[0]):
        return False
    task.attempt = max(task.attempt, key[1])
    registry.record_start(job, task, worker, key, now)
    registry.confirm_start(key)
    worker.adopt_run(key, job.step_of(task).demand, now)
    return True


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
