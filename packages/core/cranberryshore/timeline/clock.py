"""Hybrid logical clock."""

import attrs

MILLISECONDS = 1000


@attrs.frozen(order=True)
class HybridTimestamp:
    """A time that orders causes before effects across processes.

    Parameters
    ----------
    wall_ms : int
        Largest Unix time in milliseconds that the process has seen.
    count : int
        Distinguishes events within one millisecond.
    """

    wall_ms: int
    count: int


@attrs.define
class HybridClock:
    """Hybrid logical clock [1]_: close to wall time, never behind what was heard.

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
        """Return the stamp of a new event."""
        wall_ms = int(unix_time * MILLISECONDS)
        if wall_ms > self.latest.wall_ms:
            self.latest = HybridTimestamp(wall_ms, 0)
        else:
            self.latest = HybridTimestamp(self.latest.wall_ms, self.latest.count + 1)
        return self.latest

    def update(self, stamp: HybridTimestamp) -> None:
        """Take account of a stamp that came with a message."""
        self.latest = max(self.latest, stamp)
