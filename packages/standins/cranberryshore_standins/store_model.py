"""A key-value store in memory, with revisions, leases and a bounded history for watches."""

from collections import deque

import attrs

HISTORY_CHANGES = 20_000


@attrs.frozen
class Stored:
    """One key's value, the revision that wrote it and the lease it hangs on."""

    value: str
    revision: int
    lease: str = ""


@attrs.frozen
class StoredChange:
    """One change; ``value`` is ``None`` for a deletion."""

    key: str
    revision: int
    value: str | None


@attrs.define
class StoreModel:
    """The store's state and rules, without input or output.

    Examples
    --------
    >>> store = StoreModel()
    >>> store.put("a", "1", expected=0), store.put("a", "2", expected=0)
    (1, None)
    """

    revision: int = 0
    keys: dict[str, Stored] = attrs.field(factory=dict)
    leases: dict[str, float] = attrs.field(factory=dict)
    history: deque[StoredChange] = attrs.field(factory=lambda: deque(maxlen=HISTORY_CHANGES))
    compacted: int = 0

    def current(self, key: str) -> int:
        """Return a key's revision; 0 if it does not exist."""
        stored = self.keys.get(key)
        return 0 if stored is None else stored.revision

    def put(self, key: str, value: str, expected: int | None = None, lease: str = "") -> int | None:
        """Write and return the new revision; ``None`` if ``expected`` does not match."""
        if expected is not None and expected != self.current(key):
            return None
        self.revision += 1
        self.keys[key] = Stored(value, self.revision, lease)
        self._remember(StoredChange(key, self.revision, value))
        return self.revision

    def delete(self, key: str, expected: int | None = None) -> int | None:
        """Delete and return the new revision; ``None`` if ``expected`` does not match."""
        if expected is not None and expected != self.current(key):
            return None
        if key in self.keys:
            del self.keys[key]
            self.revision += 1
            self._remember(StoredChange(key, self.revision, None))
        return self.revision

    def changes(self, prefix: str, after: int) -> list[StoredChange] | None:
        """Return the changes after a revision; ``None`` if they are no longer all held."""
        if after < self.compacted:
            return None
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def expire(self, now: float) -> list[str]:
        """Drop expired leases with their keys and return the keys."""
        expired = {lease for lease, until in self.leases.items() if until <= now}
        gone = [key for key, stored in self.keys.items() if stored.lease in expired]
        for lease in expired:
            del self.leases[lease]
        for key in gone:
            self.delete(key)
        return gone

    def _remember(self, change: StoredChange) -> None:
        if len(self.history) == self.history.maxlen:
            self.compacted = self.history[0].revision
        self.history.append(change)
