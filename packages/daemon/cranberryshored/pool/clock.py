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


ORDER_SECONDS = 0.06
"""A worker's answer takes 3 ms at most; a lost one should cost less than the 96 ms that the
shortest jobs have to spare."""

LAG_SHARE = 3.0
"""Answers wait in this process while it is late itself, so they get several times its lateness."""

LAG_KEPT = 0.9
"""Share of the lateness that is kept from one measurement to the next."""


@attrs.define
class Patience:
    """How long answers of workers are waited for, given how late this process runs itself."""

    lag_seconds: float = 0.0

    def note_lag(self, seconds: float) -> None:
        """Take a measurement of how much later than planned this process has come to run."""
        self.lag_seconds = max(seconds, LAG_KEPT * self.lag_seconds)

    def order_seconds(self) -> float:
        """Return the longest wait for an answer that a worker gives at once."""
        return ORDER_SECONDS + LAG_SHARE * self.lag_seconds


ANSWER_FACTOR = 1.5
"""An answer is waited for this many times as long as the slowest recent one took."""

ANSWER_KEPT = 0.9
"""Share of the slowest answer's time that is kept from one answer to the next."""

LOOKS_AT_ONCE = 2
"""Single answers are lost, so this many looks that fail in a row are followed by another at once,
and say nothing about slowness."""

LONGEST_ANSWER_SECONDS = 0.5
"""Longest wait for a worker that is slow to answer: half of a lease."""


@attrs.define
class AnswerTimes:
    """How long the answers of one worker are waited for, given how long recent ones took.

    Parameters
    ----------
    patience : Patience
        What is allowed for this process's own lateness.
    slowest : float
        Time of the slowest recent answer, in seconds, as it fades.
    """

    patience: Patience
    slowest: float = 0.0

    def answered(self, seconds: float) -> None:
        """Take the time of an answer that the worker gave at once."""
        self.slowest = max(seconds, ANSWER_KEPT * self.slowest)

    def seconds(self, failures: int) -> float:
        """Return the longest wait for the next answer.

        Parameters
        ----------
        failures : int
            Looks in a row that have failed.

        Examples
        --------
        >>> times = AnswerTimes(Patience())
        >>> times.answered(0.1)
        >>> round(times.seconds(failures=0), 3), round(times.seconds(failures=3), 3)
        (0.15, 0.3)
        """
        usual = max(self.patience.order_seconds(), ANSWER_FACTOR * self.slowest)
        doubled = usual * 2.0 ** max(failures - LOOKS_AT_ONCE, 0)
        return max(usual, min(doubled, LONGEST_ANSWER_SECONDS))
