"""Order in which waiting jobs are placed.

When many callers arrive at once or workers are lost, the demand of short and long jobs together
exceeds the capacity of the pool for some seconds. Short jobs have little slack and long jobs have
much, so arrival order makes short jobs late unnecessarily. Jobs are therefore ordered by the latest
start that meets their target response time. In a longer overload, this order alone would start
every job at the last moment, and deviations from the expected run time would make most of them
late. Jobs with too little slack are therefore placed after all others, ordered by the time at
which their answers become useless.
"""

from cranberryshore.pool.work import PoolJob

MIN_SLACK_SHARE = 0.1
"""Minimum slack as a share of the target response time; in replayed load bursts, the value of
the answers differs by at most 1 % between 0.05 and 0.2."""


def waiting_sort_key(job: PoolJob, now: float) -> tuple[int, float, int]:
    """Return the sort key of a waiting job; jobs with lower keys are placed first."""
    if job.has_started:
        return (0, job.latest_start_at, job.priority)
    min_slack = MIN_SLACK_SHARE * (job.target_at - job.arrived_at)
    lacks_slack = now > job.latest_start_at - min_slack
    return (
        2 if lacks_slack else 1,
        job.useless_at if lacks_slack else job.latest_start_at,
        job.priority,
    )
