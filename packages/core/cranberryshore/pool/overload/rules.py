"""Rules for jobs that no scheduler has accepted.

Designed for the seconds after a burst or a restart of all instances, in which submitting a rejected
job again, or keeping a caller waiting that cannot be served, costs the time of the next callers.
"""

SCHEDULER_CHANGE_SECONDS = 0.1
"""Shortest time until a new scheduler starts a job, once the former one is known to be lost: its
claim, its heartbeat, and a poll of the workers. A change usually takes 0.5 to 1 s altogether, of
which 0.5 s pass before the loss is known; a job is not refused for what it may still reach."""

SHORT_RUN_FACTOR = 0.6
"""Actual run time relative to the estimate of the caller, which is typically off by 40 %."""


def may_refuse_late_job(is_late: bool, may_have_run: bool, is_resumed: bool) -> bool:
    """Return whether a dropped job can be refused as not run instead of being submitted again.

    Its only submission must have been rejected because of its age, without having been started.

    Examples
    --------
    >>> may_refuse_late_job(True, False, False), may_refuse_late_job(True, True, False)
    (True, False)
    """
    return is_late and not may_have_run and not is_resumed


def can_wait_for_scheduler(expires_at: float, estimate_ms: float, now: float) -> bool:
    """Return whether a job can still be answered in time if a scheduler appears soon.

    Parameters
    ----------
    expires_at : float
        Time in seconds after which a result is of no use to the caller.
    estimate_ms : float
        Estimated run time in milliseconds.
    now : float
        Time in seconds.

    Examples
    --------
    >>> can_wait_for_scheduler(1.0, 500, 0.5), can_wait_for_scheduler(1.0, 500, 0.7)
    (True, False)
    """
    run_seconds = SHORT_RUN_FACTOR * estimate_ms / 1000
    return now + SCHEDULER_CHANGE_SECONDS + run_seconds <= expires_at
