"""The order in which waiting jobs get room.

Load pattern answered: three kinds of job together ask for more than the pool has for some
seconds, because many callers come at once or workers are lost. Short jobs have little time to
spare and long ones much, so arrival order makes the short ones late for nothing. A job goes first
that must start first to be answered within its aim. Under lasting overload this order alone lets
every job wait until its last moment, and then run times that differ from what was expected make
most of them late. So a job without some time to spare goes after all that have it, and those go
in the order in which an answer becomes useless.
"""

from cranberryshore.pool.work import PoolJob

SPARE_SHARE = 0.1
"""Time to spare, as a share of the aim: replayed bursts earn within 1 % of it from 0.05 to 0.2."""


def waiting_order(job: PoolJob, now: float) -> tuple[int, float, int]:
    """Return the sort key of a waiting job, lowest first."""
    if job.has_started:
        return (0, job.start_by, job.priority)
    spare = SPARE_SHARE * (job.aim_at - job.arrived_at)
    has_missed = now > job.start_by - spare
    return (2 if has_missed else 1, job.late_at if has_missed else job.start_by, job.priority)
