"""Right of a scheduler to start and continue the tasks of an entry instance.

An entry instance hands its jobs over to another scheduler when it has not heard from this one for
some time. This scheduler, or a link to it, may be slow at that moment, so that it does not know of
the hand-over. Each entry instance therefore acknowledges the heartbeats of its scheduler, and the
scheduler starts nothing for it unless it has sent the last acknowledged heartbeat recently enough:
its right ends before the entry instance gives it up, whatever is delayed. The leases of the runs
are limited in the same way, which ends runs on workers that the scheduler cannot stop.
"""

from typing import Protocol

import attrs

from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshore.pool.held_worker import MAX_CLOCK_DRIFT
from cranberryshore.pool.roster import RosterHistory

START_RIGHT_SECONDS = 0.9 * PEER_TIMEOUT_SECONDS
"""Time from sending the last acknowledged heartbeat, after which no task is started. The entry
instance turns to another scheduler ``PEER_TIMEOUT_SECONDS`` after its receipt at the earliest."""

RUN_RIGHT_SECONDS = 1.25
"""Time from sending the last acknowledged heartbeat to the end of all leases. Callers submit a job
again 1.3 s after its entry instance has failed."""

RUN_END_SECONDS = RUN_RIGHT_SECONDS / (1 - MAX_CLOCK_DRIFT)
"""Time after which these leases have expired on a worker whose clock is slow."""


class StartRights(Protocol):
    """Rights of a scheduler with regard to the entry instances."""

    def may_start(self, entry: str, now: float) -> bool:
        """Return whether tasks of an entry instance may be started now."""
        ...

    def lease_limit(self, entry: str) -> float:
        """Return the time at which the leases of runs for an entry instance must have ended."""
        ...

    def usable_workers(self, entry: str) -> frozenset[str] | None:
        """Return the workers on which its tasks may be started; ``None`` for all."""
        ...


@attrs.define(eq=False)
class AcknowledgedRights:
    """Rights of one claim, from the acknowledgements of the entry instances.

    Parameters
    ----------
    own : str
        Incarnation of the scheduler, whose own jobs end with it.
    since : float
        Time of the claim; acknowledgements of earlier heartbeats are void.
    heartbeats : dict
        Time on the clock of the scheduler at which it sent the last heartbeat that an entry
        instance has acknowledged.
    roster_versions : dict
        Version of the roster of an entry instance, which it passes on with its jobs.
    """

    own: str = ""
    since: float = float("-inf")
    rosters: RosterHistory = attrs.field(factory=RosterHistory)
    heartbeats: dict[str, float] = attrs.field(factory=dict)
    roster_versions: dict[str, int] = attrs.field(factory=dict)

    def acknowledge(self, entry: str, heartbeat_at: float) -> None:
        """Record that an entry instance follows this scheduler and has received a heartbeat."""
        if heartbeat_at >= self.since:
            self.heartbeats[entry] = max(heartbeat_at, self.heartbeats.get(entry, heartbeat_at))

    def record_roster(self, entry: str, version: int) -> None:
        """Record the version of the roster that an entry instance has."""
        self.roster_versions[entry] = max(version, self.roster_versions.get(entry, version))

    def revoke(self, entry: str) -> None:
        """Record that an entry instance has left this scheduler."""
        self.heartbeats.pop(entry, None)

    def may_start(self, entry: str, now: float) -> bool:
        """See :class:`StartRights`."""
        if entry == self.own:
            return True
        return now < self.heartbeats.get(entry, float("-inf")) + START_RIGHT_SECONDS

    def lease_limit(self, entry: str) -> float:
        """See :class:`StartRights`."""
        if entry == self.own:
            return float("inf")
        return self.heartbeats.get(entry, float("-inf")) + RUN_RIGHT_SECONDS

    def usable_workers(self, entry: str) -> frozenset[str] | None:
        """See :class:`StartRights`."""
        if entry == self.own:
            return None
        return self.rosters.names(self.roster_versions.get(entry, 0)) or frozenset()
