"""The clocks that a pool goes by."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime, time

import attrs

TOKEN_INSTANCE_BITS = 11
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
        self.instance_bits = sum(instance.encode()) * 2654435761 % (1 << TOKEN_INSTANCE_BITS)
        self.last = 0

    def next(self) -> int:
        """Return a token above all that this source has drawn."""
        fresh = (unix_ms() << TOKEN_INSTANCE_BITS) + self.instance_bits
        self.last = max(fresh, self.last + (1 << TOKEN_INSTANCE_BITS))
        return self.last

    def advance(self, seconds: float) -> int:
        """Return a token that is ahead of this instance's clock, above what a worker has seen."""
        self.last += int(seconds * 1000) << TOKEN_INSTANCE_BITS
        return self.next()


REQUEST_TIMEOUT_SECONDS = 0.06
"""A worker's answer takes 3 ms at most; a lost one should cost less than the 96 ms that the
shortest jobs have to spare."""

LAG_FACTOR = 3.0
"""Answers wait in this process while it is late itself, so they get several times its lateness."""

LAG_DECAY = 0.9
"""Share of the lateness that is kept from one measurement to the next."""


@attrs.define
class BaseTimeout:
    """How long answers of workers are waited for, given how late this process runs itself."""

    lag_seconds: float = 0.0

    def record_lag(self, seconds: float) -> None:
        """Take a measurement of how much later than planned this process has come to run."""
        self.lag_seconds = max(seconds, LAG_DECAY * self.lag_seconds)

    def seconds(self) -> float:
        """Return the longest wait for an answer that a worker gives at once."""
        return REQUEST_TIMEOUT_SECONDS + LAG_FACTOR * self.lag_seconds


RESPONSE_TIME_FACTOR = 1.5
"""An answer is waited for this many times as long as the slowest recent one took."""

RESPONSE_TIME_DECAY = 0.9
"""Share of the slowest answer's time that is kept from one answer to the next."""

IMMEDIATE_RETRIES = 2
"""Single answers are lost, so this many looks that fail in a row are followed by another at once,
and say nothing about slowness."""

MAX_REQUEST_TIMEOUT_SECONDS = 0.5
"""Longest wait for a worker that is slow to answer: half of a lease."""


@attrs.define
class WorkerTimeout:
    """How long the answers of one worker are waited for, given how long recent ones took.

    Parameters
    ----------
    patience : Patience
        What is allowed for this process's own lateness.
    slowest : float
        Time of the slowest recent answer, in seconds, as it fades.
    """

    base_timeout: BaseTimeout
    slowest_seconds: float = 0.0

    def answered(self, seconds: float) -> None:
        """Take the time of an answer that the worker gave at once."""
        self.slowest_seconds = max(seconds, RESPONSE_TIME_DECAY * self.slowest_seconds)

    def seconds(self, failures: int) -> float:
        """Return the longest wait for the next answer.

        Parameters
        ----------
        failures : int
            Looks in a row that have failed.

        Examples
        --------
        >>> timeout = WorkerTimeout(BaseTimeout())
        >>> timeout.answered(0.1)
        >>> round(timeout.seconds(failures=0), 3), round(timeout.seconds(failures=3), 3)
        (0.15, 0.3)
        """
        base_seconds = max(self.base_timeout.seconds(), RESPONSE_TIME_FACTOR * self.slowest_seconds)
        backoff_seconds = base_seconds * 2.0 ** max(failures - IMMEDIATE_RETRIES, 0)
        return max(base_seconds, min(backoff_seconds, MAX_REQUEST_TIMEOUT_SECONDS))
