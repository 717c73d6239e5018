"""What decided a job's end, for the log."""

import attrs

from cranberryshore.pool.work import PoolJob


@attrs.frozen
class JobAccount:
    """What decided a job's end, for the log.

    Parameters
    ----------
    queue : str
        Its queue.
    waited_ms, total_ms : int
        Time until its first start, and until its end.
    expected_ms, longest_run_ms : int
        Longest run time that was expected, and that was seen.
    aim_ms : int
        Time within which it should have been answered.
    waiting_jobs : int
        Jobs that the scheduler knew at its end.
    runs : tuple of str
        Worker and attempt of each task's last run.
    """

    queue: str
    waited_ms: int
    total_ms: int
    expected_ms: int
    longest_run_ms: int
    aim_ms: int
    waiting_jobs: int
    runs: tuple[str, ...] = ()


def account_of(job: PoolJob, expected_seconds: float, known_jobs: int, now: float) -> JobAccount:
    """Return the account of a job that ends now."""
    started_at = job.started_at if job.has_started else now
    return JobAccount(
        job.request.queue,
        int((started_at - job.arrived_at) * 1000),
        int((now - job.arrived_at) * 1000),
        int(expected_seconds * 1000),
        int(job.longest_run_ms),
        int((job.aim_at - job.arrived_at) * 1000),
        known_jobs,
        tuple(f"{task.last_worker}/{task.attempt}" for task in job.tasks if task.attempt),
    )
