"""Fake store and instance list of the platform, over the simulated network."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryshore_proof.network import Network
from cranberryshore_standins.store_model import StoreModel
from cranberryshored.platform import (
    Entry,
    KeyListing,
    ListedInstance,
    Listing,
    StoreConflict,
    StoreFailure,
    StoreUnavailable,
    WatchCompacted,
    WatchResult,
)

CALL_TIMEOUT_SECONDS = 1.0
STORE = "store"
INSTANCE_LIST = "list"


@attrs.define(eq=False)
class StoreNode:
    """Simulated store with its injected faults.

    It applies the next ``replies_to_lose`` writes without answering them.
    """

    model: StoreModel = attrs.field(factory=StoreModel)
    is_down: bool = False
    replies_to_lose: int = 0
    calls: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def notify_watches(self) -> None:
        """Let waiting watches check for changes."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define(eq=False)
class FakeStore:
    """Replaces one node's client of the store."""

    node: str
    network: Network
    store: StoreNode

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Return the entry of a key, ``None`` if it does not exist."""

        def read() -> Result[Entry | None, StoreFailure]:
            stored = self.store.model.keys.get(key)
            return Ok(None if stored is None else Entry(key, stored.revision, stored.value))

        return await self._call(read)

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """Write a key and return the new revision."""
        return await self._call(
            lambda: self._write_result(key, self.store.model.put(key, value, expected, lease)), True
        )

    async def delete(self, key: str, expected: int | None = None) -> Result[int, StoreFailure]:
        """Delete a key and return the new revision."""
        return await self._call(
            lambda: self._write_result(key, self.store.model.delete(key, expected)), True
        )

    async def list(self, prefix: str) -> Result[KeyListing, StoreFailure]:
        """Return all entries under a prefix."""

        def read() -> Result[KeyListing, StoreFailure]:
            model = self.store.model
            entries = tuple(
                Entry(key, stored.revision, stored.value)
                for key, stored in sorted(model.keys.items())
                if key.startswith(prefix)
            )
            return Ok(KeyListing(model.revision, entries))

        return await self._call(read)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[WatchResult, StoreFailure]:
        """Return the changes after a revision, waiting up to ``wait_ms`` for the first."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        while True:
            changed = self.store.changed
            answer = await self._call(lambda: self._changes(prefix, after))
            if isinstance(answer, Err) or answer.ok_value.changes or loop.time() >= deadline:
                return answer
            waiter = asyncio.create_task(changed.wait())
            await asyncio.wait([waiter], timeout=deadline - loop.time())
            waiter.cancel()

    async def grant_lease(self, ttl_seconds: int) -> Result[str, StoreFailure]:
        """Return the id of a lease, which never expires."""
        return await self._call(lambda: Ok("lease"))

    def _changes(self, prefix: str, after: int) -> Result[WatchResult, StoreFailure]:
        changes = self.store.model.changes(prefix, after)
        if changes is None:
            return Err(WatchCompacted())
        entries = tuple(Entry(change.key, change.revision, change.value) for change in changes)
        return Ok(WatchResult(self.store.model.revision, entries))

    def _write_result(self, key: str, revision: int | None) -> Result[int, StoreFailure]:
        if revision is None:
            return Err(StoreConflict(self.store.model.current(key)))
        self.store.notify_watches()
        return Ok(revision)

    async def _call(
        self, action: Callable[[], Result[Any, StoreFailure]], is_write: bool = False
    ) -> Result[Any, StoreFailure]:
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def handle_at_store() -> None:
            self.store.calls += 1
            if self.store.is_down:
                return
            answer = action()
            if is_write and self.store.replies_to_lose > 0:
                self.store.replies_to_lose -= 1
                return
            self.network.send(STORE, self.node, lambda: _resolve(future, answer))

        self.network.send(self.node, STORE, handle_at_store)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await future
        except TimeoutError:
            return Err(StoreUnavailable("no answer"))


@attrs.define(eq=False)
class ListNode:
    """Simulated instance list, whose readers see each version ``lag_seconds`` late."""

    lag_seconds: float
    versions: list[tuple[float, Listing]] = attrs.field(factory=list)

    def publish(self, now: float, instances: dict[str, ListedInstance]) -> None:
        """Add a version to the list."""
        listing = Listing(len(self.versions) + 1, tuple(instances.values()))
        self.versions.append((now, listing))

    def visible_listing(self, now: float) -> Listing:
        """Return the version that readers see at the given time."""
        visible = self.versions[0][1]
        for at, listing in self.versions:
            if at <= now - self.lag_seconds:
                visible = listing
        return visible


@attrs.define(eq=False)
class FakeInstanceList:
    """Replaces one node's client of the instance list."""

    node: str
    network: Network
    list: ListNode

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def fetch(self, since: int) -> Result[Listing | None, StoreUnavailable]:
        """Return the visible version, ``None`` if it is the version ``since``."""
        future = asyncio.get_running_loop().create_future()

        def handle_at_list() -> None:
            listing = self.list.visible_listing(asyncio.get_running_loop().time())
            self.network.send(INSTANCE_LIST, self.node, lambda: _resolve(future, listing))

        self.network.send(self.node, INSTANCE_LIST, handle_at_list)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                listing = await future
        except TimeoutError:
            return Err(StoreUnavailable("no answer"))
        return Ok(None if listing.version == since else listing)


def _resolve(future: asyncio.Future, value: Any) -> None:
    if not future.done():
        future.set_result(value)
