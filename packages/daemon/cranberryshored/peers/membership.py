"""Heartbeats with the peers of the zone."""

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
    PeerTable,
)
from cranberryshore.messages import Heartbeat, KnownPeer, Leave
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind
from cranberryshored.peers.transport import Transport
from cranberryshored.tasks import end_tasks

BEATS_PER_GOSSIP = 10
REMEMBERED_UNHEARD = 1000


class MembershipListener(Protocol):
    """Who learns of changes and fills in heartbeats."""

    def membership_changed(self, gone: list[Incarnation]) -> None:
        """The set of live peers has changed."""
        ...

    def peer_revision(self, peer: Incarnation, revision: int, follows_store: bool) -> None:
        """A peer has reported its configuration revision and whether it hears the store."""
        ...

    def own_revision(self) -> int:
        """Return this instance's configuration revision."""
        ...

    def follows_store(self) -> bool:
        """Tell whether this instance hears the store's changes itself."""
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
    beats: int = 0
    unheard: dict[Incarnation, float] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to send heartbeats."""
        self.started_at = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Tell the peers that this instance leaves, and stop."""
        await end_tasks([self.task])
        for peer in self.table.reachable():
            self.transport.send(peer.address, str(peer.incarnation), Leave())

    def set_candidates(self, addresses: set[str]) -> None:
        """Set the addresses at which the instance list says that peers listen.

        New ones are greeted at once, so that they know this incarnation before its first ids.
        """
        is_news = bool(addresses - self.candidates)
        self.candidates = addresses
        if is_news:
            self.beat()

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
            # A peer that has just started is told at once who lives.
            self.transport.send(message.address, sender, self._heartbeat())
        for known in message.known:
            self.candidates.add(known.address)
        self.listener.peer_revision(incarnation, message.config_revision, message.follows_store)
        self._tell(changes)

    def on_leave(self, sender: str) -> None:
        """Handle a peer's farewell."""
        incarnation = parse_incarnation(sender)
        if incarnation is not None:
            self._tell(self.table.leave(incarnation))

    def has_settled(self) -> bool:
        """Tell whether this process has listened long enough to miss an unknown peer."""
        uptime = asyncio.get_running_loop().time() - self.started_at
        return uptime > self.settings.timing.closure_seconds

    def silent_seconds(self, incarnation: Incarnation) -> float:
        """Return how long an incarnation has been silent.

        One that was never heard may have just started, so it counts as silent from the first
        question for it.
        """
        now = asyncio.get_running_loop().time()
        peer = self.table.peers.get(incarnation)
        if peer is not None:
            return now - peer.last_heartbeat_at
        asked_at = self.unheard.setdefault(incarnation, now)
        if len(self.unheard) > REMEMBERED_UNHEARD:
            del self.unheard[next(iter(self.unheard))]
        return now - asked_at

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.beat()
            self._tell(self.table.tick(loop.time()))
            await asyncio.sleep(self.settings.timing.heartbeat_seconds)

    def beat(self) -> None:
        """Send one heartbeat to every peer of the zone."""
        own_address = str(self.settings.peer_listen)
        reachable = self.table.reachable()
        heartbeat = self._heartbeat(with_known=self.beats % BEATS_PER_GOSSIP == 0)
        self.beats += 1
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

    def _tell(self, changes: list[MembershipChange]) -> None:
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

    def _record(self, kind: EventKind, name: str, sentence: str) -> None:
        self.transport.recorder.record(time(), kind, name)
        self.log.info(sentence, peer=name)
