"""The active configuration of one process, whose revision never decreases."""

from collections import deque

import attrs
from result import Err, Ok, Result

from cranberryshore.config.resource import Resource

MAX_RETAINED_CHANGES = 10_000


@attrs.frozen
class Change:
    """One configuration change in the store; ``resource`` is ``None`` for a deletion."""

    revision: int
    key: str
    resource: Resource | None


@attrs.frozen
class Snapshot:
    """All resources as of a revision."""

    revision: int
    resources: dict[str, Resource]


@attrs.frozen
class WatchGap:
    """The requested revision is below ``oldest``, after which all changes are retained."""

    oldest: int


@attrs.define
class ConfigState:
    """Resources by store key, as of a store revision.

    The store assigns a revision to every change. A change or a snapshot is applied only if its
    revision is higher than the current one, so that a delayed watch event, a stale read or a
    lagging peer cannot revert the configuration. All changes after ``compacted_revision`` are
    retained in ``changes``.

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
    changes: deque[Change] = attrs.field(factory=lambda: deque(maxlen=MAX_RETAINED_CHANGES))
    compacted_revision: int = 0

    def apply(self, change: Change) -> bool:
        """Apply one change; return whether it was newer than the current revision.

        The caller must pass all changes in the order of their revisions.
        """
        if change.revision <= self.revision:
            return False
        if len(self.changes) == self.changes.maxlen:
            self.compacted_revision = self.changes[0].revision
        self.changes.append(change)
        self.revision = change.revision
        if change.resource is None:
            self.resources.pop(change.key, None)
        else:
            self.resources[change.key] = change.resource
        return True

    def load(self, snapshot: Snapshot) -> bool:
        """Replace all resources by those of a newer snapshot; return whether it was newer."""
        if snapshot.revision <= self.revision:
            return False
        self.resources = dict(snapshot.resources)
        self.revision = snapshot.revision
        self.compacted_revision = snapshot.revision
        self.changes.clear()
        return True

    def advance(self, revision: int) -> None:
        """Raise the current revision; the caller must have applied all changes up to it."""
        self.revision = max(self.revision, revision)

    def snapshot(self) -> Snapshot:
        """Return all resources as of the current revision."""
        return Snapshot(self.revision, dict(self.resources))

    def changes_after(self, revision: int) -> Result[list[Change], WatchGap]:
        """Return the changes after ``revision`` in order, or a gap if some are not retained."""
        if revision < self.compacted_revision:
            return Err(WatchGap(self.compacted_revision))
        return Ok([change for change in self.changes if change.revision > revision])
