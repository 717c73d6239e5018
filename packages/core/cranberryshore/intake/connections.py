"""Limit of the connections of one address, and the choice of the connection to close."""

from collections.abc import Hashable
from enum import IntEnum

import attrs

LEAVING_SHARE = 1 / 8
"""Share of the limit by which connections that leave after their responses may exceed it."""

QUIET_SECONDS = 1.0
"""Time without progress after which an incomplete request counts less than an idle connection."""


class Phase(IntEnum):
    """What a connection does."""

    SILENT = 1
    """It has not sent anything yet."""
    RECEIVING = 2
    """It has sent a part of a request."""
    PENDING = 3
    """Its request is being served; it is never closed for another one."""
    AHEAD = 5
    """Its request is being served, and it has already sent more; it may be closed afterwards."""
    LEAVING = 6
    """It is closed for another connection as soon as its request has been served."""
    IDLE = 4
    """It has received a response."""


@attrs.define(eq=False)
class ConnectionTable:
    """Connections of one address by phase, in order of the beginning of the phase or of progress.

    Examples
    --------
    >>> table = ConnectionTable(2)
    >>> table.set_phase("a", Phase.SILENT, 0.0)
    >>> table.set_phase("b", Phase.IDLE, 0.0)
    >>> table.is_full(), table.choose(5.0)
    (True, 'a')
    """

    limit: int
    by_phase: dict[Phase, dict[Hashable, float]] = attrs.field(
        factory=lambda: {phase: {} for phase in Phase}
    )
    phases: dict[Hashable, Phase] = attrs.field(factory=dict)

    def set_phase(self, key: Hashable, phase: Phase, now: float) -> None:
        """Record the phase of a connection, or that it has made progress in it."""
        former = self.phases.get(key)
        if former is not None:
            del self.by_phase[former][key]
        self.by_phase[phase][key] = now
        self.phases[key] = phase

    def remove(self, key: Hashable) -> None:
        """Forget a connection."""
        phase = self.phases.pop(key, None)
        if phase is not None:
            del self.by_phase[phase][key]

    def is_full(self) -> bool:
        """Return whether a new connection needs the place of another one."""
        return len(self.phases) - len(self.by_phase[Phase.LEAVING]) >= self.limit

    def choose(self, now: float) -> Hashable | None:
        """Return the connection to close for a new one, or ``None`` if all are being served."""
        receiving = self.by_phase[Phase.RECEIVING]
        for key in self.by_phase[Phase.SILENT]:
            return key
        for key, progressed_at in receiving.items():
            if now - progressed_at >= QUIET_SECONDS:
                return key
            break
        for key in self.by_phase[Phase.IDLE]:
            return key
        for key in receiving:
            return key
        if len(self.by_phase[Phase.LEAVING]) < max(1, self.limit * LEAVING_SHARE):
            for key in self.by_phase[Phase.AHEAD]:
                return key
        return None
