"""The configuration in force in one process, which never goes back."""

from collections import deque

import attrs
from result import Err, Ok, Result

from cranberryshore.config.resource import Resource

REMEMBERED_CHANGES = 10_000


@attrs.frozen
class Change:
    """One change of the store's configuration; ``resource`` is ``None`` for a deletion."""

    revision: int
    key: str
    resource: Resource | None


@attrs.frozen
class Snapshot:
    """All resources at a revision."""

    revision: int
    resources: dict[str, Resource]


@attrs.frozen
class WatchGap:
    """The changes after the asked revision are no longer all remembered."""

    oldest: int


@attrs.define
class ConfigState:
    """Resources by key at a revision of the store.

    The store numbers every change. A change or a snapshot takes effect only if its revision is
    higher than the one in force, so that a late event, an old reader or a peer that lags can
    not undo anything.

    Examples
    --------
    >>> state = ConfigState()
    >>> state.apply(Change(5, "config/service/a", None))
    True
    >>> state.apply(Change(4, "config/service/a", None))
    False
    """

    revision: int = 0
    resources: dict[str, Resource] = attrs.field(factory=dict)
    changes: deque[Change] = attrs.field(factory=lambda: deque(maxlen=REMEMBERED_CHANGES))
    complete_after: int = 0

    def apply(self, change: Change) -> bool:
        """Put one change in force; return whether it was news.

        Changes must come in the order of their revisions without gaps in the stream.
        """
        if change.revision <= self.revision:
            return False
        if len(self.changes) == self.changes.maxlen:
            self.complete_after = self.changes[0].revision
        self.changes.append(change)
        self.revision = change.revision
        if change.resource is None:
            self.resources.pop(change.key, None)
        else:
            self.resources[change.key] = change.resource
        return True

    def load(self, snapshot: Snapshot) -> bool:
        """Replace everything by a newer snapshot; return whether it was newer."""
        if snapshot.revision <= self.revision:
            return False
        self.resources = dict(snapshot.resources)
        self.revision = snapshot.revision
        self.complete_after = snapshot.revision
        self.changes.clear()
        return True

    def advance(self, revision: int) -> None:
        """Record that nothing else has changed up to ``revision``."""
        self.revision = max(self.revision, revision)

    def snapshot(self) -> Snapshot:
        """Return all resources at the revision in force."""
        return Snapshot(self.revision, dict(self.resources))

    def changes_after(self, revision: int) -> Result[list[Change], WatchGap]:
        """Return the changes after ``revision`` in order, or the gap that prevents it."""
        if revision < self.complete_after:
            return Err(WatchGap(self.complete_after))
        return Ok([change for change in self.changes if change.revision > revision])
