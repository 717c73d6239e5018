"""Closing the owner records of dead peers and resolving the outcomes of their jobs."""

import asyncio
from collections.abc import Callable
from time import time

import attrs
import msgspec
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.messages import OwnerReport, decode_json, encode_json
from cranberryshore.ownership import (
    JobOutcome,
    JobOutcomeKind,
    OwnedWorker,
    OwnerClosure,
    OwnerRecord,
    owner_key,
)
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshored.jobs.workers import WorkerLinks
from cranberryshored.platform import Store, StoreConflict, StoreFailure

RECORD_RETENTION_SECONDS = 86_400
REPORT_TIMEOUT_SECONDS = 0.3
STORE_RETRY_MS = 1000
LIST_LAG_SECONDS = 2.0
"""Time after which the instance list shows a worker that was added to it."""
MAX_CLOSE_ATTEMPTS = 5


def _pending_outcome(detail: str) -> JobOutcome:
    refusal = Refusal(ErrorType.TRUTH_PENDING, ExecutionStatus.MAY_HAVE_RUN, detail, STORE_RETRY_MS)
    return JobOutcome(JobOutcomeKind.PENDING, refusal=refusal)


@attrs.define(eq=False)
class ClosureService:
    """Closes owner records on demand and collects the workers' reports on these owners.

    Parameters
    ----------
    store : Store
        Store of the owner records.
    links : WorkerLinks
        Sessions over which reports are requested from workers.
    closed_by : str
        Current incarnation of this instance, written into the records that it closes.
    listed_workers : dict or None
        Incarnation of each listed worker, also of leaving ones; ``None`` until the instance list
        is first read.
    listed_at : float
        Start of the last successful poll of the instance list, on the clock of the event loop.
    closed_at : dict
        Time at which the record was closed or read as closed, by owner.
    """

    store: Store
    links: WorkerLinks
    recorder: EventRecorder
    log: FilteringBoundLogger
    unix_time: Callable[[], float]
    closed_by: str = ""
    listed_workers: dict[str, str] | None = None
    listed_at: float = 0.0
    closed_at: dict[str, float] = attrs.field(factory=dict)
    closures: dict[str, OwnerClosure] = attrs.field(factory=dict)
    report_received: asyncio.Event = attrs.field(factory=asyncio.Event)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def resolve(self, id: SubmissionId, caller: str) -> JobOutcome:
        """Return the outcome, as far as it is known, of a job whose issuer has died."""
        owner = str(id.issuer)
        async with self.lock:
            closure = self.closures.get(owner)
            if closure is None:
                closed = await self._close(id.issuer)
                if isinstance(closed, Err):
                    return closed.err_value
                closure = self.closures[owner] = closed.ok_value
        if closure.unreported_workers(id) or closure.is_running(id):
            await self._request_reports(closure, id)
        job_outcome = closure.job_outcome(id, caller)
        self.recorder.record(time(), EventKind.JOB_TRUTH, str(id), job_outcome.kind.value)
        return job_outcome

    def on_report(self, worker: OwnedWorker, report: OwnerReport) -> None:
        """Handle a worker's report on the tasks of an owner."""
        closure = self.closures.get(report.owner)
        if closure is not None and worker in closure.workers:
            closure.on_report(worker, report.tasks, report.evicted_through)
            self.report_received.set()

    def on_worker_opened(self, worker: OwnedWorker) -> None:
        """Request the missing reports in a new session; the old one may have lost the request."""
        link = self.links.open_link(worker)
        if link is None:
            return
        for closure in self.closures.values():
            if worker in closure.workers and worker not in closure.reports:
                link.request_owner_report(closure.owner)

    async def _close(self, issuer: Incarnation) -> Result[OwnerClosure, JobOutcome]:
        record = await self._close_record(issuer)
        if isinstance(record, Err):
            return Err(_pending_outcome("The store cannot be asked who the issuer's workers are."))
        if record.ok_value is None:
            return Err(_expired_outcome())
        self.recorder.record(time(), EventKind.OWNER_CLOSED, str(issuer))
        self.log.info("Owner record closed.", owner=str(issuer))
        self.closed_at[str(issuer)] = asyncio.get_running_loop().time()
        closed = record.ok_value
        below = {entry.worker: entry.below for entry in closed.past}
        return Ok(OwnerClosure(str(issuer), frozenset(closed.workers) | below.keys(), below))

    async def _close_record(self, issuer: Incarnation) -> Result[OwnerRecord | None, StoreFailure]:
        """Close the issuer's record and return it; ``None`` if it has expired or is unreadable.

        If the issuer has not written its record yet, a closed one is created, so that the issuer
        cannot register later and start tasks.
        """
        key = owner_key(issuer)
        outcome: Result = Err(StoreConflict(0))
        for _ in range(MAX_CLOSE_ATTEMPTS):
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

    async def _request_reports(self, closure: OwnerClosure, id: SubmissionId) -> None:
        """Request reports from the owner's workers and wait briefly for those that are missing.

        A worker incarnation that is no longer listed is recorded as gone.
        """
        for worker in sorted(closure.workers):
            link = self.links.open_link(worker)
            if link is not None:
                link.request_owner_report(closure.owner)
            elif self._is_gone(worker, closure.owner):
                closure.on_worker_lost(worker)
        deadline = asyncio.get_running_loop().time() + REPORT_TIMEOUT_SECONDS
        while closure.unreported_workers(id):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                return
            self.report_received.clear()
            try:
                async with asyncio.timeout(left):
                    await self.report_received.wait()
            except TimeoutError:
                return

    def _is_gone(self, worker: OwnedWorker, owner: str) -> bool:
        """Return whether a worker is missing from a list that is newer than the owner's record."""
        is_outdated = self.listed_at < self.closed_at[owner] + LIST_LAG_SECONDS
        if self.listed_workers is None or is_outdated:
            return False
        return self.listed_workers.get(worker.name) != worker.incarnation


def _expired_outcome() -> JobOutcome:
    detail = "The issuer's record is past its retention or cannot be read."
    refusal = Refusal(ErrorType.ID_EXPIRED, ExecutionStatus.MAY_HAVE_RUN, detail)
    return JobOutcome(JobOutcomeKind.FAILED, refusal=refusal)


def _decode(text: str) -> OwnerRecord | None:
    try:
        return decode_json(text.encode(), OwnerRecord)
    except (msgspec.DecodeError, ValueError):
        return None
