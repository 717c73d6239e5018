"""The clocks that a pool goes by."""

from time import CLOCK_BOOTTIME, clock_gettime, time

TOKEN_LOW_BITS = 11
"""Bits of a fencing token that tell instances apart which draw one in the same millisecond."""


def now() -> float:
    """Return seconds on a clock that goes on while the machine is suspended."""
    return clock_gettime(CLOCK_BOOTTIME)


class TokenSource:
    """Draws fencing tokens that rise over all instances, without asking anyone.

    A token is the Unix time in milliseconds and some bits of the instance. Where clocks differ, a
    worker's refusal shows it, and the next token jumps ahead.
    """

    def __init__(self, instance: str) -> None:
        self.low = sum(instance.encode()) * 2654435761 % (1 << TOKEN_LOW_BITS)
        self.last = 0

    def next(self) -> int:
        """Return a token above all that this source has drawn."""
        fresh = (int(time() * 1000) << TOKEN_LOW_BITS) + self.low
        self.last = max(fresh, self.last + (1 << TOKEN_LOW_BITS))
        return self.last
