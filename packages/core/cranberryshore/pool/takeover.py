"""Jobs and runs that a scheduler takes over from an earlier one.

Entry instances hand over their jobs, and workers report the runs that the earlier scheduler has
started. A run whose job is handed over is adopted; others are stopped.
"""

from collections.abc import Iterable, Mapping

import attrs

from cranberryshore.pool import adoption
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.effects import PollWorker, PoolEffect, StopRun
from cranberryshore.pool.foreign_runs import ForeignRuns
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.job_ending import JobEnder
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.verifying import Verification
from cranberryshore.pool.work import PoolJob
from cranberryshore.pool.worker_status import RunKey, WorkerStatus

ADOPTION_WINDOW_SECONDS = 0.15
"""Time after which foreign runs are stopped unless their jobs are handed over; entry instances
learn of a new scheduler within some milliseconds."""


@attrs.frozen(eq=False)
class Takeover:
    """Resumes the jobs of earlier schedulers.

    Parameters
    ----------
    jobs, workers : mapping
        Jobs by id and held workers by name, maintained by the scheduler.
    effects : list of PoolEffect
        Receives the required actions.
    """

    jobs: Mapping[str, PoolJob]
    workers: Mapping[str, HeldWorker]
    registry: RunRegistry
    crashes: CrashHistory
    foreign: ForeignRuns
    verification: Verification
    placer: Placer
    ender: JobEnder
    effects: list[PoolEffect]

    def resume_job(self, job: PoolJob, exposed_workers: frozenset[str] | None, now: float) -> None:
        """Adopt the runs of a job that an entry instance hands over.

        Its waiting tasks start when no run of another scheduler can be active.
        """
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
        self.request_polls(now)

    def request_polls(self, now: float) -> None:
        """Poll the workers that have not verified the resumed jobs, if that is due."""
        names = self.verification.start_round(self.workers.values(), now)
        self.effects.extend(map(PollWorker, names))

    def worker_reported(self, worker: HeldWorker, status: WorkerStatus, now: float) -> None:
        """Adopt the foreign runs that a worker has just reported, and stop those of no job."""
        self.foreign.record(worker, [end.task for end in status.ended])
        for end in status.ended:
            job = self.jobs.get(adoption.job_id_of((end.task, end.attempt)))
            if job is not None and end.task in worker.foreign_ends:
                self._adopt_ends(job, [worker], now)
        for key in sorted(worker.strangers):
            self._adopt_run(worker, key, now)
        if now >= worker.strangers_since + ADOPTION_WINDOW_SECONDS:
            for key in sorted(worker.strangers):
                self.effects.append(StopRun(worker.name, key, worker.token))

    def discard_lapsed_strangers(self, now: float) -> None:
        """Forget the foreign runs of silent workers whose leases have expired."""
        for name in sorted(self.placer.stranger_holders):
            worker = self.workers[name]
            if worker.state is HoldState.SILENT and not worker.possible_runs(now):
                self.discard_strangers(worker)

    def discard_strangers(self, worker: HeldWorker) -> None:
        """Forget the foreign runs of a worker, which have ended."""
        worker.strangers, worker.strangers_since = set(), float("inf")
        self.placer.worker_changed(worker)

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
            self.ender.task_done(job, task, now)

    def _adopt_run(self, worker: HeldWorker, key: RunKey, now: float) -> None:
        """Adopt a run that another scheduler has started, if its job was handed over."""
        job = self.jobs.get(adoption.job_id_of(key))
        if job is not None and adoption.adopt_run(job, worker, key, self.registry, now):
            if self.crashes.is_suspect(key[0]):
                worker.isolated_runs.add(key)
            self.placer.worker_changed(worker)
