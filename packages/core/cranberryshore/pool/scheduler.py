"""Scheduler of a pool: state machine for jobs and held workers, without I/O.

A task has at most one active run. It is started again only after its last attempt has ended, has
certainly never started, or its lease has certainly expired.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.pool import adoption, refusing
from cranberryshore.pool.backlog import Backlog
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.deadlines import DeadlinePolicy
from cranberryshore.pool.earlier_runs import EarlierRuns
from cranberryshore.pool.effects import (
    JobEnded,
    PollWorker,
    PoolEffect,
    StopRun,
    UnsuccessfulRun,
)
from cranberryshore.pool.foreign_runs import ForeignRuns
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.job_summary import summarize_job
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS, VERIFICATION_SECONDS
from cranberryshore.pool.run import RunEnd, RunState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.start_rights import RUN_RIGHT_SECONDS, AcknowledgedRights, StartRights
from cranberryshore.pool.verifying import Verification
from cranberryshore.pool.work import Outcome, PoolJob, PoolTask, TaskPhase, WorkRequest
from cranberryshore.pool.worker_registration import WorkerListing
from cranberryshore.pool.worker_status import EndKind, RunKey, WorkerStatus
from cranberryshore.work.capacity import Capacity

STOP_RETRY_SECONDS = 0.15
"""Time after which a stop without effect is sent again; workers stop runs within 50 ms."""

FAILED_POLLS_UNTIL_SILENT = 2
"""Consecutive failed polls after which no task is placed on a worker."""

ADOPTION_WINDOW_SECONDS = 0.15
"""Time after which foreign runs are stopped unless their jobs are handed over; entry instances
learn of a new scheduler within some milliseconds."""

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
    placer: Placer = attrs.field(init=False)
    losses: LossTracker = attrs.field(init=False)
    deadlines: DeadlinePolicy = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.placer = Placer(
            self.workers,
            self.rights,
            self.registry,
            self.statistics,
            self.crashes,
            self.effects,
        )
        self.losses = LossTracker(self.crashes, self.placer.isolation, self.effects)
        self.deadlines = DeadlinePolicy(
            self.workers,
            self.statistics,
            Backlog(self.workers, self.statistics, self.crashes),
            EarlierRuns(self.registry, self.foreign),
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
        known = self.jobs.get(request.id)
        if known is not None and known.entry != entry and not request.is_resumed:
            known = self._move_job(known, entry, now)
        if known is not None:
            known.entry = entry
            known.deadline_at = now + (request.budget_ms - request.waited_ms) / 1000
            if request.is_resumed:
                self._delay_until_verified(known, exposed_workers, now)
            return
        queue = request.queue_in(self.config)
        if queue is None:
            detail = "The queue is not declared."
            self.effects.append(self.deadlines.refuse(request.id, entry, detail, 0))
            return
        job = PoolJob(request, entry, now - request.waited_ms / 1000, received_at=now)
        job.set_deadlines(queue, self.statistics.expected_seconds(job))
        retry_after_ms = refusing.fit_retry_ms(job, self.deadlines.workers_of(queue.service))
        if retry_after_ms is not None:
            detail = "No worker can hold a task of the job."
            self.effects.append(self.deadlines.refuse(request.id, entry, detail, retry_after_ms))
            return
        self.registry.restore_attempts(job)
        self.jobs[request.id] = job
        failure = self.losses.find_failure(job)
        if failure is not None:
            self._fail_job(job, failure, now)
            return
        if request.is_resumed:
            self._delay_until_verified(job, exposed_workers, now)
        self.deadlines.backlog.record_arrival(job, queue.service, now)
        self.placer.waiting.update(job, now)
        self.changed_at = now

    def _move_job(self, job: PoolJob, entry: str, now: float) -> PoolJob | None:
        """Take a job from an entry instance whose caller has asked another one.

        It would hand the job over to another scheduler while this one continues it. Return ``None``
        if the job must begin anew, since the other instance does not know all of its workers.
        """
        detail = "The caller has asked another instance."
        usable = self.rights.usable_workers(entry)
        placed = {task.worker for task in job.tasks if task.phase is TaskPhase.PLACED}
        if usable is not None and not placed <= usable and job.delayed_until <= now:
            self._end_job(job, Outcome.GIVEN_UP, detail, now)
            return None
        self.effects.append(JobEnded(job.entry, job.request.id, Outcome.GIVEN_UP, detail))
        return job

    def _delay_until_verified(
        self, job: PoolJob, exposed_workers: frozenset[str] | None, now: float
    ) -> None:
        """Delay the start of waiting tasks until no run of another scheduler can be active."""
        if job.delayed_until > now and exposed_workers is not None:
            # Another entry instance has handed the job over, too.
            earlier = job.exposed_workers
            exposed_workers = earlier if earlier is None else earlier | exposed_workers
        self.placer.resumed_jobs.remove(job)
        job.received_at, job.exposed_workers = now, exposed_workers
        job.delayed_until = now + RESUMED_JOB_WAIT_SECONDS
        self.placer.resumed_jobs.add(job)
        self._adopt_job(job, now)
        self.verification.request(now)
        self._request_polls(now)

    def _request_polls(self, now: float) -> None:
        self.effects += map(PollWorker, self.verification.start_round(self.workers.values(), now))

    def cancel(self, job_id: str, entry: str | None, now: float) -> None:
        """Cancel a job whose caller has disconnected, or, if ``entry`` is ``None``, has said so."""
        job = self.jobs.get(job_id)
        if job is not None and entry in (None, job.entry):
            self._end_job(job, Outcome.CANCELLED if entry is None else None, "", now)
            self.changed_at = now

    def entry_lost(self, entry: str, now: float) -> None:
        """Drop all jobs of an entry instance that is silent or follows another scheduler.

        The instance is notified, so that it can submit jobs again whose callers still wait.
        """
        for job in [job for job in self.jobs.values() if job.entry == entry]:
            self._end_job(job, Outcome.DROPPED, "The entry instance fell silent.", now)
        self.changed_at = now

    def losses_changed(self, now: float) -> None:
        """Apply the records of lost runs of another instance."""
        self._end_failed_jobs(now)
        for name in sorted(self.crashes.unresolved & self.workers.keys()):
            self.effects.append(PollWorker(name))
        self.changed_at = now

    def workers_listed(self, listing: WorkerListing, now: float) -> None:
        """Apply what the registrations tell of lost workers."""
        self.losses.workers_listed(listing, now)
        self._end_failed_jobs(now)

    def _end_failed_jobs(self, now: float) -> None:
        """End the jobs with a task that crashes its workers, if any of them is newly known."""
        if not self.crashes.changes:
            return
        for job in list(self.jobs.values()):
            failure = self.losses.find_failure(job)
            if failure is not None:
                self._fail_job(job, failure, now)

    def _fail_job(self, job: PoolJob, failure: JobFailure, now: float) -> None:
        self._end_job(job, Outcome.FAILED, failure.describe(), now, failure=failure)

    def _end_job(
        self,
        job: PoolJob,
        outcome: Outcome | None,
        detail: str,
        now: float,
        retry_ms: int = 0,
        failure: JobFailure | None = None,
    ) -> None:
        """End a job and stop its runs; notify its entry instance if there is an outcome."""
        job.is_ended = True
        job.lease_limit = min(self.rights.lease_limit(job.entry), now + RUN_RIGHT_SECONDS)
        del self.jobs[job.request.id]
        self.placer.job_ended(job)
        self.registry.save_attempts(job)
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED:
                self._stop_run(task.worker, (job.name_of(task), task.attempt), now)
        if outcome is not None:
            summary = summarize_job(job, self.statistics.expected_seconds(job), len(self.jobs), now)
            self.effects.append(
                JobEnded(job.entry, job.request.id, outcome, detail, retry_ms, summary, failure)
            )

    # Workers

    def add_worker(self, worker: HeldWorker, now: float) -> None:
        """Add a worker; no task is placed on it before it has responded to a poll."""
        self.workers[worker.name] = worker
        self.placer.worker_changed(worker)
        self.acquiring_since = now
        self.effects.append(PollWorker(worker.name))

    def unlist(self, name: str, now: float) -> None:
        """Place nothing more on a worker that is not in the roster; its runs continue.

        A worker without a registration may be alive: its registration expires in an outage of the
        store. It is removed when none of its runs can be active.
        """
        worker = self.workers.get(name)
        if worker is not None:
            worker.unlist(now)
            self.placer.worker_changed(worker)

    def relist(
        self,
        name: str,
        total: Capacity,
        labels: frozenset[str],
        is_draining: bool,
        born: int = 0,
    ) -> None:
        """Apply the present registration of a held worker, which the start ``born`` has written."""
        worker = self.workers[name]
        worker.is_draining, worker.labels, worker.registered_born = is_draining, labels, born
        worker.relist()
        worker.resize(total)
        self.placer.worker_changed(worker)
        if not worker.is_registration_current():
            # An idle worker may have restarted without any notice.
            self.effects.append(PollWorker(name))

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
        former = worker.boot_state(now) if status.born not in (0, worker.born) else None
        ends = worker.record_status(status, token, poll_sent_at, now, lease_until)
        if former is not None:
            self.statistics.health.forget(name)
            self.losses.worker_restarted(worker, former, now)
        self.losses.worker_answered(worker, now)
        self._end_failed_jobs(now)
        for end in ends:
            self._run_ended(worker, end, now)
        self.foreign.record(worker, [end.task for end in status.ended])
        for end in status.ended:
            job = self.jobs.get(adoption.job_id_of((end.task, end.attempt)))
            if job is not None and end.task in worker.foreign_ends:
                self._adopt_ends(job, [worker], now)
        for key in sorted(worker.strangers):
            self._adopt_run(worker, key, now)
        if now >= worker.strangers_since + ADOPTION_WINDOW_SECONDS:
            for key in sorted(worker.strangers):
                self.effects.append(StopRun(name, key, worker.token))
        self._stop_stragglers(worker, {(run.task, run.attempt) for run in status.running}, now)
        for key, run in worker.runs.items():
            if run.state is RunState.STOPPING and now > run.stop_requested_at + STOP_RETRY_SECONDS:
                self._stop_run(name, key, now)
        self.placer.worker_changed(worker)
        self.changed_at = now

    def _adopt_job(self, job: PoolJob, now: float) -> None:
        """Adopt the active and finished runs of a job that another scheduler has started."""
        names = self.foreign.workers_of(job.request.id)
        workers = [self.workers[name] for name in names if name in self.workers]
        self._adopt_ends(job, workers, now)
        for worker in workers:
            for key in sorted(worker.strangers):
                if adoption.job_id_of(key) == job.request.id:
                    self._adopt_run(worker, key, now)

    def _adopt_ends(self, job: PoolJob, workers: Iterable[HeldWorker], now: float) -> None:
        """Record the tasks of a job that have ended under another scheduler."""
        for task in adoption.record_ends(job, workers, now):
            self._task_done(job, task, now)

    def _adopt_run(self, worker: HeldWorker, key: RunKey, now: float) -> None:
        """Adopt a run that another scheduler has started, if its job was handed over."""
        job = self.jobs.get(adoption.job_id_of(key))
        if job is not None and adoption.adopt_run(job, worker, key, self.registry, now):
            if self.crashes.is_suspect(key[0]):
                worker.isolated_runs.add(key)
            self.placer.worker_changed(worker)

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
            self._end_failed_jobs(now)

    def worker_replaced(self, name: str, now: float) -> None:
        """Record that another process answers at the address of a worker."""
        worker = self.workers.get(name)
        if worker is None:
            return
        self.losses.worker_replaced(worker, now)
        for end in worker.remove_ended_runs():
            self._run_ended(worker, end, now)
        self._end_failed_jobs(now)
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
            self.statistics.health.rejections.accepted(name, key)

    def start_rejected(
        self, name: str, key: RunKey, is_attempt_low: bool, now: float, is_paused: bool = False
    ) -> None:
        """Record that a worker has rejected a start, and with ``is_paused`` would reject others."""
        if is_paused:
            self.statistics.health.rejections.rejected(name, key, now)
        worker = self.workers.get(name)
        run = worker.remove_run(key) if worker is not None else None
        if run is None:
            return
        self.registry.withdraw_start(key)
        if is_attempt_low:
            self.registry.raise_attempt(key)
        self._run_ended(worker, RunEnd(key, EndKind.NEVER_BEGAN, run), now)
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
                self._run_ended(worker, end, now)
            if now > worker.unlisted_at + UNLISTED_WORKER_SECONDS and not worker.runs:
                del self.workers[name]
                self.placer.worker_removed(name)
        self.placer.tick(now)
        self.foreign.discard_outdated(self.workers.values())
        self.crashes.discard_outdated(now)
        if self.changed_at is not None:
            # No job is refused while capacity for it is free.
            self.placer.place_jobs(self.config, now)
        self._end_late_jobs(now)
        self._request_polls(now)
        self.changed_at = now

    def _stop_stragglers(self, worker: HeldWorker, listed: set[RunKey], now: float) -> None:
        """Stop stragglers among the reported runs, so that their tasks start elsewhere.

        A run that is missing from the latest report may have ended while polls were lost.
        """
        for key, run in worker.runs.items():
            if run.state is not RunState.RUNNING or key not in listed:
                continue
            if self.statistics.isolate_straggler(
                worker.name, run, *self.registry.tasks_by_run[key], now
            ):
                self._stop_run(worker.name, key, now)

    def _end_late_jobs(self, now: float) -> None:
        """End the jobs that cannot be answered any more."""
        verdicts = self.deadlines.find_late_jobs(
            self.jobs.values(), self.config, self.acquiring_since, now
        )
        if now >= self.acquiring_since + VERIFICATION_SECONDS:
            ended = {verdict.job for verdict in verdicts}
            waiting = [job for job in self.placer.waiting if job not in ended]
            verdicts += self.deadlines.find_hopeless_jobs(waiting, self.config, now)
        for verdict in verdicts:
            self._end_job(verdict.job, verdict.outcome, verdict.detail, now, verdict.retry_after_ms)

    def _stop_run(self, name: str, key: RunKey, now: float) -> None:
        worker = self.workers.get(name)
        run = worker.runs.get(key) if worker is not None else None
        if run is not None:
            run.state, run.stop_requested_at = RunState.STOPPING, now
            self.effects.append(StopRun(name, key, worker.token))

    # Ends of runs

    def _run_ended(self, worker: HeldWorker, end: RunEnd, now: float) -> None:
        job, task = self.registry.remove(end.key)
        self.placer.worker_changed(worker)
        self.statistics.record_end(worker.name, end, job, task, now)
        if end.kind is not EndKind.DONE:
            ran_ms = int((now - end.run.started_at) * 1000)
            self.effects.append(UnsuccessfulRun(worker.name, end.key, end.kind, ran_ms))
        if job.is_ended:
            return
        if end.kind is EndKind.DONE:
            self.crashes.clear(end.key[0])
            self._task_done(job, task, now)
            return
        task.phase, task.worker = TaskPhase.WAITING, ""
        job.waiting_tasks += 1
        if end.kind is not EndKind.NEVER_BEGAN:
            task.avoided_workers.add(worker.name)
        self.placer.waiting.update(job, now)
        if end.kind is EndKind.FAILED:
            task.failures += 1
            if task.failures >= job.max_attempts:
                failure = JobFailure(FailureCause.TASK_FAILED, end.key[0], task.attempt)
                self._fail_job(job, failure, now)

    def _task_done(self, job: PoolJob, task: PoolTask, now: float) -> None:
        task.phase = TaskPhase.DONE
        job.unfinished_tasks -= 1
        if job.unfinished_tasks == 0:
            self.statistics.record_completed_job(job)
            self._end_job(job, Outcome.COMPLETED, "", now)
