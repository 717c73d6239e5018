"""Configuration replication: a few instances of a zone watch the store, others query peers."""

import asyncio
from collections.abc import Callable
from time import time

import attrs
import msgspec
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.config import CONFIG_PREFIX, Change, ConfigState, Resource, Snapshot
from cranberryshore.identity import Incarnation
from cranberryshore.membership import Peer
from cranberryshore.messages import ConfigAnswer, ConfigQuery, decode_json
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshored.evidence import Rollout
from cranberryshored.metrics import Metrics
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.platform import Entry, Store, StoreFailure, WatchCompacted
from cranberryshored.tasks import cancel_tasks

WATCHERS_PER_ZONE = 2
WATCH_WAIT_MS = 2000
"""Longest wait of a watch. Two watches in a row over silent connections must end within the 10 s in
which a configuration has to be in force: after a change, all watches begin at the same time."""

RETRY_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0
PEER_SYNC_INTERVAL_SECONDS = 0.2


@attrs.define(eq=False)
class ConfigFollower:
    """Keeps the configuration of this process up to date with the store.

    An instance watches the store unless ``WATCHERS_PER_ZONE`` live peers with a lower incarnation
    report that they follow it. The others learn from heartbeats that a peer has a newer revision
    and request the changes from it. So the store holds a fixed number of watches per
    availability zone, and an instance that starts during a store outage gets the configuration
    from its peers.

    Parameters
    ----------
    on_applied : callable
        Called after each applied change.
    confirmed_at : float
        Latest time at which the configuration in force is known to have been the newest one,
        according to the store.
    """

    state: ConfigState
    store: Store
    calls: PeerCalls
    membership: MembershipService
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    on_applied: Callable[[], None]
    peer_revisions: dict[Incarnation, int] = attrs.field(factory=dict)
    peers_following: dict[Incarnation, bool] = attrs.field(factory=dict)
    follows_store: bool = False
    has_loaded: bool = False
    confirmed_at: float = float("-inf")
    is_closing: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start watching the store and querying peers."""
        self.calls.handlers[ConfigQuery] = self._on_query
        self.tasks = [
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._sync_with_peers()),
        ]

    async def close(self) -> None:
        """Stop watching and querying."""
        await cancel_tasks(self.tasks)

    def on_peer_revision(self, peer: Incarnation, revision: int, follows_store: bool) -> None:
        """Record the revision of a peer and whether it follows the store."""
        self.peer_revisions[peer] = revision
        self.peers_following[peer] = follows_store

    def drop_peer(self, peer: Incarnation) -> None:
        """Remove a peer that has left or died."""
        self.peer_revisions.pop(peer, None)
        self.peers_following.pop(peer, None)

    async def wait_for_change(self, revision: int, seconds: float) -> None:
        """Wait until a revision after ``revision`` is applied, at most ``seconds``."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.state.revision <= revision and not self.is_closing:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                return
            waiter = asyncio.create_task(self.changed.wait())
            await asyncio.wait([waiter], timeout=left)
            waiter.cancel()

    def release_waiters(self) -> None:
        """Wake all callers of ``wait_for_change``, because this instance is shutting down."""
        self.is_closing = True
        self.changed.set()

    def rollout(self, revision: int) -> Rollout:
        """Return which instances of the zone have not applied a revision, as known here."""
        table = self.membership.table
        late = [
            str(peer.incarnation)
            for peer in table.live()
            if self.peer_revisions.get(peer.incarnation, 0) < revision
        ]
        if self.state.revision < revision:
            late.append(str(table.own))
        return Rollout(tuple(late), tuple(sorted(self.membership.unheard_addresses())))

    def should_watch(self) -> bool:
        """Return whether this instance is one of the watchers of the zone."""
        own = self.membership.table.own
        before = [
            peer
            for peer in self.membership.table.live()
            if peer.incarnation < own and self.peers_following.get(peer.incarnation, False)
        ]
        return len(before) < WATCHERS_PER_ZONE

    async def _watch(self) -> None:
        while True:
            if not self.should_watch():
                self.follows_store = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            watched = await self.read_store(WATCH_WAIT_MS)
            if isinstance(watched, Err):
                self._on_store_lost(watched.err_value)
                await asyncio.sleep(RETRY_SECONDS)
            elif not self.follows_store:
                self.follows_store = True
                self.recorder.record(time(), EventKind.STORE_REACHABLE)

    async def read_store(self, wait_ms: int = 0) -> Result[None, StoreFailure]:
        """Apply the changes in the store, waiting up to ``wait_ms`` for the first."""
        begun_at = asyncio.get_running_loop().time()
        read = await self._read(wait_ms)
        if isinstance(read, Ok):
            self.confirmed_at = max(self.confirmed_at, begun_at)
        return read

    async def _read(self, wait_ms: int) -> Result[None, StoreFailure]:
        if not self.has_loaded:
            return await self._load()
        watched = await self.store.watch(CONFIG_PREFIX, self.state.revision, wait_ms)
        if isinstance(watched, Err):
            if isinstance(watched.err_value, WatchCompacted):
                return await self._load()
            return watched
        for entry in watched.ok_value.changes:
            self._apply(Change(entry.revision, entry.key, _decode_resource(entry)))
        self.state.advance(watched.ok_value.revision)
        return Ok(None)

    async def _load(self) -> Result[None, StoreFailure]:
        listing = await self.store.list(CONFIG_PREFIX)
        if isinstance(listing, Err):
            return listing
        resources = {}
        for entry in listing.ok_value.entries:
            resource = _decode_resource(entry)
            if resource is not None:
                resources[entry.key] = resource
        self._load_snapshot(Snapshot(listing.ok_value.revision, resources))
        return Ok(None)

    async def _sync_with_peers(self) -> None:
        while True:
            await asyncio.sleep(PEER_SYNC_INTERVAL_SECONDS)
            peer = self._peer_ahead()
            if peer is None:
                continue
            query = ConfigQuery(self.state.revision if self.has_loaded else -1)
            answer = await self.calls.call(
                peer.address, str(peer.incarnation), query, CALL_TIMEOUT_SECONDS
            )
            if isinstance(answer, ConfigAnswer):
                self._apply_answer(answer)

    def _peer_ahead(self) -> Peer | None:
        """Return the peer with the highest revision, if that is newer than this process's."""
        best, best_revision = None, self.state.revision
        for peer in self.membership.table.reachable():
            revision = self.peer_revisions.get(peer.incarnation, 0)
            if revision > best_revision or (not self.has_loaded and revision >= best_revision > 0):
                best, best_revision = peer, revision
        return best

    def _apply_answer(self, answer: ConfigAnswer) -> None:
        if answer.snapshot is not None:
            self._load_snapshot(answer.snapshot)
        for change in answer.changes:
            self._apply(change)
        self.state.advance(answer.revision)

    async def _on_query(self, query: ConfigQuery) -> ConfigAnswer:
        changes = self.state.changes_after(query.after)
        if query.after < 0 or isinstance(changes, Err):
            return ConfigAnswer(self.state.revision, snapshot=self.state.snapshot())
        return ConfigAnswer(self.state.revision, changes=tuple(changes.ok_value))

    def _load_snapshot(self, snapshot: Snapshot) -> None:
        self.has_loaded = True
        if self.state.load(snapshot):
            self._after_change("snapshot")

    def _apply(self, change: Change) -> None:
        if self.state.apply(change):
            self._after_change(change.key)

    def _after_change(self, key: str) -> None:
        revision = self.state.revision
        self.metrics.revision.set(revision)
        self.recorder.record(time(), EventKind.CONFIGURATION_APPLIED, key, str(revision))
        self.log.info("Configuration applied.", key=key, revision=revision)
        self.changed.set()
        self.changed = asyncio.Event()
        self.on_applied()
        self.membership.send_heartbeats()

    def _on_store_lost(self, error: StoreFailure) -> None:
        if self.follows_store:
            self.recorder.record(time(), EventKind.STORE_UNREACHABLE, detail=str(error))
            self.log.warning("Store unreachable.", error=str(error))
        self.follows_store = False


def _decode_resource(entry: Entry) -> Resource | None:
    if entry.value is None:
        return None
    try:
        return decode_json(entry.value.encode(), Resource)
    except (msgspec.DecodeError, ValueError):
        return None
