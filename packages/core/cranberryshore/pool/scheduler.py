"""Scheduler of a pool: state machine for jobs and held workers, without I/O.

A task has at most one active run. It is started again only after its last attempt has ended, has
certainly never started, or its lease has certainly expired.
"""

from collections.abc import Iterable, Mapping

import attrs

from cranberryshore.pool.backlog import Backlog
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.deadlines import DeadlinePolicy
from cranberryshore.pool.earlier_runs import EarlierRuns
from cranberryshore.pool.effects import PollWorker, PoolEffect
from cranberryshore.pool.evacuation import EvacuatedWorkers
from cranberryshore.pool.foreign_runs import ForeignRuns
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.interference import use_interference
from cranberryshore.pool.job_ending import JobEnder
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.run import RunEnd
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.scheduling_policy import SchedulingPolicy
from cranberryshore.pool.speeds import use_speeds
from cranberryshore.pool.start_rights import AcknowledgedRights, StartRights
from cranberryshore.pool.stopping import RunStopper
from cranberryshore.pool.submitting import JobIntake
from cranberryshore.pool.takeover import Takeover
from cranberryshore.pool.verifying import Verification
from cranberryshore.pool.withdrawal import withdraw_start
from cranberryshore.pool.work import Outcome, PoolJob, WorkRequest
from cranberryshore.pool.worker_registration import WorkerListing, WorkerRegistration
from cranberryshore.pool.worker_status import EndKind, RunKey, WorkerStatus
from cranberryshore.work.capacity import Capacity

FAILED_POLLS_UNTIL_SILENT = 2
"""Consecutive failed polls after which no task is placed on a worker."""

UNLISTED_WORKER_SECONDS = 3.0
"""Time for which a worker without runs that is not in the roster is held, so that it verifies the
resumed jobs that arrive meanwhile."""


@attrs.define(eq=False)
class Scheduler:
    """Places tasks on workers and determines the outcome of jobs.

    Methods append the required actions to ``effects``; ``take_effects`` returns them.

    Parameters
    ----------
    changed_at : float or None
        Time of the latest change that requires placement; ``None`` if jobs were placed since then.
    rights : StartRights
        Right to start and continue the tasks of an entry instance.
    acquiring_since : float
        Time at which this scheduler started or last added a worker, in seconds.
    largest : mapping
        See :class:`RosterHistory`.
    """

    config: PoolConfig = PoolConfig()
    rights: StartRights = attrs.field(
        factory=AcknowledgedRights,
        on_setattr=lambda scheduler, _, rights: scheduler.placer.replace_rights(rights),
    )
    jobs: dict[str, PoolJob] = attrs.field(factory=dict)
    workers: dict[str, HeldWorker] = attrs.field(factory=dict)
    statistics: RunStatistics = attrs.field(factory=RunStatistics)
    effects: list[PoolEffect] = attrs.field(factory=list)
    registry: RunRegistry = attrs.field(factory=RunRegistry)
    verification: Verification = attrs.field(factory=Verification)
    foreign: ForeignRuns = attrs.field(factory=ForeignRuns)
    crashes: CrashHistory = attrs.field(factory=CrashHistory)
    changed_at: float | None = None
    acquiring_since: float = float("-inf")
    largest: Mapping[str, Capacity] = attrs.field(factory=dict)
    policy: SchedulingPolicy = SchedulingPolicy()
    placer: Placer = attrs.field(init=False)
    losses: LossTracker = attrs.field(init=False)
    deadlines: DeadlinePolicy = attrs.field(init=False)
    stopper: RunStopper = attrs.field(init=False)
    ender: JobEnder = attrs.field(init=False)
    takeover: Takeover = attrs.field(init=False)
    evacuated: EvacuatedWorkers = attrs.field(init=False)
    intake: JobIntake = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.placer = Placer(
            self.workers,
            self.rights,
            self.registry,
            self.statistics,
            self.crashes,
            self.effects,
        )
        self.losses = LossTracker(
            self.jobs, self.workers, self.crashes, self.placer.isolation, self.effects
        )
        self.evacuated = EvacuatedWorkers(self.workers)
        self.deadlines = DeadlinePolicy(
            self.workers,
            self.statistics,
            Backlog(self.workers, self.statistics, self.crashes, self.placer.index.warm_ups),
            EarlierRuns(self.registry, self.foreign),
            self.evacuated,
        )
        self.stopper = RunStopper(self.workers, self.registry, self.statistics, self.effects)
        self.ender = JobEnder(
            self.jobs,
            self.registry,
            self.statistics,
            self.crashes,
            self.placer,
            self.losses,
            self.deadlines,
            self.stopper,
            self.effects,
        )
        self.takeover = Takeover(
            self.jobs,
            self.workers,
            self.registry,
            self.crashes,
            self.foreign,
            self.verification,
            self.placer,
            self.ender,
            self.effects,
        )
        self.intake = self._make_intake()
        if self.policy.speeds.is_enabled:
            use_speeds(self.statistics, self.placer, self.ender, self.effects)
        if self.policy.interference.is_enabled:
            use_interference(self.statistics, self.placer, self.ender, self.effects)

    def _make_intake(self) -> JobIntake:
        return JobIntake(
            self.jobs,
            self.registry,
            self.statistics,
            self.placer,
            self.losses,
            self.deadlines,
            self.ender,
            self.takeover,
            self.largest,
            self.effects,
        )

    def take_effects(self) -> list[PoolEffect]:
        """Place waiting tasks if the state has changed, and pop the pending effects."""
        if self.changed_at is not None:
            self.placer.place_jobs(self.config, self.changed_at)
            self.changed_at = None
        effects = self.effects.copy()
        self.effects.clear()
        return effects

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for placement."""
        return sum(job.waiting_tasks for job in self.jobs.values())

    # Jobs

    def submit(
        self,
        request: WorkRequest,
        entry: str,
        now: float,
        exposed_workers: frozenset[str] | None = None,
    ) -> None:
        """Accept a job, or update the entry instance of a known job.

        ``exposed_workers`` are the workers that may have runs of a resumed job, ``None`` if they
        are not known.
        """
        if self.intake.submit(request, entry, self.config, now, exposed_workers):
            self.changed_at = now

    def cancel(self, job_id: str, entry: str | None, now: float) -> None:
        """Cancel a job whose caller has disconnected, or, if ``entry`` is ``None``, has said so."""
        job = self.jobs.get(job_id)
        if job is not None and entry in (None, job.entry):
            self.ender.end(job, Outcome.CANCELLED if entry is None else None, "", now)
            self.changed_at = now

    def entry_lost(self, entry: str, now: float) -> None:
        """Drop all jobs of an entry instance that is silent or follows another scheduler.

        The instance is notified, so that it can submit jobs again whose callers still wait.
        """
        for job in [job for job in self.jobs.values() if job.entry == entry]:
            self.ender.end(job, Outcome.DROPPED, "The entry instance fell silent.", now)
        self.changed_at = now

    def losses_changed(self, now: float) -> None:
        """Apply the records of lost runs of another instance."""
        self.ender.end_failed_jobs(now)
        for name in sorted(self.crashes.unresolved & self.workers.keys()):
            self.effects.append(PollWorker(name))
        self.changed_at = now

    def workers_listed(self, listing: WorkerListing, now: float) -> None:
        """Apply what the registrations tell of lost workers."""
        self.losses.workers_listed(listing, now)
        self.ender.end_failed_jobs(now)

    # Workers

    def add_worker(self, worker: HeldWorker, now: float) -> None:
        """Add a worker; no task is placed on it before it has responded to a poll."""
        self.workers[worker.name] = worker
        self.evacuated.mark(worker)
        self.placer.worker_changed(worker)
        self.acquiring_since = now
        self.effects.append(PollWorker(worker.name))

    def evacuate(self, zones: Iterable[str], now: float) -> None:
        """Start nothing more on workers of exactly these zones; their runs continue."""
        for worker in self.evacuated.apply(zones):
            self.placer.worker_changed(worker)
        self.changed_at = now

    def warm_up(self, entries: Iterable[WorkerRegistration], now: float) -> None:
        """Use workers that have just started gradually, by their present registrations."""
        for name in self.placer.index.warm_ups.record(entries, now):
            self.placer.index.mark_changed(name)

    def unlist(self, name: str, now: float) -> None:
        """Place nothing more on a worker that is not in the roster; its runs continue.

        A worker without a registration may be alive: its registration expires in an outage of the
        store. It is removed when none of its runs can be active.
        """
        worker = self.workers.get(name)
        if worker is not None:
            worker.unlist(now)
            self.placer.worker_changed(worker)

    def relist(self, entry: WorkerRegistration) -> None:
        """Apply the present registration of a held worker."""
        worker = self.workers[entry.name]
        worker.relist(entry)
        self.placer.worker_changed(worker)
        if worker.born and not worker.is_registration_current():
            # An idle worker may have restarted without any notice.
            self.effects.append(PollWorker(entry.name))

    def lease_end_ms(self, worker: HeldWorker, now: float) -> int | None:
        """Return the new lease end on the clock of a worker; ``None`` to keep the old one."""
        return worker.lease_end_ms(now, self.placer.lease_limit(worker))

    def record_status(
        self,
        name: str,
        status: WorkerStatus,
        token: int,
        poll_sent_at: float,
        now: float,
        lease_until: float = float("-inf"),
    ) -> None:
        """Process the status report of a worker; see :meth:`HeldWorker.record_status`."""
        worker = self.workers.get(name)
        if worker is None or worker.is_outdated(status, poll_sent_at):
            return
        self.statistics.record_answer(worker, now)
        former = worker.boot_state(now) if status.born != worker.born else None
        ends = worker.record_status(status, token, poll_sent_at, now, lease_until)
        if former is not None:
            self.statistics.worker_restarted(name)
            self.losses.worker_restarted(worker, former, now)
        self.losses.worker_answered(worker, now)
        self.ender.end_failed_jobs(now)
        for end in ends:
            self.ender.run_ended(worker, end, now)
        self.takeover.worker_reported(worker, status, now)
        listed = {(run.task, run.attempt) for run in status.running}
        self.stopper.stop_stragglers(worker, listed, now)
        self.stopper.repeat_stops(worker, now)
        self.placer.worker_changed(worker)
        self.changed_at = now

    def worker_closed(self, name: str, now: float) -> None:
        """Record that the host of a worker has closed a connection before the reply."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.record_closing(now)

    def worker_refuses(self, name: str, now: float) -> None:
        """Record that no process listens at the address of a worker."""
        worker = self.workers.get(name)
        if worker is not None:
            self.losses.worker_refuses(worker, now)
            worker.mark_silent()
            self.placer.worker_changed(worker)
            self.ender.end_failed_jobs(now)

    def worker_replaced(self, name: str, now: float) -> None:
        """Record that another process answers at the address of a worker."""
        worker = self.workers.get(name)
        if worker is None:
            return
        self.losses.worker_replaced(worker, now)
        for end in worker.remove_ended_runs():
            self.ender.run_ended(worker, end, now)
        worker.mark_silent()
        self.takeover.discard_strangers(worker)
        self.ender.end_failed_jobs(now)
        self.changed_at = now

    def record_poll_failure(self, name: str, failures: int, now: float) -> None:
        """Record a number of consecutive failed polls of a worker.

        A single lost response is ignored: a poll processed late cannot extend the lease further,
        since it carries the lease end as an absolute time.
        """
        worker = self.workers.get(name)
        if worker is not None:
            self.statistics.record_poll_failure(worker)
        if worker is not None and failures >= FAILED_POLLS_UNTIL_SILENT:
            worker.mark_silent()
            self.placer.worker_changed(worker)

    def fenced(self, name: str, now: float) -> None:
        """Record that a worker obeys another holder."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.mark_lost(now)
            self.placer.worker_changed(worker)

    def start_confirmed(self, name: str, key: RunKey, now: float) -> None:
        """Record that a worker has confirmed the start of a run."""
        if name in self.workers:
            self.workers[name].confirm_start(key, now)
            self.registry.confirm_start(key)
            self.statistics.health.rejections.accepted(name, key)

    def start_rejected(
        self, name: str, key: RunKey, is_attempt_low: bool, now: float, is_paused: bool = False
    ) -> None:
        """Record that a worker has rejected a start, and with ``is_paused`` would reject others."""
        if is_paused:
            self.statistics.health.rejections.rejected(name, key, now)
        worker = self.workers.get(name)
        run = withdraw_start(worker, key) if worker is not None else None
        self.placer.isolation.start_withdrawn(name, key)
        start = self.registry.withdraw_start(key)
        if start is not None:
            self.crashes.withdraw(name, start.born, key)
        if run is None:
            return
        if is_attempt_low:
            self.registry.raise_attempt(key)
        self.ender.run_ended(worker, RunEnd(key, EndKind.NEVER_BEGAN, run), now)
        self.changed_at = now

    def start_unanswered(self, name: str, token: int, now: float) -> None:
        """Invalidate the unanswered requests to a worker and poll it for their result."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.raise_token(token)
            worker.mark_silent()
            self.placer.worker_changed(worker)
            self.effects.append(PollWorker(name))

    # Time

    def tick(self, now: float) -> None:
        """Refuse or give up late jobs, end runs with expired leases, and request polls."""
        for name, worker in list(self.workers.items()):
            for end in worker.remove_expired_runs(now):
                self.ender.run_ended(worker, end, now)
            if now > worker.unlisted_at + UNLISTED_WORKER_SECONDS and not worker.runs:
                del self.workers[name]
                self.placer.worker_removed(name)
                self.placer.index.warm_ups.forget(name)
        self.takeover.discard_lapsed_strangers(now)
        self.placer.tick(now)
        self.foreign.discard_outdated(self.workers.values())
        self.crashes.discard_outdated(now)
        if self.changed_at is not None:
            # No job is refused while capacity for it is free.
            self.placer.place_jobs(self.config, now)
        self.ender.end_late_jobs(self.config, self.acquiring_since, now)
        self.takeover.request_polls(now)
        self.changed_at = now
