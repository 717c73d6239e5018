"""Model of the platform's store in virtual time, and clients with connections that can fail."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryshore_proof.network import Network
from cranberryshored.platform.listing import join_pages
from cranberryshored.platform.store import (
    Entry,
    KeyListing,
    KeyPage,
    StoreConflict,
    StoreFailure,
    StoreUnavailable,
    WatchCompacted,
    WatchResult,
)

STORE_NAME = "store"
"""Name of the store as a node of the simulated network."""

CALL_TIMEOUT_SECONDS, WATCH_TIMEOUT_MARGIN_SECONDS = 2.0, 2.0
"""Timeouts of the client on the platform; its callers set shorter ones."""


@attrs.define
class ModelLease:
    """A lease; ``ends_at`` is a virtual time."""

    ttl_seconds: float
    ends_at: float


@attrs.define(eq=False)
class ModelStore:
    """Store with revisions, watches and leases.

    Parameters
    ----------
    entries : dict
        Present entries by key.
    history : list of Entry
        Changes after the revision ``compacted``.
    lease_by_key : dict
        Lease that a key is deleted with.
    is_silent : bool
        Whether all calls stay unanswered and undone.
    slow_seconds, listing_seconds : float
        Additional time that each answer takes, and that each page of a listing takes besides.
    page_size : int
        Largest number of entries on a page.
    """

    revision: int = 10
    compacted: int = 0
    entries: dict[str, Entry] = attrs.field(factory=dict)
    history: list[Entry] = attrs.field(factory=list)
    leases: dict[str, ModelLease] = attrs.field(factory=dict)
    lease_by_key: dict[str, str] = attrs.field(factory=dict)
    is_silent: bool = False
    slow_seconds: float = 0.0
    listing_seconds: float = 0.0
    page_size: int = 500
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set(self, key: str, value: str | None, lease: str = "") -> int:
        """Write an entry, or delete it if the value is ``None``; return the revision."""
        self.revision += 1
        entry = Entry(key, self.revision, value)
        self.entries.pop(key, None)
        self.lease_by_key.pop(key, None)
        if value is not None:
            self.entries[key] = entry
        if lease:
            self.lease_by_key[key] = lease
        self.history.append(entry)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def compact(self) -> None:
        """Drop the history of changes."""
        self.compacted = self.revision
        self.history.clear()

    def expire_leases(self, now: float) -> None:
        """Delete the keys of the leases that have ended."""
        for lease in [name for name, item in self.leases.items() if item.ends_at < now]:
            del self.leases[lease]
            for key in [key for key, held in self.lease_by_key.items() if held == lease]:
                self.set(key, None)

    def list(self, prefix: str) -> KeyListing:
        """Return all entries with a prefix."""
        keys = sorted(key for key in self.entries if key.startswith(prefix))
        return KeyListing(self.revision, tuple(self.entries[key] for key in keys))

    def list_page(self, prefix: str, after: str) -> KeyPage:
        """Return the entries with a prefix whose keys come after another one, up to a limit."""
        keys = sorted(key for key in self.entries if key.startswith(prefix) and key > after)
        page = keys[: self.page_size]
        entries = tuple(self.entries[key] for key in page)
        return KeyPage(self.revision, entries, page[-1] if len(keys) > len(page) else "")

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> Result[WatchResult, StoreFailure]:
        """Return the changes after a revision, waiting for the first."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_seconds
        while True:
            if after < self.compacted:
                return Err(WatchCompacted())
            changes = [
                entry
                for entry in self.history
                if entry.revision > after and entry.key.startswith(prefix)
            ]
            left = end - loop.time()
            if changes or left <= 0:
                return Ok(WatchResult(self.revision, tuple(changes)))
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue


@attrs.define(eq=False)
class ModelConnection:
    """Connection of a client to the store.

    Parameters
    ----------
    is_silent : bool
        Whether nothing arrives over it any more in either direction.
    """

    is_silent: bool = False


@attrs.define(eq=False)
class ModelStoreClient:
    """Client of an instance, which keeps idle connections for later calls.

    Parameters
    ----------
    node : str
        Address of the instance.
    is_unreachable : callable
        Returns whether the store is out of reach of the instance, or rejects it, at the moment.
    idle, in_use : list of ModelConnection
        Its open connections. One whose call was not answered in time is closed.
    """

    node: str
    store: ModelStore
    network: Network
    is_unreachable: Callable[[], bool]
    idle: list[ModelConnection] = attrs.field(factory=list)
    in_use: list[ModelConnection] = attrs.field(factory=list)

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Close the idle connections."""
        self.idle.clear()

    def silence(self) -> None:
        """Let the open connections fall silent for good, without a reset."""
        for connection in (*self.idle, *self.in_use):
            connection.is_silent = True

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """See :class:`Store`."""

        async def serve() -> Result:
            return Ok(self.store.entries.get(key))

        return await self._call(serve)

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """See :class:`Store`; an expected revision is not modelled."""

        async def serve() -> Result:
            if lease and lease not in self.store.leases:
                return Err(StoreConflict(0))
            return Ok(self.store.set(key, value, lease))

        return await self._call(serve)

    async def delete(self, key: str, expected: int | None = None) -> Result[int, StoreFailure]:
        """See :class:`Store`; an expected revision is not modelled."""

        async def serve() -> Result:
            return Ok(self.store.set(key, None))

        return await self._call(serve)

    async def list(self, prefix: str) -> Result[KeyListing, StoreFailure]:
        """See :class:`Store`."""
        return await join_pages(lambda after: self.list_page(prefix, after))

    async def list_page(self, prefix: str, after: str) -> Result[KeyPage, StoreFailure]:
        """See :class:`PagedStore`."""

        async def serve() -> Result:
            await asyncio.sleep(self.store.listing_seconds)
            return Ok(self.store.list_page(prefix, after))

        return await self._call(serve)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[WatchResult, StoreFailure]:
        """See :class:`Store`."""
        seconds = wait_ms / 1000
        return await self._call(
            lambda: self.store.watch(prefix, after, seconds), seconds + WATCH_TIMEOUT_MARGIN_SECONDS
        )

    async def grant_lease(self, ttl_seconds: int) -> Result[str, StoreFailure]:
        """See :class:`Store`."""

        async def serve() -> Result:
            lease = str(len(self.store.leases) + self.store.revision * 1000)
            self.store.leases[lease] = ModelLease(ttl_seconds, self._now() + ttl_seconds)
            return Ok(lease)

        return await self._call(serve)

    async def keep_lease(self, lease: str) -> Result[None, StoreFailure]:
        """See :class:`LeasingStore`."""

        async def serve() -> Result:
            held = self.store.leases.get(lease)
            if held is None:
                return Err(StoreConflict(0))
            held.ends_at = self._now() + held.ttl_seconds
            return Ok(None)

        return await self._call(serve)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _call(
        self,
        serve: Callable[[], Coroutine[Any, Any, Result]],
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result:
        """Call the store over an idle connection, or a new one."""
        connection = self.idle.pop() if self.idle else ModelConnection()
        self.in_use.append(connection)
        answer = asyncio.get_running_loop().create_future()

        def is_lost() -> bool:
            return connection.is_silent or self.store.is_silent or self.is_unreachable()

        async def handle() -> None:
            if is_lost():
                return
            self.store.expire_leases(self._now())
            result = await serve()
            await asyncio.sleep(self.store.slow_seconds)
            if not is_lost():
                self.network.send(STORE_NAME, self.node, lambda: self._arrive(answer, result))

        try:
            async with asyncio.timeout(seconds):
                self.network.send(self.node, STORE_NAME, lambda: asyncio.ensure_future(handle()))
                result = await answer
        except TimeoutError:
            return Err(StoreUnavailable("TimeoutError"))
        finally:
            self.in_use.remove(connection)
        self.idle.append(connection)
        return result

    @staticmethod
    def _arrive(answer: asyncio.Future, result: Result) -> None:
        if not answer.done():
            answer.set_result(result)
