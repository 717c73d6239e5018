"""Ownership of this instance: its incarnation's record in the store."""

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
class Closed:
    """The record of an incarnation is closed: it may start nothing any more."""

    incarnation: Incarnation


@attrs.define(eq=False)
class OwnershipService:
    """Registers the incarnation and the workers that it may start tasks on.

    A task is started only on workers that a successful write has put into the record, so a peer
    that closes the record knows all of them.
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
        """Take a new incarnation, with no workers yet."""
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
    ) -> Result[None, StoreFailure | Closed]:
        """Write the record with ``workers``; only then may tasks be started there."""
        async with self.lock:
            incarnation = self.incarnation
            wanted = self.record.with_workers(workers, self.ledger.next_sequence)
            if self.is_registered and wanted == self.record:
                return Ok(None)
            written = await self._write(wanted, self.revision)
            if incarnation != self.incarnation:
                return Err(Closed(incarnation))
            if isinstance(written, Err):
                return written
            self.revision = written.ok_value
            self.record = wanted
            self.is_registered = True
            return Ok(None)

    async def close_record(self) -> None:
        """Close the record on a graceful leave, so that peers need not wait."""
        if not self.is_registered:
            return
        closed = self.record.closed(str(self.incarnation))
        written = await self._write(closed, self.revision)
        if isinstance(written, Err):
            self.log.warning("Record not closed.", error=str(written.err_value))

    async def _write(
        self, record: OwnerRecord, expected: int
    ) -> Result[int, StoreFailure | Closed]:
        key = owner_key(self.incarnation)
        written = await self.store.put(key, encode_json(record).decode(), expected)
        if isinstance(written, Ok):
            return written
        # The reply may have been lost after the write took effect: read back what is true.
        read = await self.store.get(key)
        if isinstance(read, Err):
            return read
        if read.ok_value is None:
            return written
        found = _decode(read.ok_value.value)
        if found is None or found.is_closed:
            return Err(Closed(self.incarnation))
        if found == record:
            return Ok(read.ok_value.revision)
        if isinstance(written.err_value, StoreConflict) and found.owner == record.owner:
            # An earlier write whose reply was lost: go on from its revision.
            self.revision = read.ok_value.revision
        return written


def _decode(text: str) -> OwnerRecord | None:
    try:
        return decode_json(text.encode(), OwnerRecord)
    except (msgspec.DecodeError, ValueError):
        return None
