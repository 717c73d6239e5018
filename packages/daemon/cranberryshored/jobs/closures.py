"""Closing the ownership of dead peers and telling the truth about their jobs."""

import asyncio
from collections.abc import Callable
from time import time

import attrs
import msgspec
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import ErrorType, Refusal, RunClaim
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.messages import OwnerReport, decode_json, encode_json
from cranberryshore.ownership import (
    Closure,
    OwnedWorker,
    OwnerRecord,
    Truth,
    TruthKind,
    owner_key,
)
from cranberryshore.timeline import EventKind, Recorder
from cranberryshored.jobs.workers import WorkerLinks
from cranberryshored.platform import Store, StoreConflict, StoreFailure

RECORD_RETENTION_SECONDS = 86_400
REPORT_WAIT_SECONDS = 0.3
STORE_RETRY_MS = 1000
MAX_CLOSE_TRIES = 5


def _pending(detail: str) -> Truth:
    refusal = Refusal(ErrorType.TRUTH_PENDING, RunClaim.MAY_HAVE_RUN, detail, STORE_RETRY_MS)
    return Truth(TruthKind.PENDING, refusal=refusal)


@attrs.define(eq=False)
class Closures:
    """Closes owners on demand and keeps what the workers reported of them.

    Parameters
    ----------
    store : Store
        Holds the owners' records.
    links : WorkerLinks
        Sessions over which workers are asked.
    live_workers : dict or None
        Incarnation of each listed worker; ``None`` before the list was first read.
    """

    store: Store
    links: WorkerLinks
    recorder: Recorder
    log: FilteringBoundLogger
    unix_time: Callable[[], float]
    closed_by: str = ""
    live_workers: dict[str, str] | None = None
    closures: dict[str, Closure] = attrs.field(factory=dict)
    heard: asyncio.Event = attrs.field(factory=asyncio.Event)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def truth(self, id: SubmissionId, caller: str) -> Truth:
        """Return what can be told to ``caller`` about a job whose issuer has died."""
        owner = str(id.issuer)
        async with self.lock:
            closure = self.closures.get(owner)
            if closure is None:
                opened = await self._close(id.issuer)
                if isinstance(opened, Err):
                    return opened.err_value
                closure = self.closures[owner] = opened.ok_value
        if closure.missing(id) or closure.is_running(id):
            await self._ask(closure, id)
        truth = closure.truth(id, caller)
        self.recorder.record(time(), EventKind.JOB_TRUTH, str(id), truth.kind.value)
        return truth

    def on_report(self, worker: OwnedWorker, report: OwnerReport) -> None:
        """Take a worker's report."""
        closure = self.closures.get(report.owner)
        if closure is not None and worker in closure.workers:
            closure.on_report(worker, report.tasks)
            self.heard.set()

    async def _close(self, issuer: Incarnation) -> Result[Closure, Truth]:
        record = await self._closed_record(issuer)
        if isinstance(record, Err):
            return Err(_pending("The store cannot be asked who the issuer's workers are."))
        if record.ok_value is None:
            return Err(_expired())
        self.recorder.record(time(), EventKind.OWNER_CLOSED, str(issuer))
        self.log.info("Ownership closed.", owner=str(issuer))
        closed = record.ok_value
        below = {entry.worker: entry.below for entry in closed.past}
        return Ok(Closure(str(issuer), frozenset(closed.workers) | below.keys(), below))

    async def _closed_record(self, issuer: Incarnation) -> Result[OwnerRecord | None, StoreFailure]:
        """Return the issuer's closed record; ``None`` if it is past its retention or unreadable."""
        key = owner_key(issuer)
        outcome: Result = Err(StoreConflict(0))
        for _ in range(MAX_CLOSE_TRIES):
            read = await self.store.get(key)
            if isinstance(read, Err):
                return read
            entry = read.ok_value
            if entry is None and self.unix_time() - issuer.started_at > RECORD_RETENTION_SECONDS:
                return Ok(None)
            record = OwnerRecord(str(issuer)) if entry is None else _decode(entry.value)
            if record is None:
                return Ok(None)
            if record.is_closed:
                return Ok(record)
            closed = record.closed(self.closed_by)
            expected = 0 if entry is None else entry.revision
            outcome = await self.store.put(key, encode_json(closed).decode(), expected)
            if isinstance(outcome, Ok):
                return Ok(closed)
        return outcome

    async def _ask(self, closure: Closure, id: SubmissionId) -> None:
        """Ask the workers that have not reported, or run tasks, and wait a little for them."""
        for worker in sorted(closure.workers):
            link = self.links.open_link(worker)
            if link is not None:
                link.request_owner_report(closure.owner)
            elif self._is_gone(worker):
                closure.on_gone(worker)
        deadline = asyncio.get_running_loop().time() + REPORT_WAIT_SECONDS
        while closure.missing(id):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                return
            self.heard.clear()
            try:
                async with asyncio.timeout(left):
                    await self.heard.wait()
            except TimeoutError:
                return

    def _is_gone(self, worker: OwnedWorker) -> bool:
        if self.live_workers is None:
            return False
        return self.live_workers.get(worker.name) != worker.incarnation


def _expired() -> Truth:
    detail = "The issuer's record is past its retention or cannot be read."
    refusal = Refusal(ErrorType.ID_EXPIRED, RunClaim.MAY_HAVE_RUN, detail)
    return Truth(TruthKind.FAILED, refusal=refusal)


def _decode(text: str) -> OwnerRecord | None:
    try:
        return decode_json(text.encode(), OwnerRecord)
    except (msgspec.DecodeError, ValueError):
        return None
