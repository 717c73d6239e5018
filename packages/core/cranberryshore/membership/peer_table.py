"""Failure detector over the entry instances that this instance exchanges heartbeats with."""

from enum import Enum

import attrs

from cranberryshore.identity.incarnation import Incarnation

SUSPECT_SECONDS = 0.9
DEAD_SECONDS = 1.5
REMEMBERED_DEAD = 1000


class PeerState(Enum):
    """State of a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@attrs.define
class Peer:
    """One peer as last heard."""

    incarnation: Incarnation
    address: str
    last_heartbeat_at: float
    state: PeerState = PeerState.LIVE
    is_draining: bool = False


class MembershipChange:
    """Base of all changes of membership."""


@attrs.frozen
class MemberJoined(MembershipChange):
    """A new incarnation was heard, or a suspected one was heard again."""

    incarnation: Incarnation


@attrs.frozen
class MemberSuspected(MembershipChange):
    """A peer is silent; it gets no new work."""

    incarnation: Incarnation


@attrs.frozen
class MemberLeft(MembershipChange):
    """A peer has died, has left, or was replaced by another incarnation."""

    incarnation: Incarnation


@attrs.define
class PeerTable:
    """Live peers of one availability zone.

    A peer is suspected after ``SUSPECT_SECONDS`` without a heartbeat and dead after
    ``DEAD_SECONDS``. The detector only steers where work goes. Whether a peer's tasks may be
    told to have not run is decided by closing its ownership, never by silence.

    When this process itself was paused, all its peers look silent. ``tick`` notices the gap in
    its own calls and gives the peers their time again.
    """

    own: Incarnation
    peers: dict[Incarnation, Peer] = attrs.field(factory=dict)
    ticked_at: float | None = None

    def record_heartbeat(
        self, incarnation: Incarnation, address: str, is_draining: bool, now: float
    ) -> list[MembershipChange]:
        """Record a heartbeat."""
        if incarnation == self.own:
            return []
        peer = self.peers.get(incarnation)
        if peer is None:
            changes = self._replace(incarnation)
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
        """Record that a peer says it has left."""
        peer = self.peers.get(incarnation)
        if peer is None or peer.state is PeerState.LEFT:
            return []
        peer.state = PeerState.LEFT
        return [MemberLeft(incarnation)]

    def tick(self, now: float) -> list[MembershipChange]:
        """Find the peers that have fallen silent."""
        gap = 0.0 if self.ticked_at is None else now - self.ticked_at
        self.ticked_at = now
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
        self._forget_old()
        return changes

    def live(self) -> list[Peer]:
        """Return the peers that take part in sharing work."""
        return [
            peer
            for peer in self.peers.values()
            if peer.state is PeerState.LIVE and not peer.is_draining
        ]

    def reachable(self) -> list[Peer]:
        """Return the peers that answer, draining ones included."""
        return [peer for peer in self.peers.values() if peer.state is PeerState.LIVE]

    def state_of(self, incarnation: Incarnation) -> PeerState | None:
        """Return a peer's state, or ``None`` if it was never heard."""
        peer = self.peers.get(incarnation)
        return None if peer is None else peer.state

    def _replace(self, incarnation: Incarnation) -> list[MembershipChange]:
        """Count earlier incarnations of the same instance as left."""
        changes: list[MembershipChange] = []
        for peer in self.peers.values():
            same = (peer.incarnation.zone, peer.incarnation.instance) == (
                incarnation.zone,
                incarnation.instance,
            )
            if same and peer.state is not PeerState.LEFT:
                if peer.state is not PeerState.DEAD:
                    changes.append(MemberLeft(peer.incarnation))
                peer.state = PeerState.LEFT
        return changes

    def _forget_old(self) -> None:
        gone = [peer for peer in self.peers.values() if peer.state in _GONE]
        gone.sort(key=lambda peer: peer.last_heartbeat_at)
        for peer in gone[: max(len(gone) - REMEMBERED_DEAD, 0)]:
            del self.peers[peer.incarnation]


_GONE = (PeerState.DEAD, PeerState.LEFT)
