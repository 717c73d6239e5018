"""When a job that has not started is refused, and when its caller is told to come back.

Load pattern answered: for seconds more work arrives than the pool can run. A job that waits until
its caller's patience is over has cost its caller that time and is refused in the end, so it is
refused as soon as it cannot be answered usefully any more. While room is free nothing is refused.
"""

from cranberryshore.pool.work import ANSWER_SECONDS, PoolJob

RETRY_AFTER_MS = 1000
"""When a refused caller may return: the bursts seen last one to four seconds."""


RESUMED_WAIT_SECONDS = 1.4
"""Longest wait until nothing of another scheduler can still run: a lease, and 0.3 s to stop it."""

VERIFY_SECONDS = 0.25
"""A new scheduler has mostly looked at all workers after so long, also where an answer is lost."""


def earliest_start(job: PoolJob, now: float) -> float:
    """Return when a job may start, of one handed over once the workers ought to be known."""
    is_verifying = now < job.held_back_until - RESUMED_WAIT_SECONDS + VERIFY_SECONDS
    return now if is_verifying else max(now, job.held_back_until)


def is_hopeless(job: PoolJob, expected_seconds: float, now: float) -> bool:
    """Tell whether a waiting job can no longer be answered before it is of no use."""
    useless_at = min(job.late_at, job.gives_up_at)
    return now + expected_seconds + ANSWER_SECONDS > useless_at
