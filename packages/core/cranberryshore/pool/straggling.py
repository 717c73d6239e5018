"""When a run is given up because its worker seems to stand still.

Load pattern answered: tasks on some workers stand still, or take six times as long, while their
workers answer every look. Such a run holds room and its job until the caller's time is over, and
the worker gets the next task as soon as room is free. Run times differ by 30 to 40 % from their
estimates (standard deviation on a logarithmic scale, one quiet day), so few sound runs take three
times as long.
"""

STRAGGLING_FACTOR = 3.0
"""Just under three of those standard deviations above what is expected."""

STRAGGLING_SECONDS = 0.1
"""Allowed besides, for orders and looks under way."""


def is_straggling(ran_seconds: float, expected_seconds: float) -> bool:
    """Tell whether a run has taken too long to be trusted to end.

    Examples
    --------
    >>> is_straggling(0.25, 0.06), is_straggling(0.3, 0.06)
    (False, True)
    """
    return ran_seconds > STRAGGLING_FACTOR * expected_seconds + STRAGGLING_SECONDS
