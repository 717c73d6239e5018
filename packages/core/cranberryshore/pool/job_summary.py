"""Summary of a finished job for the log."""

import attrs

from cranberryshore.pool.work import PoolJob


@attrs.frozen
class JobSummary:
    """Times and placements that explain the outcome of a job.

    Parameters
    ----------
    waited_ms, total_ms : int
        Time from the arrival of the job to its first start and to its end.
    expected_ms, longest_run_ms : int
        Expected and observed longest run time.
    aim_ms : int
        Whole target response time, unlike ``QueueSpec.aim_ms``, which is a part of it.
    waiting_jobs : int
        Number of other jobs, waiting or started, that the scheduler has when the job ends.
    runs : tuple of str
        Worker and attempt number of the last start of each task, which may not have begun, as
        ``worker/attempt``.
    """

    queue: str
    waited_ms: int
    total_ms: int
    expected_ms: int
    longest_run_ms: int
    aim_ms: int
    waiting_jobs: int
    runs: tuple[str, ...] = ()


def summarize_job(job: PoolJob, expected_seconds: float, known_jobs: int, now: float) -> JobSummary:
    """Return the summary of a job that ends at time ``now``."""
    started_at = job.started_at if job.has_started else now
    return JobSummary(
        job.request.queue,
        int((started_at - job.arrived_at) * 1000),
        int((now - job.arrived_at) * 1000),
        int(expected_seconds * 1000),
        int(job.longest_run_ms),
        int((job.target_at - job.arrived_at) * 1000),
        known_jobs,
        tuple(f"{task.last_worker}/{task.attempt}" for task in job.tasks if task.attempt),
    )
