"""Fakes of the platform's services at the daemon's interfaces, over the virtual network."""

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

CALL_SECONDS = 1.0
STORE = "store"
LIST = "list"


@attrs.define(eq=False)
class StoreNode:
    """The store and its faults."""

    model: StoreModel = attrs.field(factory=StoreModel)
    is_down: bool = False
    lost_replies: int = 0
    calls: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def wake(self) -> None:
        """Let waiting watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define(eq=False)
class FakeStore:
    """One node's connection to the store."""

    node: str
    network: Network
    store: StoreNode

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Return a key's entry."""

        def read() -> Result[Entry | None, StoreFailure]:
            stored = self.store.model.keys.get(key)
            return Ok(None if stored is None else Entry(key, stored.revision, stored.value))

        return await self._call(read)

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """Write a key."""
        return await self._call(
            lambda: self._written(key, self.store.model.put(key, value, expected, lease)), True
        )

    async def delete(self, key: str, expected: int | None = None) -> Result[int, StoreFailure]:
        """Delete a key."""
        return await self._call(
            lambda: self._written(key, self.store.model.delete(key, expected)), True
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
        """Return the changes after a revision, waiting for the first."""
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
        """Return a lease."""
        return await self._call(lambda: Ok("lease"))

    def _changes(self, prefix: str, after: int) -> Result[WatchResult, StoreFailure]:
        changes = self.store.model.changes(prefix, after)
        if changes is None:
            return Err(WatchCompacted())
        entries = tuple(Entry(change.key, change.revision, change.value) for change in changes)
        return Ok(WatchResult(self.store.model.revision, entries))

    def _written(self, key: str, revision: int | None) -> Result[int, StoreFailure]:
        if revision is None:
            return Err(StoreConflict(self.store.model.current(key)))
        self.store.wake()
        return Ok(revision)

    async def _call(
        self, action: Callable[[], Result[Any, StoreFailure]], is_write: bool = False
    ) -> Result[Any, StoreFailure]:
        loop = asyncio.get_running_loop()
        future = loop.create_future()

        def at_store() -> None:
            self.store.calls += 1
            if self.store.is_down:
                return
            answer = action()
            if is_write and self.store.lost_replies > 0:
                self.store.lost_replies -= 1
                return
            self.network.send(STORE, self.node, lambda: _settle(future, answer))

        self.network.send(self.node, STORE, at_store)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await future
        except TimeoutError:
            return Err(StoreUnavailable("no answer"))


@attrs.define(eq=False)
class ListNode:
    """The instance list; readers see it as it was some time ago."""

    lag_seconds: float
    versions: list[tuple[float, Listing]] = attrs.field(factory=list)

    def publish(self, now: float, instances: dict[str, ListedInstance]) -> None:
        """Add a version."""
        listing = Listing(len(self.versions) + 1, tuple(instances.values()))
        self.versions.append((now, listing))

    def visible(self, now: float) -> Listing:
        """Return the version that readers see."""
        seen = self.versions[0][1]
        for at, listing in self.versions:
            if at <= now - self.lag_seconds:
                seen = listing
        return seen


@attrs.define(eq=False)
class FakeInstanceList:
    """One node's connection to the instance list."""

    node: str
    network: Network
    list: ListNode

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def fetch(self, since: int) -> Result[Listing | None, StoreUnavailable]:
        """Return the visible version if it is another one."""
        future = asyncio.get_running_loop().create_future()

        def at_list() -> None:
            listing = self.list.visible(asyncio.get_running_loop().time())
            self.network.send(LIST, self.node, lambda: _settle(future, listing))

        self.network.send(self.node, LIST, at_list)
        try:
            async with asyncio.timeout(CALL_SECONDS):
                listing = await future
        except TimeoutError:
            return Err(StoreUnavailable("no answer"))
        return Ok(None if listing.version == since else listing)


def _settle(future: asyncio.Future, value: Any) -> None:
    if not future.done():
        future.set_result(value)
