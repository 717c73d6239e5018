"""Configuration, workers and pool members, read from the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs
import msgspec
from result import Err, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import decode_json, encode_json
from cranberryshore.pool import MemberAddress, PoolConfig, WorkerRegistration
from cranberryshored.platform.store import (
    KeyListing,
    Store,
    StoreFailure,
    WatchCompacted,
    WatchResult,
)
from cranberryshored.pool.clock import now

RETRY_SECONDS = 0.25
"""Delay before retrying a failed call to the store."""

CONFIG_WATCH_MS = 2500
"""Longest wait of a configuration watch, after which a silent connection is abandoned. The watches
of the instances end at different times, so one of them sees a change within 1 s even if all
connections fall silent at once."""

WORKERS_BATCH_SECONDS = 0.3
"""Pause after a change of the workers, in which further changes are batched: each report of a
worker is a change, and each watch is a call to the store. It must be short because a worker that
leaves must get no runs after 2 s."""

WORKERS_WATCH_MS = 1000
"""As ``CONFIG_WATCH_MS``, for the workers: shorter because only a scheduler watches them, and no
other instance would notice a change in its place."""

MEMBER_LEASE_SECONDS = 3
"""Lifetime of the registration of an instance that has died."""

RENEWAL_SECONDS = 1.0
"""Interval of lease renewals: three may fail before the registration expires."""

WORKER_REMOVAL_SECONDS = 2.5
"""A worker is removed when its entry has been missing for this time: after an outage of the store,
entries return within 2 s."""


class LeasingStore(Store, Protocol):
    """A store whose leases can be renewed."""

    async def keep_lease(self, lease: str) -> Result[None, StoreFailure]:
        """Renew a lease; the error ``StoreConflict`` means that it has expired."""
        ...


@attrs.frozen
class StoreLayout:
    """Keys of the pool's data in the store, and decoders of the values.

    Parameters
    ----------
    decode_config, decode_worker : callable
        Return ``None`` for values that cannot be used. ``decode_worker`` takes the worker's name,
        which is the key without the prefix, and the value.
    """

    config_key: str
    workers_prefix: str
    members_prefix: str
    decode_config: Callable[[str], PoolConfig | None]
    decode_worker: Callable[[str, str], WorkerRegistration | None]


@attrs.define(eq=False)
class StoreRegistry:
    """Implements :class:`Registry` on a store with leases and watches."""

    store: LeasingStore
    layout: StoreLayout
    log: FilteringBoundLogger
    lease: str = ""
    is_store_unreachable: bool = False

    async def start(self) -> None:
        """Open connections."""
        await self.store.start()

    async def close(self) -> None:
        """Close connections."""
        await self.store.close()

    async def follow_config(self, on_config: Callable[[PoolConfig], None]) -> None:
        """See :class:`Registry`."""

        def report(entries: dict[str, str]) -> None:
            text = entries.get(self.layout.config_key)
            config = self.layout.decode_config(text) if text is not None else None
            if config is not None:
                on_config(config)
            elif text is not None:
                self.log.warning("Cannot decode the configuration; ignoring it.", size=len(text))

        await self._follow(self.layout.config_key, CONFIG_WATCH_MS, report)

    async def follow_workers(
        self,
        on_workers: Callable[[tuple[WorkerRegistration, ...]], None],
        known: tuple[WorkerRegistration, ...],
    ) -> None:
        """See :class:`Registry`.

        A worker whose entry is missing is still reported for some time, since entries expire
        during an outage of the store.
        """
        reported = {worker.name: worker for worker in known}
        missing: dict[str, float] = {}

        def report(entries: dict[str, str]) -> None:
            fresh: dict[str, WorkerRegistration] = {}
            for key, text in entries.items():
                name = key.removeprefix(self.layout.workers_prefix)
                worker = self.layout.decode_worker(name, text)
                if worker is not None:
                    fresh[name] = worker
            for name in reported.keys() - fresh.keys():
                missing.setdefault(name, now())
            for name in list(missing):
                if name in fresh:
                    del missing[name]
                elif now() > missing[name] + WORKER_REMOVAL_SECONDS:
                    del missing[name]
                    reported.pop(name, None)
            reported.update(fresh)
            on_workers(tuple(reported[name] for name in sorted(reported)))

        await self._follow(
            self.layout.workers_prefix, WORKERS_WATCH_MS, report, WORKERS_BATCH_SECONDS
        )

    async def _follow(
        self,
        prefix: str,
        wait_ms: int,
        report: Callable[[dict[str, str]], None],
        pause: float = 0.0,
    ) -> None:
        """Report all entries under a prefix after each change.

        With a pause, they are reported after each response of the store, even without a change,
        and changes are batched for that time.
        """
        while True:
            listing = await self.store.list(prefix)
            if isinstance(listing, Err):
                self._report_failure(prefix, listing.err_value)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._report_recovery(prefix)
            await self._watch(prefix, wait_ms, listing.ok_value, report, pause)

    async def _watch(
        self,
        prefix: str,
        wait_ms: int,
        listing: KeyListing,
        report: Callable[[dict[str, str]], None],
        pause: float,
    ) -> None:
        """Report changes after a listing until the store has compacted its change history."""
        entries = {entry.key: entry.value for entry in listing.entries}
        revision = listing.revision
        report(entries)
        while True:
            watched = await self.store.watch(prefix, revision, wait_ms)
            if isinstance(watched, Err):
                if isinstance(watched.err_value, WatchCompacted):
                    self.log.info(
                        "Store has compacted the changes; listing all entries again.", prefix=prefix
                    )
                    return
                self._report_failure(prefix, watched.err_value)
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._report_recovery(prefix)
            self._apply(entries, watched.ok_value)
            revision = max(revision, watched.ok_value.revision)
            if watched.ok_value.changes or pause:
                report(entries)
            if watched.ok_value.changes:
                await asyncio.sleep(pause)

    @staticmethod
    def _apply(entries: dict[str, str], watched: WatchResult) -> None:
        for change in watched.changes:
            if change.value is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.value

    def _report_failure(self, prefix: str, failure: StoreFailure) -> None:
        if not self.is_store_unreachable:
            self.is_store_unreachable = True
            self.log.warning("Store does not answer.", prefix=prefix, error=str(failure))

    def _report_recovery(self, prefix: str) -> None:
        if self.is_store_unreachable:
            self.is_store_unreachable = False
            self.log.info("Store responds again.", prefix=prefix)

    async def keep_registered(self, member: MemberAddress) -> None:
        """See :class:`Registry`."""
        key = self.layout.members_prefix + member.address
        value = encode_json(member).decode()
        while True:
            if not self.lease:
                await self._register(key, value)
            elif isinstance(kept := await self.store.keep_lease(self.lease), Err):
                self.log.info(
                    "Registration was not renewed; registering again.", error=str(kept.err_value)
                )
                self.lease = ""
                continue
            await asyncio.sleep(RENEWAL_SECONDS if self.lease else RETRY_SECONDS)

    async def _register(self, key: str, value: str) -> None:
        granted = await self.store.grant_lease(MEMBER_LEASE_SECONDS)
        if isinstance(granted, Err):
            self._report_failure(key, granted.err_value)
            return
        written = await self.store.put(key, value, None, granted.ok_value)
        if isinstance(written, Err):
            self._report_failure(key, written.err_value)
            return
        self.lease = granted.ok_value

    async def unregister(self) -> None:
        """See :class:`Registry`; the registration expires with its lease."""
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
                self.log.warning(
                    "Cannot decode a member entry; ignoring it.", key=entry.key, error=str(error)
                )
        return tuple(members)
