"""Following of the platform's store: configuration, workers and the members of the pool."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec
from result import Err, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import decode_json, encode_json
from cranberryshore.pool import MemberAddress, PoolConfig, WorkerEntry
from cranberryshored.platform.store import (
    KeyListing,
    Store,
    StoreFailure,
    WatchCompacted,
    WatchResult,
)
from cranberryshored.pool.clock import now

RETRY_SECONDS = 0.25
"""Pause after a call that the store did not answer."""

CONFIG_WAIT_MS = 2500
"""Longest wait of a watch for a configuration. A connection that falls silent is left after that;
should all instances' connections do so at once, one of them learns of a change within a second."""

WORKERS_PAUSE_SECONDS = 0.3
"""Pause after a change of workers: each report of a worker is one, and each watch is a call. A
worker that leaves must get nothing after 2 s."""

WORKERS_WAIT_MS = 1000
"""The same for workers, which only a scheduler follows: a silent connection is noticed soon."""

MEMBER_LEASE_SECONDS = 3
"""An instance that has died is no longer registered after so long."""

KEEP_SECONDS = 1.0
"""Time between two renewals of a registration: three may fail before it lapses."""

REMOVAL_SECONDS = 2.5
"""A worker without an entry is gone after so long: entries return 2 s after an outage."""


class LeasingStore(Store, Protocol):
    """A store whose leases can be renewed."""

    async def keep_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; an error of type ``StoreConflict`` says that it has ended."""
        ...


@attrs.frozen
class StoreLayout:
    """Where the store keeps what, and how it is decoded.

    Parameters
    ----------
    config_key, workers_prefix, members_prefix : str
        Keys.
    decode_config, decode_worker : callable
        Return ``None`` for what cannot be used; the second takes the key's last part as well.
    """

    config_key: str
    workers_prefix: str
    members_prefix: str
    decode_config: Callable[[str], PoolConfig | None]
    decode_worker: Callable[[str, str], WorkerEntry | None]


@attrs.define(eq=False)
class StoreRegistry:
    """Implements :class:`Registry` on a store with leases and watches."""

    store: LeasingStore
    layout: StoreLayout
    log: FilteringBoundLogger
    lease: str = ""
    is_away: bool = False

    async def start(self) -> None:
        """Open connections."""
        await self.store.start()

    async def close(self) -> None:
        """Close connections."""
        await self.store.close()

    async def follow_config(self, on_config: Callable[[PoolConfig], None]) -> None:
        """See :class:`Registry`."""

        def take(entries: dict[str, str]) -> None:
            text = entries.get(self.layout.config_key)
            config = self.layout.decode_config(text) if text is not None else None
            if config is not None:
                on_config(config)
            elif text is not None:
                self.log.warning("Configuration cannot be read.", size=len(text))

        await self._follow(self.layout.config_key, CONFIG_WAIT_MS, take)

    async def follow_workers(self, on_workers: Callable[[tuple[WorkerEntry, ...]], None]) -> None:
        """See :class:`Registry`.

        A worker whose entry is gone is reported for some time more, since entries lapse while the
        store is away.
        """
        known: dict[str, WorkerEntry] = {}
        missing: dict[str, float] = {}

        def take(entries: dict[str, str]) -> None:
            fresh: dict[str, WorkerEntry] = {}
            for key, text in entries.items():
                name = key.removeprefix(self.layout.workers_prefix)
                worker = self.layout.decode_worker(name, text)
                if worker is not None:
                    fresh[name] = worker
            for name in known.keys() - fresh.keys():
                missing.setdefault(name, now())
            for name in list(missing):
                if name in fresh:
                    del missing[name]
                elif now() > missing[name] + REMOVAL_SECONDS:
                    del missing[name]
                    known.pop(name, None)
            known.update(fresh)
            on_workers(tuple(known[name] for name in sorted(known)))

        await self._follow(self.layout.workers_prefix, WORKERS_WAIT_MS, take, WORKERS_PAUSE_SECONDS)

    async def _follow(
        self,
        prefix: str,
        wait_ms: int,
        take: Callable[[dict[str, str]], None],
        pause: float = 0.0,
    ) -> None:
        """Report all entries under a prefix after each change.

        With a pause, they are reported after each answer, and changes are gathered that long.
        """
        while True:
            listing = await self.store.list(prefix)
            if isinstance(listing, Err):
                self._away(prefix, listing.err_value)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._back(prefix)
            await self._watch(prefix, wait_ms, listing.ok_value, take, pause)

    async def _watch(
        self,
        prefix: str,
        wait_ms: int,
        listing: KeyListing,
        take: Callable[[dict[str, str]], None],
        pause: float,
    ) -> None:
        """Follow changes after a listing until the store has dropped them."""
        entries = {entry.key: entry.value for entry in listing.entries}
        revision = listing.revision
        take(entries)
        while True:
            watched = await self.store.watch(prefix, revision, wait_ms)
            if isinstance(watched, Err):
                if isinstance(watched.err_value, WatchCompacted):
                    self.log.info("Changes were dropped; reading anew.", prefix=prefix)
                    return
                self._away(prefix, watched.err_value)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._back(prefix)
            self._apply(entries, watched.ok_value)
            revision = max(revision, watched.ok_value.revision)
            if watched.ok_value.changes or pause:
                take(entries)
            if watched.ok_value.changes:
                await asyncio.sleep(pause)

    @staticmethod
    def _apply(entries: dict[str, str], watched: WatchResult) -> None:
        for change in watched.changes:
            if change.value is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.value

    def _away(self, prefix: str, failure: StoreFailure) -> None:
        if not self.is_away:
            self.is_away = True
            self.log.warning("Store does not answer.", prefix=prefix, error=str(failure))

    def _back(self, prefix: str) -> None:
        if self.is_away:
            self.is_away = False
            self.log.info("Store answers again.", prefix=prefix)

    async def keep_registered(self, member: MemberAddress) -> None:
        """See :class:`Registry`."""
        key = self.layout.members_prefix + member.address
        value = encode_json(member).decode()
        while True:
            if not self.lease:
                await self._register(key, value)
            elif isinstance(kept := await self.store.keep_lease(self.lease), Err):
                self.log.info("Registration was not renewed.", error=str(kept.err_value))
                self.lease = ""
                continue
            await asyncio.sleep(KEEP_SECONDS if self.lease else RETRY_SECONDS)

    async def _register(self, key: str, value: str) -> None:
        granted = await self.store.grant_lease(MEMBER_LEASE_SECONDS)
        if isinstance(granted, Err):
            self._away(key, granted.err_value)
            return
        written = await self.store.put(key, value, None, granted.ok_value)
        if isinstance(written, Err):
            self._away(key, written.err_value)
            return
        self.lease = granted.ok_value

    async def unregister(self) -> None:
        """See :class:`Registry`; the lease ends the registration."""
        self.lease = ""

    async def list_members(self) -> tuple[MemberAddress, ...] | None:
        """See :class:`Registry`."""
        listing = await self.store.list(self.layout.members_prefix)
        if isinstance(listing, Err):
            return None
        members = []
        for entry in listing.ok_value.entries:
            try:
                members.append(decode_json(entry.value.encode(), MemberAddress))
            except (msgspec.DecodeError, ValueError) as error:
                self.log.warning("Member cannot be read.", key=entry.key, error=str(error))
        return tuple(members)
