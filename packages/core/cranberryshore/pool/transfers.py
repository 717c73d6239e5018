"""Transfers of large documents to the other instances of a pool.

The list of some hundred workers has 80 KB and changes several times a second while workers are
replaced; a configuration has up to 200 KB. Sent whole, for each heartbeat of each of a hundred
instances that does not have it yet, they fill the links, and the heartbeats behind them arrive too
late. A document therefore goes to a few instances at a time, and to none again before it has been
acknowledged or is certainly lost. An instance that can read the document from the store itself
requests it from a peer only if that does not succeed.
"""

import attrs

MAX_ENTRIES_UNDER_WAY = 4_500
"""Entries of all transfers under way: 0.7 MB, which occupy a link of 200 Mbit/s for 27 ms."""

TRANSFER_TIMEOUT_SECONDS = 0.5
"""Time after which an unacknowledged transfer counts as lost, as a silent peer counts as failed."""

SMALL_TRANSFER_ENTRIES = 32
"""Transfers of at most so many entries, a few kilobytes, are not limited in their number."""


OWN_READ_SECONDS = 0.1
"""Time in which an instance usually reads a new document from the store itself, before it requests
the document from a peer."""


@attrs.define(eq=False)
class Transfers:
    """Transfers of one document that have not been acknowledged.

    Parameters
    ----------
    under_way : dict
        Version, time and number of entries of the transfer to each receiver.
    waiting : dict
        Receivers whose transfers must wait, in the order of their requests; an ordered set.
    """

    under_way: dict[str, tuple[int, float, int]] = attrs.field(factory=dict)
    waiting: dict[str, None] = attrs.field(factory=dict)

    def begin(self, receiver: str, version: int, entries: int, now: float) -> bool:
        """Begin a transfer unless it must wait, and return whether it has begun.

        Examples
        --------
        >>> transfers = Transfers()
        >>> transfers.begin("a.1", 7, 540, 0.0), transfers.begin("a.1", 8, 1, 0.1)
        (True, False)
        >>> transfers.acknowledge("a.1", 7)
        True
        >>> transfers.begin("a.1", 8, 1, 0.1)
        True
        """
        self._forget_lost(now)
        if receiver in self.under_way:
            return False
        entries_under_way = sum(count for _, _, count in self.under_way.values())
        is_free = not self.under_way or entries_under_way + entries <= MAX_ENTRIES_UNDER_WAY
        if not is_free and entries > SMALL_TRANSFER_ENTRIES:
            self.waiting[receiver] = None
            return False
        self.waiting.pop(receiver, None)
        self.under_way[receiver] = (version, now, entries)
        return True

    def next_waiting(self) -> str | None:
        """Remove and return the receiver that has waited longest, ``None`` if none waits."""
        receiver = next(iter(self.waiting), None)
        self.waiting.pop(receiver, None)
        return receiver

    def acknowledge(self, receiver: str, version: int) -> bool:
        """Record that a receiver has a version; return whether this ends a transfer."""
        sent = self.under_way.get(receiver)
        if sent is None or version < sent[0]:
            return False
        del self.under_way[receiver]
        return True

    def _forget_lost(self, now: float) -> None:
        limit = now - TRANSFER_TIMEOUT_SECONDS
        lost = [name for name, (_, sent_at, _) in self.under_way.items() if sent_at <= limit]
        for name in lost:
            del self.under_way[name]
