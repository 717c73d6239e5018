"""Configuration, workers and pool members, read from the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from os.path import commonprefix
from typing import Protocol, TypeVar

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.bounds import Rejection
from cranberryshore.messages import encode_json
from cranberryshore.pool import (
    LostRun,
    MemberAddress,
    PoolConfig,
    WorkerListing,
    WorkerRegistration,
)
from cranberryshore.pool.evacuation import ZoneEvacuations, evacuated_zones
from cranberryshored.platform.listing import PagedStore
from cranberryshored.platform.store import StoreFailure, StoreUnavailable
from cranberryshored.pool.clock import now
from cranberryshored.pool.protocols import ConfigHandler, EvacuationHandler
from cranberryshored.pool.records import decode_lost_run, decode_member, split_losses
from cranberryshored.pool.rejections import EntryReader, RejectionLog, decode_entry
from cranberryshored.pool.store_follower import (
    RETRY_SECONDS,
    StoreFollower,
    StoreStatus,
    call_in_time,
)
from cranberryshored.tasks import failures_logged

T = TypeVar("T")

CONFIG_WATCH_MS = 1000
"""Longest wait of a configuration watch, after which a silent connection is abandoned.

Each instance must notice a silent connection by itself, within the 3 s that the platform allows for
a reconnection: after a change, the watches of all instances begin at the same time."""

WORKERS_BATCH_SECONDS = 0.3
"""Pause after a change of the workers, in which further changes are batched: each report of a
worker is a change, and each watch is a call to the store. It must be short because a worker that
leaves must get no runs after 2 s."""

WORKERS_WATCH_MS = 1000
"""As ``CONFIG_WATCH_MS``, for the workers."""

QUERY_TIMEOUT_SECONDS = 0.5
"""Timeout of reads that a caller waits for."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of calls for the registration of this instance, and for the list of members."""

MEMBER_LEASE_SECONDS = 3
"""Lifetime of the registration of an instance that has died."""

LOSSES_LEASE_SECONDS = 120
"""Lifetime of the records of lost runs: callers submit a job again within seconds."""

RENEWALS_PER_CHECK = 3
"""A registration can be deleted although its lease is renewed; with every third renewal, its key is
read too."""

RENEWAL_SECONDS = 1.0
"""Interval of lease renewals: three may fail before the registration expires."""

WORKER_REMOVAL_SECONDS = 2.5
"""A worker is removed when its entry has been missing for this time: after an outage of the store,
entries return within 2 s."""


class LeasingStore(PagedStore, Protocol):
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
        Return why a value cannot be used, if it cannot. ``decode_worker`` takes the worker's name,
        which is the key without the prefix, and the value.
    evacuations_prefix : str
        Prefix of the keys that evacuate a zone, which is the rest of the key; it begins as
        ``config_key`` does. Empty if there are none.
    """

    config_key: str
    workers_prefix: str
    members_prefix: str
    decode_config: Callable[[str], Result[PoolConfig, Rejection]]
    decode_worker: Callable[[str, str], Result[WorkerRegistration, Rejection]]
    losses_prefix: str = "pool/losses/"
    evacuations_prefix: str = ""

    @property
    def operators_prefix(self) -> str:
        """Return the prefix of the configuration and the evacuations, for one watch of both.

        Examples
        --------
        >>> StoreLayout("op/config", "w/", "m/", None, None, "l/", "op/evacuate/").operators_prefix
        'op/'
        """
        return commonprefix([self.config_key, self.evacuations_prefix])


@attrs.define(eq=False)
class StoreRegistry:
    """Implements :class:`Registry` on a store with leases and watches.

    Parameters
    ----------
    open_store : callable
        Returns a new client of the store. Each use has a client of its own, so that none takes a
        connection that a call of another use has left silent.
    config_text, config : str or None, PoolConfig or None
        Latest value of the configuration that was read, and its decoded form.
    rejections : RejectionLog
        Rejected values of all prefixes.
    """

    open_store: Callable[[], LeasingStore]
    layout: StoreLayout
    log: FilteringBoundLogger
    lease: str = ""
    config_text: str | None = None
    config: PoolConfig | None = None
    status: StoreStatus = attrs.field(init=False)
    rejections: RejectionLog = attrs.field(init=False)
    workers_reader: EntryReader[WorkerRegistration] = attrs.field(init=False)
    members_reader: EntryReader[MemberAddress] = attrs.field(init=False)
    config_store: LeasingStore = attrs.field(init=False)
    workers_store: LeasingStore = attrs.field(init=False)
    lease_store: LeasingStore = attrs.field(init=False)
    members_store: LeasingStore = attrs.field(init=False)
    query_store: LeasingStore = attrs.field(init=False)
    losses_store: LeasingStore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.status = StoreStatus(self.log)
        self.rejections = RejectionLog("Rejected an entry; using the others.", self.log)
        self.workers_reader = EntryReader(
            self.layout.workers_prefix, self.layout.decode_worker, self.rejections
        )
        self.members_reader = EntryReader(
            self.layout.members_prefix, decode_member, self.rejections
        )
        self.config_store, self.workers_store = self.open_store(), self.open_store()
        self.lease_store, self.members_store = self.open_store(), self.open_store()
        self.query_store, self.losses_store = self.open_store(), self.open_store()

    def _stores(self) -> tuple[LeasingStore, ...]:
        return (
            self.config_store,
            self.workers_store,
            self.lease_store,
            self.members_store,
            self.query_store,
            self.losses_store,
        )

    async def start(self) -> None:
        """Open connections."""
        for store in self._stores():
            await store.start()

    async def close(self) -> None:
        """Close connections."""
        for store in self._stores():
            await store.close()

    async def follow_config(
        self, on_config: ConfigHandler, on_evacuations: EvacuationHandler | None = None
    ) -> None:
        """See :class:`Registry`."""
        layout = self.layout
        prefix = layout.config_key if on_evacuations is None else layout.operators_prefix

        def report(entries: dict[str, str], confirmed_at: float) -> None:
            if on_evacuations is not None:
                # Before the configuration, without which this instance does not schedule.
                zones = self._read_evacuated_zones(entries)
                on_evacuations(ZoneEvacuations(follower.revision, zones), confirmed_at)
            self._report_config(entries.get(layout.config_key), confirmed_at, on_config)

        follower = StoreFollower(self.config_store, prefix, CONFIG_WATCH_MS, report, self.status)
        await follower.run()

    def _read_evacuated_zones(self, entries: dict[str, str]) -> tuple[str, ...]:
        prefix = self.layout.evacuations_prefix
        zones = evacuated_zones(entries, prefix)
        for key in entries.keys() - {prefix + zone for zone in zones}:
            if key.startswith(prefix):
                self.rejections.rejected(key, Rejection("not the name of a zone, or too many"))
        return zones

    async def read_config(self, on_config: ConfigHandler) -> None:
        """See :class:`Registry`."""
        begun_at = now()
        read = await call_in_time(
            self.query_store.get(self.layout.config_key), QUERY_TIMEOUT_SECONDS
        )
        if isinstance(read, Err):
            self.status.failed(self.layout.config_key, read.err_value)
        elif read.ok_value is not None:
            self._report_config(read.ok_value.value, begun_at, on_config)

    def _report_config(
        self, text: str | None, confirmed_at: float, on_config: ConfigHandler
    ) -> None:
        if text is None:
            return
        if text != self.config_text:
            decoded = decode_entry(self.layout.decode_config, text)
            self.config_text, self.config = text, decoded.ok()
            if isinstance(decoded, Err):
                self.log.warning(
                    "Cannot decode the configuration; keeping the one in force.",
                    key=self.layout.config_key,
                    size=len(text),
                    reason=decoded.err_value.reason,
                )
        if self.config is not None:
            on_config(self.config, confirmed_at)

    async def follow_workers(
        self,
        on_workers: Callable[[WorkerListing], None],
        known: tuple[WorkerRegistration, ...],
        on_page: Callable[[], None] = lambda: None,
    ) -> None:
        """See :class:`Registry`.

        A worker whose entry is missing is still reported for some time, since entries expire
        during an outage of the store.
        """
        reported = {worker.name: worker for worker in known}
        missing: dict[str, float] = {}

        def report(entries: dict[str, str], confirmed_at: float) -> None:
            fresh = self.workers_reader.read(entries)
            for name in reported.keys() - fresh.keys():
                missing.setdefault(name, now())
            for name in list(missing):
                if name in fresh:
                    del missing[name]
                elif now() > missing[name] + WORKER_REMOVAL_SECONDS:
                    del missing[name]
                    reported.pop(name, None)
            reported.update(fresh)
            workers = tuple(reported[name] for name in sorted(reported))
            on_workers(WorkerListing(workers, frozenset(missing), confirmed_at, now()))

        # An idle connection may have fallen silent since an earlier term.
        await self.workers_store.close()
        await self.workers_store.start()
        await StoreFollower(
            self.workers_store,
            self.layout.workers_prefix,
            WORKERS_WATCH_MS,
            report,
            self.status,
            pause=WORKERS_BATCH_SECONDS,
            on_page=on_page,
        ).run()

    async def keep_registered(self, member: MemberAddress) -> None:
        """See :class:`Registry`."""
        key = self.layout.members_prefix + member.address
        value = encode_json(member).decode()
        for renewal in count(1):
            with failures_logged(self.log, "register"):
                if not self.lease:
                    await self._register(key, value)
                elif not await self._is_renewed(key, renewal % RENEWALS_PER_CHECK == 0):
                    self.lease = ""
                    continue
            await asyncio.sleep(RENEWAL_SECONDS if self.lease else RETRY_SECONDS)

    async def _is_renewed(self, key: str, is_checked: bool) -> bool:
        """Renew the lease of the registration, or check that the registration is there."""
        if is_checked:
            read = await self._in_time(self.lease_store.get(key))
            if isinstance(read, Ok) and read.ok_value is None:
                self.log.warning("Registration is gone from the store; registering again.")
                return False
        kept = await self._in_time(self.lease_store.keep_lease(self.lease))
        if isinstance(kept, Err):
            self.log.info(
                "Registration was not renewed; registering again.", error=str(kept.err_value)
            )
        return isinstance(kept, Ok)

    async def _register(self, key: str, value: str) -> None:
        granted = await self._in_time(self.lease_store.grant_lease(MEMBER_LEASE_SECONDS))
        if isinstance(granted, Err):
            self.status.failed(key, granted.err_value)
            return
        written = await self._in_time(self.lease_store.put(key, value, None, granted.ok_value))
        if isinstance(written, Err):
            self.status.failed(key, written.err_value)
            return
        self.lease = granted.ok_value

    @staticmethod
    async def _in_time(call: Awaitable[Result[T, StoreFailure]]) -> Result[T, StoreFailure]:
        return await call_in_time(call, CALL_TIMEOUT_SECONDS)

    async def unregister(self) -> None:
        """See :class:`Registry`; the registration expires with its lease."""
        self.lease = ""

    async def save_losses(self, publisher: str, lost_runs: tuple[LostRun, ...]) -> bool:
        """See :class:`Registry`; the records expire with their lease."""
        key = self.layout.losses_prefix + publisher
        written = await self._in_time(self.losses_store.grant_lease(LOSSES_LEASE_SECONDS))
        if isinstance(written, Ok):
            value = encode_json(lost_runs).decode()
            written = await self._in_time(self.losses_store.put(key, value, None, written.ok_value))
        if isinstance(written, Err):
            self.status.failed(key, written.err_value)
        return isinstance(written, Ok)

    async def load_losses(self) -> tuple[LostRun, ...] | None:
        """See :class:`Registry`."""
        listing = await self._in_time(self.losses_store.list(self.layout.losses_prefix))
        if isinstance(listing, Err):
            self.status.failed(self.layout.losses_prefix, listing.err_value)
            return None
        lost_runs: list[LostRun] = []
        for entry in listing.ok_value.entries:
            lost_runs += self._decode_losses(entry.key, entry.value)
        return tuple(lost_runs)

    def _decode_losses(self, key: str, text: str) -> list[LostRun]:
        """Return the records of an entry, without those that cannot be used."""
        items = decode_entry(split_losses, text)
        if isinstance(items, Err):
            self.rejections.rejected(key, items.err_value)
            return []
        usable = []
        for number, item in enumerate(items.ok_value):
            decoded = decode_entry(decode_lost_run, item)
            if isinstance(decoded, Err):
                self.rejections.rejected(f"{key}[{number}]", decoded.err_value)
            else:
                usable.append(decoded.ok_value)
        return usable

    async def list_members(self) -> tuple[MemberAddress, ...] | None:
        """See :class:`Registry`."""
        listing = Err(StoreUnavailable("unexpected error"))
        with failures_logged(self.log, "list_members"):
            listing = await self._in_time(self.members_store.list(self.layout.members_prefix))
        if isinstance(listing, Err):
            return None
        entries = {entry.key: entry.value for entry in listing.ok_value.entries}
        return tuple(self.members_reader.read(entries).values())
