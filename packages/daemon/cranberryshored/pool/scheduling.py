"""The scheduler of a pool with its surroundings, while this instance schedules."""

import asyncio
from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import (
    Claim,
    HeldWorker,
    HoldState,
    JobEnded,
    PollWorker,
    PoolConfig,
    Scheduler,
    UnsuccessfulRun,
    WorkerRegistration,
    WorkRequest,
)
from cranberryshore.pool.held_worker import TAKEOVER_BACKOFF_SECONDS
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import Patience, TokenSource, now
from cranberryshored.pool.conversation import Conversation
from cranberryshored.pool.protocols import WorkerCalls
from cranberryshored.tasks import end_tasks, start_task

PAUSE_SECONDS = 0.45
"""A gap in which nothing ran here, after which others may have taken over: they do after 0.5 s."""

TICK_SECONDS = 0.025
"""Time between two looks for passed deadlines: a sixth of the shortest aim."""


@attrs.define(eq=False)
class SchedulingService:
    """Holds the workers and schedules the jobs of all entry instances that follow this one.

    Parameters
    ----------
    calls : WorkerCalls
        Speaks to workers.
    tokens : TokenSource
        Draws fencing tokens.
    on_ended : callable
        Told how a job ended.
    on_stood_still : callable
        Told that this process stood still, so that others may hold the workers now.
    """

    calls: WorkerCalls
    tokens: TokenSource
    on_ended: Callable[[JobEnded], None]
    on_stood_still: Callable[[], None]
    log: FilteringBoundLogger
    metrics: Metrics
    patience: Patience = attrs.field(factory=Patience)
    claim: Claim | None = None
    alive_at: float = 0.0
    is_due: bool = False
    scheduler: Scheduler = attrs.field(factory=Scheduler)
    conversations: dict[str, Conversation] = attrs.field(factory=dict)
    closing: set[asyncio.Task] = attrs.field(factory=set)
    task: asyncio.Task | None = None

    def begin(
        self, claim: Claim, config: PoolConfig, roster: tuple[WorkerRegistration, ...]
    ) -> None:
        """Take over the workers that a claim covers."""
        self.claim, self.alive_at = claim, now()
        self.scheduler = Scheduler(config)
        self.log.info("Scheduling begins.", term=claim.term, zone=claim.zone or "all")
        self.set_roster(roster)
        self.task = start_task(self._tick(), self.log)

    def end(self, reason: str) -> None:
        """Give up the workers: what runs there is stopped by the next holder, or lapses."""
        if self.claim is None:
            return
        self.log.info("Scheduling ends.", term=self.claim.term, reason=reason)
        self.claim = None
        self.scheduler = Scheduler(self.scheduler.config)
        self.task.cancel()
        for conversation in self.conversations.values():
            self._close(conversation)
        self.conversations = {}

    async def close(self) -> None:
        """Give up the workers and wait until all calls have ended."""
        self.end("this instance stops")
        await end_tasks([self.task, *self.closing])

    def held_count(self) -> int:
        """Return the number of workers that obey this instance."""
        workers = self.scheduler.workers.values()
        return sum(worker.state is HoldState.HELD for worker in workers)

    def lost_count(self) -> int:
        """Return the number of listed workers that obey another holder."""
        workers = self.scheduler.workers.values()
        return sum(worker.state is HoldState.LOST and not worker.is_draining for worker in workers)

    def waiting_entries(self) -> set[str]:
        """Return the entry instances that wait for jobs."""
        return {job.entry for job in self.scheduler.jobs.values()}

    def set_config(self, config: PoolConfig) -> None:
        """Put a newer configuration in force."""
        self.scheduler.config = config

    def set_roster(self, roster: tuple[WorkerRegistration, ...], is_fresh: bool = False) -> None:
        """Hold the registered workers, and no others.

        Parameters
        ----------
        roster : tuple of WorkerEntry
            The registered workers.
        is_fresh : bool
            Whether the list was read from the platform since this instance claimed.
        """
        if self.claim is None:
            return
        self.scheduler.covers_all_workers |= is_fresh and not self.claim.zone
        listed = {entry.name: entry for entry in roster if self.claim.zone in ("", entry.zone)}
        for name in [name for name in self.scheduler.workers if name not in listed]:
            if not self.scheduler.workers[name].is_draining:
                self.log.info("Worker is no longer registered.", worker=name)
            self.scheduler.release(name, now())
        for entry in listed.values():
            self._hold(entry)
        self.carry_out()

    def submit(self, request: WorkRequest, entry: str) -> None:
        """Schedule a job."""
        self.scheduler.submit(request, entry, now())
        self.carry_out()

    def cancel(self, job: str, entry: str) -> None:
        """Stop a job whose caller has left."""
        self.scheduler.cancel(job, entry, now())
        self.carry_out()

    def entry_lost(self, entry: str) -> None:
        """Stop the jobs of an entry instance that is gone or follows another scheduler."""
        self.scheduler.entry_lost(entry, now())
        self.carry_out()

    def carry_out(self) -> None:
        """Do what the scheduler decides, once for all that it is told in this turn of the loop."""
        if not self.is_due:
            self.is_due = True
            asyncio.get_running_loop().call_soon(self._carry_out)

    def _carry_out(self) -> None:
        """Do what the scheduler decides, unless this process stood still before."""
        self.is_due = False
        if now() - self.alive_at > PAUSE_SECONDS:
            self.on_stood_still()
            return
        for effect in self.scheduler.take_effects():
            if isinstance(effect, UnsuccessfulRun):
                self._log_lost(effect)
                continue
            if isinstance(effect, JobEnded):
                self._log_end(effect)
                self.on_ended(effect)
                continue
            conversation = self.conversations.get(effect.worker)
            if conversation is None:
                continue
            if isinstance(effect, PollWorker):
                conversation.look_now()
            else:
                conversation.begin(effect)

    def _log_lost(self, lost: UnsuccessfulRun) -> None:
        self.metrics.wasted.labels(f"run_{lost.kind.value}").inc()
        self.log.info(
            "Run did not end well.",
            job=lost.key[0].partition(".")[0],
            task=lost.key[0],
            attempt=lost.key[1],
            worker=lost.worker,
            kind=lost.kind.value,
            ran_ms=lost.ran_ms,
        )

    def _log_end(self, end: JobEnded) -> None:
        summary = attrs.asdict(end.summary) if end.summary is not None else {}
        self.log.info(
            "Job ended.",
            job=end.job,
            entry=end.entry,
            outcome=end.outcome.value,
            reason=end.detail,
            config=self.scheduler.config.version,
            **summary,
        )

    def _hold(self, entry: WorkerRegistration) -> None:
        worker = self.scheduler.workers.get(entry.name)
        if worker is not None and worker.address == entry.address and self._is_kept(worker):
            if entry.is_draining and not worker.is_draining:
                self.log.info("Worker is leaving.", worker=entry.name)
            worker.is_draining = entry.is_draining
            worker.resize(entry.capacity)
            worker.labels = frozenset(entry.labels)
            return
        if worker is not None and worker.runs:
            return
        worker = HeldWorker(
            entry.name,
            entry.address,
            entry.zone,
            entry.service,
            entry.capacity,
            frozenset(entry.labels),
            self.tokens.next(),
            entry.rack,
            entry.is_draining,
        )
        self.scheduler.add_worker(worker)
        self._converse(worker)

    @staticmethod
    def _is_kept(worker: HeldWorker) -> bool:
        if worker.state is not HoldState.LOST:
            return True
        return now() < worker.lost_at + TAKEOVER_BACKOFF_SECONDS

    def _converse(self, worker: HeldWorker) -> None:
        old = self.conversations.pop(worker.name, None)
        if old is not None:
            self._close(old)
        conversation = self.conversations[worker.name] = Conversation(
            worker,
            self.scheduler,
            self.calls,
            self.tokens,
            self.patience,
            self.carry_out,
            self.log,
        )
        conversation.start()

    def _close(self, conversation: Conversation) -> None:
        task = start_task(conversation.close(), self.log)
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def _tick(self) -> None:
        while True:
            planned = now() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            if now() - self.alive_at <= PAUSE_SECONDS:
                self.alive_at = now()
            self.patience.note_lag(max(now() - planned, 0.0))
            self.scheduler.tick(now())
            self.metrics.queued_tasks.set(self.scheduler.waiting_tasks())
            self.metrics.open_workers.set(self.held_count())
            self.carry_out()
            for name in sorted(self.conversations.keys() - self.scheduler.workers.keys()):
                self._close(self.conversations.pop(name))
