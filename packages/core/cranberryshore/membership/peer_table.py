"""Heartbeat failure detector for the peers of an entry instance."""

from enum import Enum

import attrs

from cranberryshore.identity.incarnation import Incarnation

SUSPECT_SECONDS = 0.9
DEAD_SECONDS = 1.5
MAX_RETAINED_INACTIVE = 1000


class PeerState(Enum):
    """State of a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@attrs.define
class Peer:
    """A peer and its last heartbeat."""

    incarnation: Incarnation
    address: str
    last_heartbeat_at: float
    state: PeerState = PeerState.LIVE
    is_draining: bool = False


class MembershipChange:
    """Base class of membership changes."""


@attrs.frozen
class MemberJoined(MembershipChange):
    """A peer is new, is live again after being suspected or dead, or changed its draining flag."""

    incarnation: Incarnation


@attrs.frozen
class MemberSuspected(MembershipChange):
    """A peer has missed heartbeats and receives no new work."""

    incarnation: Incarnation


@attrs.frozen
class MemberLeft(MembershipChange):
    """A peer is considered dead, has left, or was replaced by another incarnation."""

    incarnation: Incarnation


@attrs.define
class PeerTable:
    """Peers of one availability zone and their states.

    A peer is suspected after ``SUSPECT_SECONDS`` without a heartbeat and considered dead after
    ``DEAD_SECONDS``. These states only determine where work is sent. Missing heartbeats never
    prove that tasks of a peer did not run; that requires closing its ownership.

    After a pause of this process, all peers appear silent. ``tick`` detects the gap between its
    own calls and then counts no peer as silent for more than half of ``SUSPECT_SECONDS``.
    """

    own: Incarnation
    peers: dict[Incarnation, Peer] = attrs.field(factory=dict)
    last_tick_at: float | None = None

    def record_heartbeat(
        self, incarnation: Incarnation, address: str, is_draining: bool, now: float
    ) -> list[MembershipChange]:
        """Process a heartbeat and return the resulting changes."""
        if incarnation == self.own:
            return []
        peer = self.peers.get(incarnation)
        if peer is None:
            if self._is_replaced(incarnation):
                return []
            changes = self._retire_other_incarnations(incarnation)
            self.peers[incarnation] = Peer(incarnation, address, now, is_draining=is_draining)
            return [*changes, MemberJoined(incarnation)]
        if peer.state is PeerState.LEFT:
            return []
        was_live = peer.state is PeerState.LIVE
        changed = not was_live or peer.is_draining != is_draining
        peer.last_heartbeat_at, peer.state, peer.address = now, PeerState.LIVE, address
        peer.is_draining = is_draining
        return [MemberJoined(incarnation)] if changed else []

    def leave(self, incarnation: Incarnation) -> list[MembershipChange]:
        """Process a leave message of a peer."""
        peer = self.peers.get(incarnation)
        if peer is None or peer.state is PeerState.LEFT:
            return []
        peer.state = PeerState.LEFT
        return [MemberLeft(incarnation)]

    def tick(self, now: float) -> list[MembershipChange]:
        """Update the states of peers whose heartbeats are overdue."""
        gap = 0.0 if self.last_tick_at is None else now - self.last_tick_at
        self.last_tick_at = now
        if gap > SUSPECT_SECONDS / 2:
            for peer in self.peers.values():
                peer.last_heartbeat_at = max(peer.last_heartbeat_at, now - SUSPECT_SECONDS / 2)
        changes: list[MembershipChange] = []
        for peer in self.peers.values():
            silent = now - peer.last_heartbeat_at
            if peer.state is PeerState.LIVE and silent > SUSPECT_SECONDS:
                peer.state = PeerState.SUSPECT
                changes.append(MemberSuspected(peer.incarnation))
            elif peer.state is PeerState.SUSPECT and silent > DEAD_SECONDS:
                peer.state = PeerState.DEAD
                changes.append(MemberLeft(peer.incarnation))
        self._evict_inactive()
        return changes

    def live(self) -> list[Peer]:
        """Return the live peers that are not draining, which share work with this instance."""
        return [
            peer
            for peer in self.peers.values()
            if peer.state is PeerState.LIVE and not peer.is_draining
        ]

    def reachable(self) -> list[Peer]:
        """Return the live peers, including draining ones."""
        return [peer for peer in self.peers.values() if peer.state is PeerState.LIVE]

    def state_of(self, incarnation: Incarnation) -> PeerState | None:
        """Return the state of a peer, or ``None`` if it is unknown."""
        peer = self.peers.get(incarnation)
        return None if peer is None else peer.state

    def _is_replaced(self, incarnation: Incarnation) -> bool:
        """Return whether a live peer is a later process of the same instance."""
        return any(
            peer.state is PeerState.LIVE
            and _is_same_instance(peer.incarnation, incarnation)
            and peer.incarnation.started_at > incarnation.started_at
            for peer in self.peers.values()
        )

    def _retire_other_incarnations(self, incarnation: Incarnation) -> list[MembershipChange]:
        """Mark the other known incarnations of an instance as left."""
        changes: list[MembershipChange] = []
        for peer in self.peers.values():
            is_same_instance = _is_same_instance(peer.incarnation, incarnation)
            if is_same_instance and peer.state is not PeerState.LEFT:
                if peer.state is not PeerState.DEAD:
                    changes.append(MemberLeft(peer.incarnation))
                peer.state = PeerState.LEFT
        return changes

    def _evict_inactive(self) -> None:
        inactive = [peer for peer in self.peers.values() if peer.state in _INACTIVE_STATES]
        inactive.sort(key=lambda peer: peer.last_heartbeat_at)
        for peer in inactive[: max(len(inactive) - MAX_RETAINED_INACTIVE, 0)]:
            del self.peers[peer.incarnation]


_INACTIVE_STATES = (PeerState.DEAD, PeerState.LEFT)


def _is_same_instance(one: Incarnation, other: Incarnation) -> bool:
    return (one.zone, one.instance) == (other.zone, other.instance)
