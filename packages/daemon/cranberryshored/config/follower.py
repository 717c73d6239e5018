"""Following the configuration: a few instances of the zone watch, the others learn from them."""

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
from cranberryshored.metrics import Metrics
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.platform import Entry, Store, StoreFailure, WatchCompacted
from cranberryshored.tasks import end_tasks

WATCHERS_PER_ZONE = 2
WATCH_WAIT_MS = 10_000
RETRY_SECONDS = 0.5
CALL_SECONDS = 1.0
LEARN_SECONDS = 0.2


@attrs.define(eq=False)
class ConfigFollower:
    """Keeps the configuration of this process in step with the store.

    An instance watches the store unless ``WATCHERS_PER_ZONE`` live peers before it in the order
    of their names report that they hear it. All others learn by heartbeats that a peer is ahead
    and ask it for the changes. So the store carries a fixed number of waiting watches for each
    zone, and an instance that starts while the store is out learns from its peers.

    Parameters
    ----------
    on_applied : callable
        Called after each change of what is in force.
    """

    state: ConfigState
    store: Store
    calls: PeerCalls
    membership: MembershipService
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    on_applied: Callable[[], None]
    ahead: dict[Incarnation, int] = attrs.field(factory=dict)
    followers: dict[Incarnation, bool] = attrs.field(factory=dict)
    follows_store: bool = False
    has_loaded: bool = False
    is_closing: bool = False
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def start(self) -> None:
        """Begin to follow."""
        self.calls.handlers[ConfigQuery] = self._on_query
        self.tasks = [asyncio.create_task(self._watch()), asyncio.create_task(self._learn())]

    async def close(self) -> None:
        """Stop following."""
        await end_tasks(self.tasks)

    def on_peer_revision(self, peer: Incarnation, revision: int, follows_store: bool) -> None:
        """Note how far a peer is and whether it hears the store."""
        self.ahead[peer] = revision
        self.followers[peer] = follows_store

    def drop_peer(self, peer: Incarnation) -> None:
        """Forget a peer that has gone."""
        self.ahead.pop(peer, None)
        self.followers.pop(peer, None)

    async def wait_change(self, revision: int, seconds: float) -> None:
        """Wait until something after ``revision`` is in force, at most ``seconds``."""
        deadline = asyncio.get_running_loop().time() + seconds
        while self.state.revision <= revision and not self.is_closing:
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                return
            waiter = asyncio.create_task(self.changed.wait())
            await asyncio.wait([waiter], timeout=left)
            waiter.cancel()

    def end_waits(self) -> None:
        """Answer those who wait for a change now, because this instance leaves."""
        self.is_closing = True
        self.changed.set()

    def should_watch(self) -> bool:
        """Tell whether this instance is among the zone's watchers."""
        own = self.membership.table.own
        before = [
            peer
            for peer in self.membership.table.live()
            if peer.incarnation < own and self.followers.get(peer.incarnation, False)
        ]
        return len(before) < WATCHERS_PER_ZONE

    async def _watch(self) -> None:
        while True:
            if not self.should_watch():
                self.follows_store = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            heard = await self._hear_store()
            if isinstance(heard, Err):
                self._on_store_lost(heard.err_value)
                await asyncio.sleep(RETRY_SECONDS)
            elif not self.follows_store:
                self.follows_store = True
                self.recorder.record(time(), EventKind.STORE_REACHABLE)

    async def _hear_store(self) -> Result[None, StoreFailure]:
        if not self.has_loaded:
            return await self._load()
        heard = await self.store.watch(CONFIG_PREFIX, self.state.revision, WATCH_WAIT_MS)
        if isinstance(heard, Err):
            if isinstance(heard.err_value, WatchCompacted):
                return await self._load()
            return heard
        for entry in heard.ok_value.changes:
            self._apply(Change(entry.revision, entry.key, _resource(entry)))
        self.state.advance(heard.ok_value.revision)
        return Ok(None)

    async def _load(self) -> Result[None, StoreFailure]:
        listing = await self.store.list(CONFIG_PREFIX)
        if isinstance(listing, Err):
            return listing
        resources = {}
        for entry in listing.ok_value.entries:
            resource = _resource(entry)
            if resource is not None:
                resources[entry.key] = resource
        self._load_snapshot(Snapshot(listing.ok_value.revision, resources))
        return Ok(None)

    async def _learn(self) -> None:
        while True:
            await asyncio.sleep(LEARN_SECONDS)
            peer = self._peer_ahead()
            if peer is None:
                continue
            question = ConfigQuery(self.state.revision if self.has_loaded else -1)
            answer = await self.calls.call(
                peer.address, str(peer.incarnation), question, CALL_SECONDS
            )
            if isinstance(answer, ConfigAnswer):
                self._take(answer)

    def _peer_ahead(self) -> Peer | None:
        best, best_revision = None, self.state.revision
        for peer in self.membership.table.reachable():
            revision = self.ahead.get(peer.incarnation, 0)
            if revision > best_revision or (not self.has_loaded and revision >= best_revision > 0):
                best, best_revision = peer, revision
        return best

    def _take(self, answer: ConfigAnswer) -> None:
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
        self.log.info("In force.", key=key, revision=revision)
        self.changed.set()
        self.changed = asyncio.Event()
        self.on_applied()
        self.membership.beat()

    def _on_store_lost(self, error: StoreFailure) -> None:
        if self.follows_store:
            self.recorder.record(time(), EventKind.STORE_UNREACHABLE, detail=str(error))
            self.log.warning("Store unreachable.", error=str(error))
        self.follows_store = False


def _resource(entry: Entry) -> Resource | None:
    if entry.value is None:
        return None
    try:
        return decode_json(entry.value.encode(), Resource)
    except (msgspec.DecodeError, ValueError):
        return None
