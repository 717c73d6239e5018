"""The clocks that a pool goes by."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime, time

import attrs

TOKEN_LOW_BITS = 11
"""Bits of a fencing token that tell instances apart which draw one in the same millisecond."""


@attrs.define
class Clocks:
    """Where the time is read; virtual time puts its own readers here."""

    steady: Callable[[], float] = lambda: clock_gettime(CLOCK_BOOTTIME)
    unix: Callable[[], float] = time


CLOCKS = Clocks()


def now() -> float:
    """Return seconds on a clock that goes on while the machine is suspended."""
    return CLOCKS.steady()


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return int(CLOCKS.unix() * 1000)


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
        fresh = (unix_ms() << TOKEN_LOW_BITS) + self.low
        self.last = max(fresh, self.last + (1 << TOKEN_LOW_BITS))
        return self.last

    def jump(self, seconds: float) -> int:
        """Return a token that is ahead of this instance's clock, above what a worker has seen."""
        self.last += int(seconds * 1000) << TOKEN_LOW_BITS
        return self.next()
