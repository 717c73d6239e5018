"""Heartbeats between the peers of an availability zone."""

import asyncio
from time import time
from typing import Protocol

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.identity import Incarnation, parse_incarnation
from cranberryshore.membership import (
    MemberJoined,
    MemberLeft,
    MembershipChange,
    MemberSuspected,
    PeerState,
    PeerTable,
)
from cranberryshore.messages import Heartbeat, KnownPeer, Leave
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind
from cranberryshored.tasks import cancel_tasks
from cranberryshored.transport import Transport

HEARTBEATS_PER_PEER_LIST = 10
"""One in this many periodic heartbeats carries the list of live peers."""

MAX_UNHEARD_PEERS = 1000
"""Maximum number of incarnations without a heartbeat whose first query is remembered."""


class MembershipListener(Protocol):
    """Receives membership changes and provides the contents of heartbeats."""

    def membership_changed(self, gone: list[Incarnation]) -> None:
        """Handle a change of the set of live peers."""
        ...

    def peer_revision(self, peer: Incarnation, revision: int, follows_store: bool) -> None:
        """Handle a peer's configuration revision and whether it follows the store itself."""
        ...

    def own_revision(self) -> int:
        """Return this instance's configuration revision."""
        ...

    def follows_store(self) -> bool:
        """Return whether this instance receives changes from the store itself."""
        ...


@attrs.define(eq=False)
class MembershipService:
    """Sends and receives heartbeats within the availability zone."""

    settings: DaemonSettings
    table: PeerTable
    transport: Transport
    listener: MembershipListener
    log: FilteringBoundLogger
    candidates: set[str] = attrs.field(factory=set)
    is_draining: bool = False
    started_at: float = 0.0
    heartbeats_sent: int = 0
    first_asked_at: dict[Incarnation, float] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start sending heartbeats."""
        self.started_at = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending heartbeats and announce to the peers that this instance leaves."""
        await cancel_tasks([self.task])
        for peer in self.table.reachable():
            self.transport.send(peer.address, str(peer.incarnation), Leave())

    def set_candidates(self, addresses: set[str]) -> None:
        """Set the peer addresses from the instance list.

        If any is new, heartbeats are sent at once, so that the peers there know this incarnation
        before its first submission ids.
        """
        has_new = bool(addresses - self.candidates)
        self.candidates = addresses
        if has_new:
            self.send_heartbeats()

    def on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        """Handle a peer's heartbeat."""
        incarnation = parse_incarnation(sender)
        if incarnation is None or incarnation.zone != self.settings.zone:
            return
        now = asyncio.get_running_loop().time()
        is_new = incarnation not in self.table.peers
        changes = self.table.record_heartbeat(
            incarnation, message.address, message.is_draining, now
        )
        if is_new and incarnation != self.table.own:
            # A peer that has just started gets the list of live peers at once.
            self.transport.send(message.address, sender, self._heartbeat())
        for known in message.known:
            self.candidates.add(known.address)
        self.listener.peer_revision(incarnation, message.config_revision, message.follows_store)
        self._notify(changes)

    def on_leave(self, sender: str) -> None:
        """Handle a peer's announcement that it leaves."""
        incarnation = parse_incarnation(sender)
        if incarnation is not None:
            self._notify(self.table.leave(incarnation))

    def is_discovery_complete(self) -> bool:
        """Return whether this process has run long enough to have discovered every live peer."""
        uptime = asyncio.get_running_loop().time() - self.started_at
        return uptime > self.settings.timing.closure_seconds

    def silent_seconds(self, incarnation: Incarnation) -> float:
        """Return how long an incarnation has been silent.

        One never heard may have just started, so its silence counts from the first query for it.
        """
        now = asyncio.get_running_loop().time()
        peer = self.table.peers.get(incarnation)
        if peer is not None:
            return now - peer.last_heartbeat_at
        asked_at = self.first_asked_at.setdefault(incarnation, now)
        if len(self.first_asked_at) > MAX_UNHEARD_PEERS:
            del self.first_asked_at[next(iter(self.first_asked_at))]
        return now - asked_at

    def unheard_addresses(self) -> set[str]:
        """Return the listed addresses of peers that neither respond nor have left."""
        heard = {
            peer.address
            for peer in self.table.peers.values()
            if peer.state in (PeerState.LIVE, PeerState.LEFT)
        }
        return self.candidates - heard - {str(self.settings.peer_listen)}

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.send_heartbeats()
            self._notify(self.table.tick(loop.time()))
            await asyncio.sleep(self.settings.timing.heartbeat_seconds)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every peer of the availability zone."""
        own_address = str(self.settings.peer_listen)
        reachable = self.table.reachable()
        heartbeat = self._heartbeat(with_known=self.heartbeats_sent % HEARTBEATS_PER_PEER_LIST == 0)
        self.heartbeats_sent += 1
        addresses = self.candidates | {peer.address for peer in reachable}
        addresses |= {str(seed) for seed in self.settings.seeds}
        for address in sorted(addresses - {own_address}):
            self.transport.send(address, "", heartbeat)

    def _heartbeat(self, with_known: bool = True) -> Heartbeat:
        reachable = self.table.reachable() if with_known else []
        return Heartbeat(
            str(self.settings.peer_listen),
            self.is_draining,
            self.listener.own_revision(),
            self.listener.follows_store(),
            tuple(KnownPeer(str(peer.incarnation), peer.address) for peer in reachable),
        )

    def _notify(self, changes: list[MembershipChange]) -> None:
        if not changes:
            return
        gone = []
        for change in changes:
            name = str(change.incarnation)
            if isinstance(change, MemberJoined):
                self._record(EventKind.MEMBER_JOINED, name, "Peer is live.")
            elif isinstance(change, MemberSuspected):
                self._record(EventKind.MEMBER_SUSPECTED, name, "Peer is silent.")
            elif isinstance(change, MemberLeft):
                self._record(EventKind.MEMBER_LEFT, name, "Peer is gone.")
                gone.append(change.incarnation)
        self.listener.membership_changed(gone)

    def _record(self, kind: EventKind, name: str, text: str) -> None:
        self.transport.recorder.record(time(), kind, name)
        self.log.info(text, peer=name)
