"""Budget of bytes for the input of all clients of a process."""

from collections.abc import Hashable

import attrs

STALL_SECONDS = 1.0
"""Time without progress after which a large request yields its memory to one that waits. A client
within the limits sends something more often unless its network fails."""


@attrs.define
class Reservation:
    """Memory of one large request.

    Parameters
    ----------
    since : float
        Time of the reservation, or of the latest progress.
    is_pending : bool
        Whether the request was received completely, so that it can't be refused any more.
    """

    amount: int
    since: float
    is_pending: bool = False


@attrs.define(eq=False)
class InputBudget:
    """Bytes held for clients, by connection.

    Small requests share ``small_total``; when it is exceeded, a connection has to be closed, see
    :meth:`largest`. A larger request reserves its whole size before more of it is read, and waits
    in order of arrival while ``large_total`` is reserved by others.

    Parameters
    ----------
    held : dict
        Bytes of each connection without a reservation.
    waiting : dict
        Amount and time of arrival of the connections that wait for a reservation.

    Examples
    --------
    >>> budget = InputBudget(100, 1000)
    >>> budget.reserve("a", 800, 0.0), budget.reserve("b", 300, 0.0)
    (True, False)
    >>> budget.release("a", 0.5)
    ['b']
    """

    small_total: int
    large_total: int
    held: dict[Hashable, int] = attrs.field(factory=dict)
    held_bytes: int = 0
    reserved: dict[Hashable, Reservation] = attrs.field(factory=dict)
    reserved_bytes: int = 0
    waiting: dict[Hashable, tuple[int, float]] = attrs.field(factory=dict)

    def hold(self, key: Hashable, amount: int) -> None:
        """Record that a connection without a reservation holds ``amount`` bytes."""
        if key in self.reserved:
            return
        self.held_bytes += amount - self.held.get(key, 0)
        self.held[key] = amount

    def reserve(self, key: Hashable, amount: int, now: float) -> bool:
        """Reserve memory for a large request; return whether it is reserved or has to wait."""
        if key in self.reserved:
            self.reserved[key].since = now
            return True
        if key in self.waiting:
            return False
        if self.waiting or not self._has_room(amount):
            self.waiting[key] = (amount, now)
            return False
        self._grant(key, amount, now)
        return True

    def mark_pending(self, key: Hashable) -> None:
        """Record that the request of a connection was received completely."""
        reservation = self.reserved.get(key)
        if reservation is not None:
            reservation.is_pending = True

    def release(self, key: Hashable, now: float) -> list[Hashable]:
        """Forget a connection's request; return the connections whose wait ends."""
        self.held_bytes -= self.held.pop(key, 0)
        was_waiting = self.waiting.pop(key, None) is not None
        reservation = self.reserved.pop(key, None)
        if reservation is not None:
            self.reserved_bytes -= reservation.amount
        return self._grant_waiting(now) if reservation is not None or was_waiting else []

    def is_exceeded(self) -> bool:
        """Return whether the small requests hold too much."""
        return self.held_bytes > self.small_total

    def largest(self, candidates: dict[Hashable, object]) -> Hashable | None:
        """Return the connection of ``candidates`` that holds the most without a reservation.

        ``candidates`` are in order of their latest progress; of equals, the first is returned.
        """
        return max(candidates, key=lambda key: self.held.get(key, 0), default=None)

    def stalled(self, now: float) -> list[Hashable]:
        """Return the connections that have to yield their reservations, least progress first."""
        if not self.waiting:
            return []
        stalled = [
            (reservation.since, number, key)
            for number, (key, reservation) in enumerate(self.reserved.items())
            if not reservation.is_pending and now - reservation.since >= STALL_SECONDS
        ]
        return [key for _, _, key in sorted(stalled, key=lambda item: item[:2])]

    def overdue(self, now: float, wait_seconds: float) -> list[Hashable]:
        """Return the connections that have waited for a reservation for too long."""
        return [key for key, (_, since) in self.waiting.items() if now - since >= wait_seconds]

    def _has_room(self, amount: int) -> bool:
        # A request larger than the whole budget is read alone.
        return not self.reserved or self.reserved_bytes + amount <= self.large_total

    def _grant(self, key: Hashable, amount: int, now: float) -> None:
        self.held_bytes -= self.held.pop(key, 0)
        self.reserved[key] = Reservation(amount, now)
        self.reserved_bytes += amount

    def _grant_waiting(self, now: float) -> list[Hashable]:
        granted = []
        for key, (amount, _) in list(self.waiting.items()):
            if not self._has_room(amount):
                break
            del self.waiting[key]
            self._grant(key, amount, now)
            granted.append(key)
        return granted
