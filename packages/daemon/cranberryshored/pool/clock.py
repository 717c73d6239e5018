"""Clocks, fencing tokens and request timeouts of a pool."""

from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime, time
from zlib import crc32

import attrs

TOKEN_INSTANCE_BITS = 11
"""Low bits of a fencing token that differ between instances, so that tokens issued in the same
millisecond are distinct."""


@attrs.define
class Clocks:
    """Time sources, which a simulation replaces by virtual time."""

    steady: Callable[[], float] = lambda: clock_gettime(CLOCK_BOOTTIME)
    unix: Callable[[], float] = time


CLOCKS = Clocks()


def now() -> float:
    """Return seconds of a monotonic clock that includes time in which the machine is suspended."""
    return CLOCKS.steady()


def unix_ms() -> int:
    """Return the Unix time in milliseconds."""
    return int(CLOCKS.unix() * 1000)


class TokenSource:
    """Generates increasing fencing tokens without coordination between instances.

    A token is the Unix time in milliseconds followed by bits that depend on the instance. If the
    clocks of instances differ, a worker may have accepted a higher token and reject this one's; the
    caller then calls :meth:`advance` with growing steps until they exceed the difference. A token
    that is ahead of the clock is for one worker, so that those of the others stay near it.
    """

    def __init__(self, instance: str) -> None:
        self.instance_bits = crc32(instance.encode()) % (1 << TOKEN_INSTANCE_BITS)
        self.last = 0

    def next(self, former: int = 0) -> int:
        """Return a token higher than the former one of a worker.

        It is also higher than all others of this source that were not ahead of its clock.
        """
        fresh = (unix_ms() << TOKEN_INSTANCE_BITS) + self.instance_bits
        self.last = max(fresh, self.last + (1 << TOKEN_INSTANCE_BITS))
        after_former = (former >> TOKEN_INSTANCE_BITS) + 1 << TOKEN_INSTANCE_BITS
        return max(self.last, after_former + self.instance_bits)

    def advance(self, token: int, seconds: float) -> int:
        """Return a token that is some seconds higher than one that a worker has rejected."""
        return self.next(token + (int(seconds * 1000) << TOKEN_INSTANCE_BITS))


REQUEST_TIMEOUT_SECONDS = 0.06
"""Workers respond within 3 ms. A lost response must cost less than 96 ms, the slack of the shortest
jobs."""

LAG_FACTOR = 3.0
"""Responses wait in this process while its event loop lags, so a multiple of the lag is added to
each timeout."""

LAG_DECAY = 0.9
"""Factor by which the recorded lag decays with each measurement."""


@attrs.define
class BaseTimeout:
    """Timeout of requests to workers, extended by the event loop lag of this process."""

    lag_seconds: float = 0.0

    def record_lag(self, seconds: float) -> None:
        """Record how late the event loop ran a timer."""
        self.lag_seconds = max(seconds, LAG_DECAY * self.lag_seconds)

    def seconds(self) -> float:
        """Return the timeout of a request that a worker answers without waiting."""
        return REQUEST_TIMEOUT_SECONDS + LAG_FACTOR * self.lag_seconds


RESPONSE_TIME_FACTOR = 1.5
"""Ratio of the timeout to the slowest recent response time."""

RESPONSE_TIME_DECAY = 0.9
"""Factor by which the slowest response time decays with each response."""

IMMEDIATE_RETRIES = 2
"""Single responses get lost, so this many consecutive failed polls are retried immediately and do
not lengthen the timeout."""

MAX_REQUEST_TIMEOUT_SECONDS = 0.5
"""Upper limit of the exponential backoff of the timeout: half of a lease."""


@attrs.define
class WorkerTimeout:
    """Timeout of requests to one worker, from recent response times, at least the base one."""

    base_timeout: BaseTimeout
    slowest_seconds: float = 0.0

    def answered(self, seconds: float) -> None:
        """Record the time of a response that the worker gave without waiting."""
        self.slowest_seconds = max(seconds, RESPONSE_TIME_DECAY * self.slowest_seconds)

    def seconds(self, failures: int) -> float:
        """Return the timeout of the next request after consecutive failed polls.

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
