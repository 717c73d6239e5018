"""Records of the workers that a scheduler loses, from their failed polls and their return."""

from collections.abc import Mapping

import attrs

from cranberryshore.pool.adoption import job_id_of
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.departures import Departure, DepartureCheck
from cranberryshore.pool.effects import PollWorker, PoolEffect, WorkerLossJudged, WorkerLost
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.lost_run import LossState
from cranberryshore.pool.run import BootState
from cranberryshore.pool.work import PoolJob, TaskPhase
from cranberryshore.pool.worker_registration import WorkerListing
from cranberryshore.pool.worker_status import RunKey

MAX_CHECKED_WORKERS = 32
"""Maximum number of idle workers that are polled when a worker is lost under a suspect."""

CHECK_SECONDS = 0.1
"""Shortest interval between such polls."""


@attrs.define(eq=False)
class LossTracker:
    """Decides which failures of a worker are recorded as its loss, and of which runs.

    Parameters
    ----------
    jobs, workers : mapping
        Jobs of the scheduler by id, and held workers by name.
    effects : list of PoolEffect
        Receives the log records.
    departures : DepartureCheck
        What the registrations tell of lost workers.
    checked_at : float
        Time at which idle workers were last polled because of a loss.
    """

    jobs: Mapping[str, PoolJob]
    workers: Mapping[str, HeldWorker]
    crashes: CrashHistory
    isolation: Isolation
    effects: list[PoolEffect]
    departures: DepartureCheck = attrs.field(factory=DepartureCheck)
    checked_at: float = float("-inf")

    def worker_refuses(self, worker: HeldWorker, now: float) -> None:
        """Record that no process listens at the address of a worker, which may have crashed."""
        if not worker.is_loss_recorded:
            self._record(worker, worker.refused_boot(now), LossState.SUSPECTED, now)

    def worker_replaced(self, worker: HeldWorker, now: float) -> None:
        """Record that another process answers at the address of a worker, so it has ended."""
        if not worker.is_loss_recorded:
            is_closed = worker.has_just_closed(now)
            boot = worker.closed_boot if is_closed else worker.boot_state(now)
            self._record(worker, boot, LossState.PROVEN, now)
        self.crashes.resolve(worker.name, None, now)

    def worker_restarted(self, worker: HeldWorker, former: BootState, now: float) -> None:
        """Record that a worker has a later start; its present runs were not lost."""
        if former.born and not worker.is_loss_recorded:
            runs = {key: former.runs[key] for key in former.runs if key not in worker.runs}
            self._record(worker, attrs.evolve(former, runs=runs), LossState.PROVEN, now)

    def worker_answered(self, worker: HeldWorker, now: float) -> None:
        """Record that a worker has answered a poll."""
        worker.is_loss_recorded = False
        self.isolation.worker_answered(worker)
        self.crashes.worker_answered(worker.name, worker.born, worker.polled_at, now)
        if worker.name in self.crashes.unresolved:
            self.effects.append(PollWorker(worker.name))

    def workers_listed(self, listing: WorkerListing, now: float) -> None:
        """Record the registrations, which may tell whether lost workers have left."""
        self.departures.record(listing)
        judged: dict[str, Departure] = {}
        for entry in self.crashes.unregistered():
            departure = self.departures.judge(entry)
            if departure is Departure.UNDECIDED:
                continue
            entry.is_judged = True
            judged[entry.lost.worker] = departure
            if departure is Departure.EXCLUDED:
                self.crashes.confirm_registered(entry.lost.worker, entry.lost.born, now)
        self.effects += [WorkerLossJudged(name, judged[name]) for name in sorted(judged)]
        self.crashes.dismiss(listing.workers, now)

    def find_failure(self, job: PoolJob) -> JobFailure | None:
        """Return the failure of a job with a task that crashes its workers."""
        if not self.crashes.entries:
            return None
        for task in job.tasks:
            name = job.name_of(task)
            if task.phase is not TaskPhase.DONE and self.crashes.is_culprit(name):
                crashed = self.crashes.crashed_workers(name)
                return JobFailure(FailureCause.WORKERS_CRASHED, name, task.attempt, crashed)
        return None

    def _record(self, worker: HeldWorker, boot: BootState, state: LossState, now: float) -> None:
        # A worker that leaves ends its runs, too.
        if worker.is_draining:
            return
        if not boot.runs:
            if state is LossState.PROVEN:
                self._record_lapsed(worker, boot, now)
            elif worker.state is HoldState.HELD or worker.has_just_closed(now):
                self.crashes.record_idle(worker.name, now)
            return
        worker.is_loss_recorded = True
        self.isolation.worker_lost(worker, boot, now)
        running = tuple(sorted(key for key, is_certain in boot.runs.items() if is_certain))
        possible = tuple(sorted(boot.runs.keys() - set(running)))
        silent_ms = self._silent_ms(worker, now)
        self.effects.append(WorkerLost(worker.name, running, possible, state, silent_ms))
        self.crashes.record(
            worker.name,
            boot.born,
            boot.runs,
            state,
            now,
            is_store_answering=self.departures.is_answering(now),
            is_exposed=boot.was_running_suspect,
            ended_at=worker.closed_at if worker.has_just_closed(now) else None,
        )
        if boot.is_exposed:
            self._check_idle_workers(worker.service, now)

    def _check_idle_workers(self, service: str, now: float) -> None:
        """Poll some idle workers, which may have been lost at the same moment unnoticed."""
        if now < self.checked_at + CHECK_SECONDS:
            return
        self.checked_at = now
        idle = [
            worker.name
            for worker in self.workers.values()
            if worker.service == service and worker.state is HoldState.HELD and not worker.runs
        ]
        step = -(-len(idle) // MAX_CHECKED_WORKERS) or 1
        self.effects += [PollWorker(name) for name in idle[::step]]

    def _record_lapsed(self, worker: HeldWorker, boot: BootState, now: float) -> None:
        """Record the runs that may have ended a process of whose end nobody saw anything."""
        lapsed = tuple(sorted(key for key in boot.lapsed_runs if self._is_unfinished(key)))
        if lapsed:
            worker.is_loss_recorded = True
            state, silent_ms = LossState.PROVEN, self._silent_ms(worker, now)
            self.effects.append(WorkerLost(worker.name, (), (), state, silent_ms, lapsed))
            self.crashes.record_lapsed(worker.name, boot.born, lapsed, now)

    def _is_unfinished(self, key: RunKey) -> bool:
        """Return whether the task of a run may be started again."""
        job = self.jobs.get(job_id_of(key))
        return job is not None and any(
            job.name_of(task) == key[0] and task.phase is not TaskPhase.DONE for task in job.tasks
        )

    @staticmethod
    def _silent_ms(worker: HeldWorker, now: float) -> int:
        return int((now - worker.polled_at) * 1000)
