"""Detection of stragglers: runs that take much longer than expected.

On some workers, tasks hang or take six times as long while the worker answers every status poll.
Such a run occupies capacity and blocks its job until the caller times out, and the worker is given
another task as soon as it has free capacity. Under light load, run times deviate from their
estimates by 30 to 40 % (standard deviation on a logarithmic scale), so few healthy runs take three
times as long as expected.

A task that has straggled on one worker may be longer than its job says. Stopped each time, it would
never end, so each further run of it may take twice as long as the one before.
"""

STRAGGLER_FACTOR = 3.0
"""Multiple of the expected run time; just under three standard deviations on the log scale."""

STRAGGLER_MARGIN_SECONDS = 0.1
"""Additional time for start requests and status polls in transit."""


def is_straggler(ran_seconds: float, expected_seconds: float, earlier_stragglers: int = 0) -> bool:
    """Return whether a run has taken so long that it is not expected to end.

    ``earlier_stragglers`` is the number of runs of the task that were stopped for this reason.

    Examples
    --------
    >>> is_straggler(0.25, 0.06), is_straggler(0.3, 0.06)
    (False, True)
    >>> is_straggler(0.3, 0.06, earlier_stragglers=1), is_straggler(0.5, 0.06, earlier_stragglers=1)
    (False, True)
    """
    limit_seconds = STRAGGLER_FACTOR * expected_seconds * 2**earlier_stragglers
    return ran_seconds > limit_seconds + STRAGGLER_MARGIN_SECONDS
