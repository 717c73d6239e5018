"""Service that schedules the jobs of a pool while this instance has a claim."""

import asyncio
from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool import (
    AcknowledgedRights,
    CancelledJobs,
    Claim,
    CrashHistory,
    HeldWorker,
    HoldState,
    InterferenceChanged,
    JobEnded,
    LostRun,
    Outcome,
    PollWorker,
    PoolConfig,
    ResumedJobReleased,
    RosterHistory,
    Scheduler,
    SchedulingPolicy,
    SpeedsChanged,
    UnsuccessfulRun,
    WorkerListing,
    WorkerLossJudged,
    WorkerLost,
    WorkerRegistration,
    WorkRequest,
)
from cranberryshore.pool.work import CANCELLED_DETAIL
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import BaseTimeout, TokenSource, now
from cranberryshored.pool.protocols import WorkerCalls
from cranberryshored.pool.run_logging import (
    log_changed_speeds,
    log_interference,
    log_judged_loss,
    log_lost_worker,
    log_unsuccessful_run,
)
from cranberryshored.pool.worker_channel import WorkerChannel
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task

STALL_SECONDS = 0.45
"""Time without a tick after which this process counts as stalled. Other instances take over after
0.5 s."""

TAKEOVER_BACKOFF_SECONDS = 3.0
"""Time before a worker that obeys another holder may be taken over again."""

TICK_SECONDS = 0.025
"""Interval of the checks for passed deadlines: a sixth of the shortest target latency."""


@attrs.define(eq=False, field_transformer=optional_by_name)
class SchedulingService:
    """Holds the workers and schedules the jobs of all entry instances that follow this instance.

    Parameters
    ----------
    own : str
        Incarnation of this instance.
    on_ended : callable
        Called with the outcome of each job.
    on_stall : callable
        Called after a stall of this process, when another instance may hold the workers.
    on_losses : callable
        Called with the records of lost runs that other instances lack.
    on_lag : callable
        Called with the lag of the event loop at each tick, in seconds.
    cancelled : CancelledJobs
        Jobs that are not started.
    evacuated : frozenset of str
        Evacuated zones.
    has_warm_ups : bool
        Whether workers that have just started are used gradually.
    policy : SchedulingPolicy
        Optional parts of the schedulers, from the next claim on.
    """

    own: str
    calls: WorkerCalls
    tokens: TokenSource
    rosters: RosterHistory
    on_ended: Callable[[JobEnded], None]
    on_stall: Callable[[], None]
    on_losses: Callable[[tuple[LostRun, ...]], None]
    crashes: CrashHistory
    log: FilteringBoundLogger
    metrics: Metrics
    cancelled: CancelledJobs = attrs.field(factory=CancelledJobs)
    policy: SchedulingPolicy = SchedulingPolicy()
    base_timeout: BaseTimeout = attrs.field(factory=BaseTimeout)
    evacuated: frozenset[str] = frozenset()
    has_warm_ups: bool = False
    claim: Claim | None = None
    last_tick_at: float = 0.0
    is_apply_scheduled: bool = False
    scheduler: Scheduler = attrs.field(factory=Scheduler)
    rights: AcknowledgedRights = attrs.field(factory=AcknowledgedRights)
    channels: dict[str, WorkerChannel] = attrs.field(factory=dict)
    closing: set[asyncio.Task] = attrs.field(factory=set)
    task: asyncio.Task | None = None
    on_lag: Callable[[float], None] = lambda seconds: None

    def begin(
        self, claim: Claim, config: PoolConfig, roster: tuple[WorkerRegistration, ...]
    ) -> None:
        """Start scheduling: take over the workers that a claim covers."""
        self.claim, self.last_tick_at = claim, now()
        self.rights = AcknowledgedRights(self.own, now(), self.rosters)
        self.scheduler = Scheduler(
            config,
            self.rights,
            crashes=self.crashes,
            acquiring_since=now(),
            largest=self.rosters.largest,
            policy=self.policy,
        )
        self.scheduler.evacuate(self.evacuated, now())
        self.log.info("Scheduling begins.", term=claim.term, zone=claim.zone or "all")
        self.set_roster(roster)
        self.task = start_task(self._tick(), self.log)

    def end(self, reason: str) -> None:
        """Stop scheduling; the next holder stops the workers' runs, or their leases expire."""
        if self.claim is None:
            return
        self.log.info("Scheduling ends.", term=self.claim.term, reason=reason)
        self.claim = None
        self.metrics.uneven_workers.clear()
        self.scheduler = Scheduler(self.scheduler.config)
        self.task.cancel()
        for channel in self.channels.values():
            self._close(channel)
        self.channels = {}

    async def close(self) -> None:
        """Stop scheduling and wait until all calls have ended."""
        self.end("this instance stops")
        await cancel_tasks([self.task, *self.closing])

    def held_count(self) -> int:
        """Return the number of workers that accept this instance's token."""
        workers = self.scheduler.workers.values()
        return sum(worker.state is HoldState.HELD for worker in workers)

    def outdated_count(self) -> int:
        """Return the number of held workers whose registration is of another start."""
        workers = self.scheduler.workers.values()
        held = (worker for worker in workers if worker.state is HoldState.HELD)
        return sum(not worker.is_registration_current() for worker in held)

    def lost_count(self) -> int:
        """Return the number of workers lost to another holder; leaving ones are not counted."""
        return sum(
            worker.state is HoldState.LOST and worker.is_listed and not worker.is_draining
            for worker in self.scheduler.workers.values()
        )

    def waiting_entries(self) -> set[str]:
        """Return the entry instances whose jobs are scheduled here."""
        return {job.entry for job in self.scheduler.jobs.values()}

    def may_have_started(self, job: str) -> bool:
        """Return whether tasks of a job may have been started, or still are.

        Its caller may have sent it to several entry instances.
        """
        scheduler = self.scheduler
        return job in scheduler.jobs or scheduler.deadlines.earlier_runs.may_have_started(job)

    def set_config(self, config: PoolConfig) -> None:
        """Apply a newer configuration."""
        self.scheduler.config = config

    def set_roster(self, roster: tuple[WorkerRegistration, ...]) -> None:
        """Place tasks on exactly the registered workers."""
        if self.claim is None:
            return
        listed = {entry.name: entry for entry in roster if self._is_claimed(entry)}
        for name, worker in self.scheduler.workers.items():
            if name in listed:
                continue
            if worker.is_listed and not worker.is_draining:
                self.log.info("Worker is no longer registered.", worker=name)
            self.scheduler.unlist(name, now())
        for entry in listed.values():
            self._hold_worker(entry)
        self.apply_effects_soon()

    def workers_listed(self, listing: WorkerListing) -> None:
        """Place tasks on exactly the listed workers, and apply what tells of lost ones."""
        if self.claim is not None:
            self.set_roster(listing.workers)
            if self.has_warm_ups:
                self.scheduler.warm_up(listing.workers, now())
            self.scheduler.workers_listed(listing, now())

    def _is_claimed(self, entry: WorkerRegistration) -> bool:
        return self.claim.zone in ("", entry.zone)

    def acknowledge(self, entry: str, heartbeat_at: float, roster_version: int) -> None:
        """Record that an entry instance follows this scheduler and has received a heartbeat."""
        self.rights.acknowledge(entry, heartbeat_at)
        self.rights.record_roster(entry, roster_version)

    def submit(self, request: WorkRequest, entry: str) -> None:
        """Schedule a job unless it was cancelled."""
        if request.id in self.cancelled:
            self._job_ended(JobEnded(entry, request.id, Outcome.CANCELLED, CANCELLED_DETAIL))
            return
        if request.rosters:
            self.rights.record_roster(entry, request.rosters[-1])
        exposed = None
        if request.is_resumed:
            exposed = self.rosters.exposed_workers(request.rosters, request.zones)
        self._hold_unlisted_workers(exposed or frozenset())
        self.scheduler.submit(request, entry, now(), exposed)
        self.apply_effects_soon()

    def _hold_unlisted_workers(self, names: frozenset[str]) -> None:
        """Acquire workers that are not in the roster but may have runs of a resumed job."""
        for name in sorted(names - self.scheduler.workers.keys()):
            registration = self.rosters.registrations[name]
            if self._is_claimed(registration):
                self.log.info("Verifying a worker that is not registered.", worker=name)
                self._hold_worker(registration)
                self.scheduler.unlist(name, now())

    def evacuate(self, zones: frozenset[str]) -> None:
        """Start nothing more on workers of exactly these zones."""
        self.evacuated = zones
        if self.claim is not None:
            self.scheduler.evacuate(zones, now())
            self.apply_effects_soon()

    def losses_changed(self) -> None:
        """Apply the records of lost runs that another instance has sent."""
        if self.claim is not None:
            self.scheduler.losses_changed(now())
            self.apply_effects_soon()

    def cancel(self, job: str, entry: str | None) -> None:
        """See :meth:`Scheduler.cancel`."""
        self.scheduler.cancel(job, entry, now())
        self.apply_effects_soon()

    def entry_lost(self, entry: str) -> None:
        """Cancel the jobs of an entry instance that has failed or follows another scheduler."""
        self.rights.revoke(entry)
        self.scheduler.entry_lost(entry, now())
        self.apply_effects_soon()

    def apply_effects_soon(self) -> None:
        """Apply the scheduler's effects in the next iteration of the event loop, all at once."""
        if not self.is_apply_scheduled:
            self.is_apply_scheduled = True
            asyncio.get_running_loop().call_soon(self._apply_effects)

    def _apply_effects(self) -> None:
        self.is_apply_scheduled = False
        if now() - self.last_tick_at > STALL_SECONDS:
            self.on_stall()
            return
        effects = self.scheduler.take_effects()
        changes = self.crashes.take_changes(now())
        if changes:
            self.on_losses(changes)
        for effect in effects:
            if isinstance(effect, UnsuccessfulRun):
                log_unsuccessful_run(effect, self.log, self.metrics)
                continue
            if isinstance(effect, WorkerLost):
                log_lost_worker(effect, self.log, self.metrics)
                continue
            if isinstance(effect, WorkerLossJudged):
                log_judged_loss(effect, self.log, self.metrics)
                continue
            if isinstance(effect, ResumedJobReleased):
                self.log.info("Resumed job may start.", **attrs.asdict(effect))
                continue
            if isinstance(effect, SpeedsChanged):
                log_changed_speeds(effect, self.log, self.metrics)
                continue
            if isinstance(effect, InterferenceChanged):
                log_interference(effect, self.log, self.metrics)
                continue
            if isinstance(effect, JobEnded):
                self._job_ended(effect)
                continue
            channel = self.channels.get(effect.worker)
            if channel is None:
                continue
            if isinstance(effect, PollWorker):
                channel.poll_now()
            else:
                channel.send_order(effect)

    def _job_ended(self, end: JobEnded) -> None:
        summary = attrs.asdict(end.summary) if end.summary is not None else {}
        if end.failure is not None:
            summary["failure"] = end.failure.cause.value
            summary["task"], summary["lost_workers"] = end.failure.task, end.failure.lost_workers
            self.metrics.failed_jobs.labels(end.failure.cause.value).inc()
        self.log.info(
            "Job ended.",
            job=end.job,
            entry=end.entry,
            outcome=end.outcome.value,
            reason=end.detail,
            config=self.scheduler.config.version,
            **summary,
        )
        self.on_ended(end)

    def _hold_worker(self, entry: WorkerRegistration) -> None:
        worker = self.scheduler.workers.get(entry.name)
        if worker is not None and _is_place_of(worker, entry) and self._keeps_hold(worker):
            if entry.is_draining and not worker.is_draining:
                self.log.info("Worker is leaving.", worker=entry.name)
            self.scheduler.relist(entry)
            return
        if worker is not None and worker.runs:
            # These runs must have ended, or their lease expired, before the worker is replaced.
            self.scheduler.unlist(entry.name, now())
            return
        former_token = worker.token if worker is not None else 0
        worker = HeldWorker(
            name=entry.name,
            address=entry.address,
            zone=entry.zone,
            service=entry.service,
            total=entry.capacity,
            labels=frozenset(entry.labels),
            token=self.tokens.next(former_token),
            registered_born=entry.born,
            rack=entry.rack,
        )
        worker.relist(entry)
        self.scheduler.add_worker(worker, now())
        self._open_channel(worker)

    @staticmethod
    def _keeps_hold(worker: HeldWorker) -> bool:
        """Return whether a worker is not lost, or was lost too recently to be taken over again."""
        if worker.state is not HoldState.LOST:
            return True
        return now() < worker.lost_at + TAKEOVER_BACKOFF_SECONDS

    def _open_channel(self, worker: HeldWorker) -> None:
        previous = self.channels.pop(worker.name, None)
        if previous is not None:
            self._close(previous)
        channel = self.channels[worker.name] = WorkerChannel(
            worker,
            self.scheduler,
            self.calls,
            self.tokens,
            self.base_timeout,
            self.apply_effects_soon,
            self.log,
        )
        channel.start()

    def _close(self, channel: WorkerChannel) -> None:
        task = start_task(channel.close(), self.log)
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def _tick(self) -> None:
        while True:
            planned = now() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
            # After a stall, the old time stays, so that _apply_effects detects the stall.
            if now() - self.last_tick_at <= STALL_SECONDS:
                self.last_tick_at = now()
            lag_seconds = max(now() - planned, 0.0)
            self.base_timeout.record_lag(lag_seconds)
            self.on_lag(lag_seconds)
            with failures_logged(self.log, "tick"):
                self.scheduler.tick(now())
            self.metrics.queued_tasks.set(self.scheduler.waiting_tasks())
            self.metrics.open_workers.set(self.held_count())
            self.metrics.outdated_registrations.set(self.outdated_count())
            self.apply_effects_soon()
            for name in sorted(self.channels.keys() - self.scheduler.workers.keys()):
                self._close(self.channels.pop(name))


def _is_place_of(worker: HeldWorker, entry: WorkerRegistration) -> bool:
    """Return whether a registration is for the place and the service of a held worker."""
    held = (worker.address, worker.service, worker.zone, worker.rack)
    return held == (entry.address, entry.service, entry.zone, entry.rack)
