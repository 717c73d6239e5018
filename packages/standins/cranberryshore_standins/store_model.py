"""An in-memory key-value store with revisions, leases and a bounded history for watches."""

from collections import deque

import attrs

MAX_HISTORY_CHANGES = 20_000


@attrs.frozen
class StoredValue:
    """A key's value, the revision that wrote it and the lease it is attached to."""

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
    """The store's state and operations, without I/O.

    ``leases`` holds expiry times, ``history`` the latest changes, oldest first, and
    ``compacted_revision`` the revision of the last change dropped from it.

    Examples
    --------
    >>> store = StoreModel()
    >>> store.put("a", "1", expected=0), store.put("a", "2", expected=0)
    (1, None)
    """

    revision: int = 0
    keys: dict[str, StoredValue] = attrs.field(factory=dict)
    leases: dict[str, float] = attrs.field(factory=dict)
    history: deque[StoredChange] = attrs.field(factory=lambda: deque(maxlen=MAX_HISTORY_CHANGES))
    compacted_revision: int = 0

    def current(self, key: str) -> int:
        """Return the revision of a key, 0 if it does not exist."""
        stored = self.keys.get(key)
        return 0 if stored is None else stored.revision

    def put(self, key: str, value: str, expected: int | None = None, lease: str = "") -> int | None:
        """Write a key; return the new revision, or ``None`` if the key's is not ``expected``.

        An ``expected`` of 0 means that the key must not exist.
        """
        if expected is not None and expected != self.current(key):
            return None
        self.revision += 1
        self.keys[key] = StoredValue(value, self.revision, lease)
        self._record_change(StoredChange(key, self.revision, value))
        return self.revision

    def delete(self, key: str, expected: int | None = None) -> int | None:
        """Delete a key; return the store's revision, or ``None`` under the condition of ``put``."""
        if expected is not None and expected != self.current(key):
            return None
        if key in self.keys:
            del self.keys[key]
            self.revision += 1
            self._record_change(StoredChange(key, self.revision, None))
        return self.revision

    def changes(self, prefix: str, after: int) -> list[StoredChange] | None:
        """Return the changes after a revision, or ``None`` if some are compacted."""
        if after < self.compacted_revision:
            return None
        return [
            change
            for change in self.history
            if change.revision > after and change.key.startswith(prefix)
        ]

    def expire(self, now: float) -> list[str]:
        """Remove expired leases and the keys attached to them; return these keys."""
        expired = {lease for lease, until in self.leases.items() if until <= now}
        expired_keys = [key for key, stored in self.keys.items() if stored.lease in expired]
        for lease in expired:
            del self.leases[lease]
        for key in expired_keys:
            self.delete(key)
        return expired_keys

    def _record_change(self, change: StoredChange) -> None:
        if len(self.history) == self.history.maxlen:
            self.compacted_revision = self.history[0].revision
        self.history.append(change)
