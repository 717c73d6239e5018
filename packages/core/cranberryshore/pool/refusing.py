"""When a job that has not started is refused, and when its caller is told to come back.

Load pattern answered: for seconds more work arrives than the pool can run. A job that waits until
its caller's patience is over has cost its caller that time and is refused in the end, so it is
refused as soon as it cannot be answered usefully any more. While room is free nothing is refused.
"""

from cranberryshore.pool.work import PoolJob

RETRY_AFTER_MS = 1000
"""When a refused caller may return: the bursts seen last one to four seconds."""

ANSWER_SECONDS = 0.01
"""Time that the answer needs on its way to the caller: two hops of 3 ms and some work."""


def is_hopeless(job: PoolJob, expected_seconds: float, now: float) -> bool:
    """Tell whether a waiting job can no longer be answered before it is of no use."""
    useless_at = min(job.late_at, job.gives_up_at)
    return now + expected_seconds + ANSWER_SECONDS > useless_at
