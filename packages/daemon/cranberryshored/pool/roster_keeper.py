"""The list of workers of this instance, and its versions."""

import attrs

from cranberryshore.messages import RosterChanges, RosterNews
from cranberryshore.pool import RosterHistory, WorkerRegistration
from cranberryshore.pool.roster import (
    MAX_REMEMBERED_ROSTERS,
    UNKNOWN_ROSTER,
    apply_differences,
    next_version,
)
from cranberryshored.pool.clock import now, unix_ms


@attrs.define(eq=False)
class RosterKeeper:
    """Latest list of workers, and the versions that this instance has had.

    Parameters
    ----------
    publisher : str
        Incarnation of this instance.
    changes : list
        Times at which the latest rosters were adopted, and their versions.
    news : tuple or None
        Latest message with changes of the roster, with the version that it refers to and the new
        one.
    """

    publisher: str
    version: int = 0
    workers: tuple[WorkerRegistration, ...] = ()
    history: RosterHistory = attrs.field(factory=RosterHistory)
    changes: list[tuple[float, int]] = attrs.field(factory=lambda: [(float("-inf"), 0)])
    news: tuple[int, int, RosterNews | RosterChanges] | None = None

    def publish(self, previous: int, workers: tuple[WorkerRegistration, ...]) -> None:
        """Adopt a roster under a new version that is higher than ``previous``."""
        self.adopt(next_version(self.publisher, unix_ms(), previous), workers)

    def update(self, workers: tuple[WorkerRegistration, ...]) -> bool:
        """Publish the workers that were read if they differ; return whether any of them is new."""
        if workers == self.workers and self.version:
            return False
        known = {entry.name for entry in self.workers}
        self.publish(self.version, workers)
        return not {entry.name for entry in workers} <= known

    def adopt(self, version: int, workers: tuple[WorkerRegistration, ...]) -> None:
        """Replace the roster."""
        self.version, self.workers = version, workers
        self.history.record(version, workers)
        self.changes.append((now(), version))
        del self.changes[:-MAX_REMEMBERED_ROSTERS]

    def apply(self, changes: RosterChanges) -> tuple[WorkerRegistration, ...] | None:
        """Return the roster with some changes, ``None`` if they refer to another version."""
        if changes.base != self.version:
            return None
        return apply_differences(self.workers, changes.changed, changes.removed)

    def news_since(self, base: int) -> RosterNews | RosterChanges:
        """Return the message for a peer that has version ``base``."""
        if self.news is None or self.news[:2] != (base, self.version):
            differences = self.history.differences(base, self.version)
            if differences is None:
                message = RosterNews(self.version, self.workers)
            else:
                message = RosterChanges(base, self.version, *differences)
            # Most peers have the same version.
            self.news = (base, self.version, message)
        return self.news[2]

    def versions_since(self, moment: float) -> tuple[int, ...]:
        """Return the versions that this instance has had since a time, the oldest one first."""
        older = [version for at, version in self.changes if at < moment]
        newer = [version for at, version in self.changes if at >= moment]
        return (older[-1] if older else UNKNOWN_ROSTER, *newer)
