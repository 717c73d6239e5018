"""Ownership: the record in the store for the current incarnation of this instance."""

import asyncio
from collections.abc import Callable
from random import Random

import attrs
import msgspec
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.identity import Incarnation, SubmissionLedger, new_incarnation
from cranberryshore.messages import decode_json, encode_json
from cranberryshore.ownership import OwnedWorker, OwnerRecord, owner_key
from cranberryshore.settings import DaemonSettings
from cranberryshored.platform import Store, StoreConflict, StoreFailure


@attrs.frozen
class RecordClosed:
    """Error: the record of the incarnation is closed, so it must not start any more tasks."""

    incarnation: Incarnation


@attrs.define(eq=False)
class OwnershipService:
    """Registers the incarnation and the workers that it may start tasks on.

    Tasks are started only on workers that are already in the stored record, so that a peer that
    closes the record knows all workers that may run tasks of this incarnation.
    """

    settings: DaemonSettings
    store: Store
    log: FilteringBoundLogger
    unix_time: Callable[[], float]
    random: Random
    incarnation: Incarnation = attrs.field(init=False)
    ledger: SubmissionLedger = attrs.field(init=False)
    record: OwnerRecord = attrs.field(init=False)
    revision: int = 0
    is_registered: bool = False
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        self.renew()

    def renew(self) -> None:
        """Create a new incarnation with an empty, unregistered record."""
        settings = self.settings
        self.incarnation = new_incarnation(
            settings.zone, settings.instance, self.unix_time(), self.random
        )
        self.ledger = SubmissionLedger(self.incarnation)
        self.record = OwnerRecord(str(self.incarnation))
        self.revision = 0
        self.is_registered = False

    async def set_workers(
        self, workers: frozenset[OwnedWorker]
    ) -> Result[None, StoreFailure | RecordClosed]:
        """Write the record with ``workers``; tasks may be started on them only after success."""
        async with self.lock:
            incarnation = self.incarnation
            wanted = self.record.with_workers(workers, self.ledger.next_sequence)
            if self.is_registered and wanted == self.record:
                return Ok(None)
            written = await self._write(wanted, self.revision)
            if incarnation != self.incarnation:
                return Err(RecordClosed(incarnation))
            if isinstance(written, Err):
                return written
            self.revision = written.ok_value
            self.record = wanted
            self.is_registered = True
            return Ok(None)

    async def is_closed(self) -> Result[bool, StoreFailure]:
        """Read from the store whether a peer has closed the record."""
        read = await self.store.get(owner_key(self.incarnation))
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return Ok(False)
        found = _decode(read.ok_value.value)
        return Ok(found is None or found.is_closed)

    async def close_record(self) -> None:
        """Close the record on graceful shutdown, so that peers need not wait."""
        if not self.is_registered:
            return
        closed = self.record.closed(str(self.incarnation))
        written = await self._write(closed, self.revision)
        if isinstance(written, Err):
            self.log.warning("Owner record not closed.", error=str(written.err_value))

    async def _write(
        self, record: OwnerRecord, expected: int
    ) -> Result[int, StoreFailure | RecordClosed]:
        key = owner_key(self.incarnation)
        written = await self.store.put(key, encode_json(record).decode(), expected)
        if isinstance(written, Ok):
            return written
        # The reply may have been lost after the write took effect, so read the record back.
        read = await self.store.get(key)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return written
        found = _decode(read.ok_value.value)
        if found is None or found.is_closed:
            return Err(RecordClosed(self.incarnation))
        if found == record:
            return Ok(read.ok_value.revision)
        if isinstance(written.err_value, StoreConflict) and found.owner == record.owner:
            # An earlier write took effect but its reply was lost; continue from its revision.
            self.revision = read.ok_value.revision
        return written


def _decode(text: str) -> OwnerRecord | None:
    try:
        return decode_json(text.encode(), OwnerRecord)
    except (msgspec.DecodeError, ValueError):
        return None
