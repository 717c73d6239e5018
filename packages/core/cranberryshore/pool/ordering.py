"""The order in which waiting jobs get room.

Load pattern answered: three kinds of job together ask for more than the pool has for some
seconds, because many callers come at once or workers are lost. Short jobs have little time to
spare and long ones much, so arrival order makes the short ones late for nothing. A job goes first
that must start first to be answered within its aim. Jobs that have missed their aim go after all
that can still meet it, and then in the order in which they become useless.
"""

from cranberryshore.pool.work import PoolJob

MISSED_SECONDS = 0.02
"""A job this far past its latest start still counts as on time: run times vary by more."""


def waiting_order(job: PoolJob, now: float) -> tuple[int, float, int]:
    """Return the sort key of a waiting job, lowest first."""
    if job.has_started:
        return (0, job.start_by, job.priority)
    has_missed = now > job.start_by + MISSED_SECONDS
    return (2 if has_missed else 1, job.late_at if has_missed else job.start_by, job.priority)
