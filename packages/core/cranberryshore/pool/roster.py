"""Rosters: the versions of the list of workers that a pool has had.

A registration expires while the platform's store is out or a zone is partitioned, although the
worker and its runs live on. Which workers may run tasks of a job therefore follows from the rosters
that were in use while the job was scheduled, never from the registrations of the moment.
"""

from collections.abc import Iterable
from zlib import crc32

import attrs

from cranberryshore.pool.worker_registration import WorkerRegistration
from cranberryshore.work.capacity import Capacity

MAX_REMEMBERED_ROSTERS = 64
"""A job that used an older roster cannot be verified and waits until its runs have ended."""

UNKNOWN_ROSTER = -1
"""Stands for a version that is no longer remembered."""

PUBLISHER_BITS = 22
"""Low bits of a version that differ between publishers, so that rosters published in the same
millisecond are distinct."""


def next_version(publisher: str, unix_ms: int, previous: int) -> int:
    """Return a roster version that is higher than ``previous`` and belongs to one publisher.

    Examples
    --------
    >>> first = next_version("a.1", 5, 0)
    >>> next_version("b.1", 5, 0) != first and next_version("b.1", 5, first) > first
    True
    """
    moment = max(unix_ms, (previous >> PUBLISHER_BITS) + 1)
    return (moment << PUBLISHER_BITS) + crc32(publisher.encode()) % (1 << PUBLISHER_BITS)


def apply_differences(
    workers: Iterable[WorkerRegistration],
    changed: Iterable[WorkerRegistration],
    removed: Iterable[str],
) -> tuple[WorkerRegistration, ...]:
    """Return a roster with some entries changed or added and others removed, sorted by name."""
    entries = {entry.name: entry for entry in workers}
    entries.update({entry.name: entry for entry in changed})
    for name in removed:
        entries.pop(name, None)
    return tuple(entries[name] for name in sorted(entries))


@attrs.define(eq=False)
class RosterHistory:
    """Latest rosters by version, with the latest registration of each of their workers.

    Parameters
    ----------
    names_by_version : dict
        Names of the workers; ``None`` for a version that two publishers have used.
    largest : dict
        Most that one worker of a service has had of each resource in any roster so far.
    """

    names_by_version: dict[int, frozenset[str] | None] = attrs.field(
        factory=lambda: {0: frozenset()}
    )
    registrations: dict[str, WorkerRegistration] = attrs.field(factory=dict)
    largest: dict[str, Capacity] = attrs.field(factory=dict)
    latest_exposure: tuple[tuple, frozenset[str] | None] | None = None
    entries_by_version: dict[int, dict[str, WorkerRegistration]] = attrs.field(
        factory=lambda: {0: {}}
    )

    def record(self, version: int, workers: Iterable[WorkerRegistration]) -> None:
        """Add a roster."""
        entries = {entry.name: entry for entry in workers}
        self.entries_by_version[version] = entries
        self.latest_exposure = None
        for name, entry in entries.items():
            if self.registrations.get(name) is not entry:
                known = self.largest.get(entry.service, entry.capacity)
                self.largest[entry.service] = known.largest(entry.capacity)
        self.registrations.update(entries)
        names = frozenset(entries)
        for known in self.names_by_version.values():
            if known == names:
                # Most versions differ in the state of a worker only.
                names = known
                break
        if self.names_by_version.get(version, names) != names:
            # Two publishers have used the same version, so its workers are uncertain.
            names = None
        self.names_by_version[version] = names
        if len(self.names_by_version) > MAX_REMEMBERED_ROSTERS:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        oldest = next(iter(self.names_by_version))
        del self.names_by_version[oldest]
        self.entries_by_version.pop(oldest, None)
        remembered = frozenset().union(*filter(None, self.names_by_version.values()))
        for name in self.registrations.keys() - remembered:
            del self.registrations[name]

    def differences(
        self, base: int, version: int
    ) -> tuple[tuple[WorkerRegistration, ...], tuple[str, ...]] | None:
        """Return the entries that differ in a later roster, and the names that it lacks.

        ``None`` if either roster is unknown.

        Examples
        --------
        >>> RosterHistory().differences(0, 0)
        ((), ())
        """
        before, after = self.entries_by_version.get(base), self.entries_by_version.get(version)
        if before is None or after is None or None in (self.names(base), self.names(version)):
            return None
        changed = tuple(item for name, item in after.items() if before.get(name) != item)
        return changed, tuple(sorted(before.keys() - after.keys()))

    def names(self, version: int) -> frozenset[str] | None:
        """Return the names of the workers of a roster; ``None`` if it is unknown."""
        return self.names_by_version.get(version)

    def names_in_any(self, versions: Iterable[int]) -> frozenset[str] | None:
        """Return the names of the workers in any of the rosters; ``None`` if one is unknown.

        Examples
        --------
        >>> history = RosterHistory()
        >>> history.names_in_any((0,)), history.names_in_any((0, 9)), history.names_in_any(())
        (frozenset(), None, None)
        """
        rosters = [self.names(version) for version in versions]
        if not rosters or None in rosters:
            return None
        # Jobs of one roster share its set of names.
        return rosters[0] if len(rosters) == 1 else frozenset().union(*rosters)

    def exposed_workers(
        self, versions: tuple[int, ...], zones: tuple[str, ...]
    ) -> frozenset[str] | None:
        """Return the workers of any of the rosters that are in one of the zones.

        ``None`` if a roster is unknown. Without zones, or with the empty one, the workers of all
        zones are returned.
        """
        if self.latest_exposure is None or self.latest_exposure[0] != (versions, zones):
            names = self.names_in_any(versions)
            if names is not None and zones and "" not in zones:
                known = self.registrations
                names = frozenset(name for name in names if known[name].zone in zones)
            # Hundreds of jobs that are handed over at the same time have the same exposure.
            self.latest_exposure = ((versions, zones), names)
        return self.latest_exposure[1]
