"""Writes the collected evidence to the store in batches and builds reports from them."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.evidence import (
    Batch,
    EvidenceCollector,
    PromiseKind,
    PromiseOutcome,
    Report,
    decode_batch,
    encode_batch,
    make_report,
)
from cranberryshore.identity import parse_incarnation
from cranberryshore.work import Job
from cranberryshored.platform import Store, StoreConflict
from cranberryshored.tasks import cancel_tasks

EVIDENCE_PREFIX = "evidence/"
RETENTION_SECONDS = 30 * 86_400
LEASE_REUSE_SECONDS = 3600
SECONDS_PER_HOUR = 3600
MAX_LISTED_HOURS = 24
MAX_PENDING_BATCHES = 20
EMPTY_BATCH_INTERVAL_SECONDS = 60.0
STORE_RETRY_MS = 1000
CONFIG_APPLY_LIMIT_SECONDS = 10.0


@attrs.frozen
class Rollout:
    """How far a configuration change has reached the instances of the zone.

    Parameters
    ----------
    late : tuple of str
        Incarnations that have not applied it.
    unheard : tuple of str
        Addresses of listed instances that do not respond to this one; they may have applied it.
    """

    late: tuple[str, ...] = ()
    unheard: tuple[str, ...] = ()

    @property
    def outcome(self) -> PromiseOutcome:
        """Return the outcome of the promise that the change is in force everywhere.

        Examples
        --------
        >>> Rollout(unheard=("10.0.0.2:7000",)).outcome
        <PromiseOutcome.UNKNOWN: 'unknown'>
        """
        if self.late:
            return PromiseOutcome.BROKEN
        return PromiseOutcome.UNKNOWN if self.unheard else PromiseOutcome.KEPT

    def describe(self) -> str:
        """Return a sentence that names the instances, or an empty string."""
        if self.late:
            return f"Not in force after 10 s in {', '.join(self.late)}."
        return f"Not known of {', '.join(self.unheard)}." if self.unheard else ""


def batch_key(batch: Batch) -> str:
    """Return the store key of a batch, ordered by the hour in which it ends, then by writer.

    Examples
    --------
    >>> batch_key(Batch("a.e1.00", 7, 0.0, 7300.0, (), (), 0, 0, False))
    'evidence/0000002/a.e1.00/000007'
    """
    hour = int(batch.until // SECONDS_PER_HOUR)
    return f"{EVIDENCE_PREFIX}{hour:07}/{batch.writer}/{batch.sequence:06}"


@attrs.define(eq=False)
class EvidenceService:
    """Records the promises of this instance and their outcomes, and writes them to the store.

    A batch is written every ``period_seconds`` if it has content, and otherwise every
    ``EMPTY_BATCH_INTERVAL_SECONDS``, so that a writer that stops writing can be detected. While
    the store is unavailable, the periodic batches are queued up to ``MAX_PENDING_BATCHES``; after
    that, the collector keeps accumulating instead.

    Parameters
    ----------
    writer : callable
        Returns the current incarnation of this instance, which is the writer of its batches.
    """

    store: Store
    writer: Callable[[], str]
    unix_time: Callable[[], float]
    period_seconds: float
    log: FilteringBoundLogger
    collector: EvidenceCollector = attrs.field(init=False)
    pending: deque[Batch] = attrs.field(factory=deque)
    lease: str = ""
    lease_reusable_until: float = 0.0
    task: asyncio.Task | None = None
    config_checks: set[asyncio.Task] = attrs.field(factory=set)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def __attrs_post_init__(self) -> None:
        self.collector = EvidenceCollector(self.writer(), self.unix_time())

    async def start(self) -> None:
        """Start writing; the first batch is empty and registers the writer."""
        self.pending.append(self.collector.take_batch(self.unix_time()))
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, then write the last batch."""
        await cancel_tasks([self.task, *self.config_checks])
        self.pending.append(self.collector.take_batch(self.unix_time(), is_last=True))
        await self._write_pending()

    def renew(self) -> None:
        """Queue the last batch of the current collector and begin one for a new incarnation."""
        self.pending.append(self.collector.take_batch(self.unix_time(), is_last=True))
        self.collector = EvidenceCollector(self.writer(), self.unix_time())
        self.pending.append(self.collector.take_batch(self.unix_time()))

    def job_accepted(self, team: str) -> None:
        """Record the promise to answer an accepted job with all outputs or a correct failure."""
        self.collector.record_promise(PromiseKind.JOB, team, "", self.unix_time())

    def job_settled(self, job: Job) -> None:
        """Record the outcome of an accepted job."""
        seconds = job.settled_at - job.accepted_at
        outcome = _job_outcome(job)
        detail = "" if job.failure is None else job.failure.detail
        now, team = self.unix_time(), job.request.team
        self.collector.record_outcome(
            PromiseKind.JOB, team, "", outcome, now, seconds, str(job.id), detail
        )

    def job_outcome_unknown(self, id: str, team: str) -> None:
        """Record that the outcome of a job is known only from the workers' records."""
        detail = "The ownership was closed by a peer; the workers' records tell the outcome."
        now = self.unix_time()
        self.collector.record_outcome(
            PromiseKind.JOB, team, "", PromiseOutcome.UNKNOWN, now, None, id, detail
        )

    def refused(self, team: str, service: str = "") -> None:
        """Record a refusal as not run.

        The promise is settled as kept at once, because refused work is never started.
        """
        now = self.unix_time()
        self.collector.record_promise(PromiseKind.REFUSAL, team, service, now)
        self.collector.record_outcome(PromiseKind.REFUSAL, team, service, PromiseOutcome.KEPT, now)

    def request_arrived(self, team: str, service: str) -> None:
        """Record the promise to answer a request or to report its outcome correctly."""
        self.collector.record_promise(PromiseKind.REQUEST, team, service, self.unix_time())

    def request_ended(
        self, team: str, service: str, seconds: float, refusal: Refusal | None
    ) -> None:
        """Record the outcome of a request."""
        outcome, detail = PromiseOutcome.KEPT, ""
        if refusal is not None and refusal.claim is ExecutionStatus.MAY_HAVE_RUN:
            outcome, detail = PromiseOutcome.UNKNOWN, refusal.detail
        now, kind = self.unix_time(), PromiseKind.REQUEST
        self.collector.record_outcome(kind, team, service, outcome, now, seconds, service, detail)
        if refusal is not None and outcome is PromiseOutcome.KEPT:
            self.refused(team, service)

    def configuration_accepted(
        self, operator: str, revision: int, rollout: Callable[[], Rollout]
    ) -> None:
        """Record an accepted change, and check after 10 s which instances have not applied it."""
        self.collector.record_promise(PromiseKind.CONFIGURATION, operator, "", self.unix_time())
        task = asyncio.create_task(self._check_configuration(operator, revision, rollout))
        self.config_checks.add(task)
        task.add_done_callback(self.config_checks.discard)

    def drained(self, seconds: float, is_clean: bool) -> None:
        """Record the outcome of draining this instance."""
        now = self.unix_time()
        outcome = PromiseOutcome.KEPT if is_clean else PromiseOutcome.BROKEN
        self.collector.record_promise(PromiseKind.DRAIN, "", "", now)
        detail = "" if is_clean else "Work was under way at the end of the drain time."
        kind = PromiseKind.DRAIN
        self.collector.record_outcome(
            kind, "", "", outcome, now, seconds, self.collector.writer, detail
        )

    async def report(self, since: float, until: float, team: str | None) -> Result[Report, Refusal]:
        """Return the report for an interval, from the batches of all instances."""
        self.pending.append(self.collector.take_batch(self.unix_time()))
        await self._write_pending()
        batches, damaged = [], []
        for prefix in _batch_prefixes(since, min(until, self.unix_time())):
            listed = await self.store.list(prefix)
            if isinstance(listed, Err):
                return Err(_unavailable())
            for entry in listed.ok_value.entries:
                batch = decode_batch(entry.value)
                if batch is None:
                    damaged.append(entry.key)
                else:
                    batches.append(batch)
        return Ok(make_report(batches, damaged, since, until, team, self.unix_time()))

    async def _check_configuration(
        self, operator: str, revision: int, rollout: Callable[[], Rollout]
    ) -> None:
        await asyncio.sleep(CONFIG_APPLY_LIMIT_SECONDS)
        found = rollout()
        now, subject = self.unix_time(), str(revision)
        self.collector.record_outcome(
            PromiseKind.CONFIGURATION,
            operator,
            "",
            found.outcome,
            now,
            None,
            subject,
            found.describe(),
        )

    async def _run(self) -> None:
        while True:
            await self._write_pending()
            await asyncio.sleep(self.period_seconds)
            is_due = self.unix_time() - self.collector.since >= EMPTY_BATCH_INTERVAL_SECONDS
            has_room = len(self.pending) < MAX_PENDING_BATCHES
            if has_room and (self.collector.cells or is_due):
                self.pending.append(self.collector.take_batch(self.unix_time()))

    async def _write_pending(self) -> None:
        async with self.lock:
            while self.pending:
                batch = self.pending[0]
                if not await self._write(batch):
                    return
                self.pending.popleft()

    async def _write(self, batch: Batch) -> bool:
        # The writer is part of the store key, so a batch without a valid one is discarded.
        if parse_incarnation(batch.writer) is None:
            return True
        lease = await self._current_lease()
        if not lease:
            return False
        written = await self.store.put(batch_key(batch), encode_batch(batch), 0, lease)
        # A conflict means that an earlier attempt took effect and only its reply was lost.
        is_written = isinstance(written, Ok) or isinstance(written.err_value, StoreConflict)
        if not is_written:
            # The store may have revoked the lease.
            self.lease_reusable_until = 0.0
        return is_written

    async def _current_lease(self) -> str:
        now = asyncio.get_running_loop().time()
        if now < self.lease_reusable_until:
            return self.lease
        granted = await self.store.grant_lease(RETENTION_SECONDS)
        if isinstance(granted, Err):
            return ""
        self.lease, self.lease_reusable_until = granted.ok_value, now + LEASE_REUSE_SECONDS
        return self.lease


def _batch_prefixes(since: float, until: float) -> list[str]:
    """Return the key prefixes of the batches that may cover an interval.

    A batch is stored under the hour in which it ends, which may be the hour after ``until``.
    """
    first = int(since // SECONDS_PER_HOUR)
    last = int(until // SECONDS_PER_HOUR) + 1
    if last - first > MAX_LISTED_HOURS:
        return [EVIDENCE_PREFIX]
    return [f"{EVIDENCE_PREFIX}{hour:07}/" for hour in range(first, last + 1)]


def _job_outcome(job: Job) -> PromiseOutcome:
    """Return whether the promise of an accepted job was kept.

    It is kept if the job completed, if one of its own tasks failed, or if the caller cancelled
    it. It is broken if the job did not run for another reason, and unknown if it may have run.
    """
    failure = job.failure
    if failure is None or failure.claim is ExecutionStatus.RAN_AND_FAILED:
        return PromiseOutcome.KEPT
    if failure.type is ErrorType.CANCELLED:
        return PromiseOutcome.KEPT
    return (
        PromiseOutcome.BROKEN
        if failure.claim is ExecutionStatus.NOT_RUN
        else PromiseOutcome.UNKNOWN
    )


def _unavailable() -> Refusal:
    detail = "The store that holds the evidence does not answer."
    return Refusal(ErrorType.STORE_UNAVAILABLE, ExecutionStatus.NOT_RUN, detail, STORE_RETRY_MS)
