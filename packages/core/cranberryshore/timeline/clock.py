"""Hybrid logical clock."""

import attrs

from cranberryshore.bounds import Count

MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(order=True)
class HybridTimestamp:
    """A timestamp that is consistent with causality across processes.

    Parameters
    ----------
    wall_ms : int
        Largest Unix time in milliseconds that the process has seen, its own or received.
    count : int
        Logical counter that orders events with the same ``wall_ms``.
    """

    wall_ms: Count
    count: Count


@attrs.define
class HybridClock:
    """Hybrid logical clock [1]_: close to Unix time, but never behind a received timestamp.

    Examples
    --------
    >>> clock = HybridClock()
    >>> first = clock.next(unix_time=2.0)
    >>> clock.update(HybridTimestamp(5000, 3))
    >>> clock.next(unix_time=2.001) > HybridTimestamp(5000, 3) > first
    True

    References
    ----------
    .. [1] S. Kulkarni et al., "Logical physical clocks", OPODIS 2014.
    """

    latest: HybridTimestamp = HybridTimestamp(0, 0)

    def next(self, unix_time: float) -> HybridTimestamp:
        """Advance the clock and return the timestamp of a new event."""
        wall_ms = int(unix_time * MILLISECONDS_PER_SECOND)
        if wall_ms > self.latest.wall_ms:
            self.latest = HybridTimestamp(wall_ms, 0)
        else:
            self.latest = HybridTimestamp(self.latest.wall_ms, self.latest.count + 1)
        return self.latest

    def update(self, stamp: HybridTimestamp) -> None:
        """Advance the clock to a timestamp received with a message, if that is later."""
        self.latest = max(self.latest, stamp)
