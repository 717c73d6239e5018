"""Ends of jobs, and the ends of runs that lead to them."""

import attrs

from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.deadlines import DeadlinePolicy
from cranberryshore.pool.effects import JobEnded, PoolEffect, UnsuccessfulRun
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.job_summary import summarize_job
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.refusing import VERIFICATION_SECONDS
from cranberryshore.pool.run import RunEnd
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.start_rights import RUN_RIGHT_SECONDS
from cranberryshore.pool.stopping import RunStopper
from cranberryshore.pool.work import Outcome, PoolJob, PoolTask, TaskPhase
from cranberryshore.pool.worker_preference import RunObserver
from cranberryshore.pool.worker_status import EndKind


@attrs.frozen(eq=False)
class JobEnder:
    """Determines the outcome of a scheduler's jobs, and ends them.

    Parameters
    ----------
    jobs : dict
        Jobs of the scheduler by id; those that end are removed.
    effects : list of PoolEffect
        Receives the required actions.
    observers : list of RunObserver
        Are told of each ended run.
    """

    jobs: dict[str, PoolJob]
    registry: RunRegistry
    statistics: RunStatistics
    crashes: CrashHistory
    placer: Placer
    losses: LossTracker
    deadlines: DeadlinePolicy
    stopper: RunStopper
    effects: list[PoolEffect]
    observers: list[RunObserver] = attrs.field(factory=list)

    def end(
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
        job.lease_limit = min(self.placer.rights.lease_limit(job.entry), now + RUN_RIGHT_SECONDS)
        del self.jobs[job.request.id]
        self.placer.job_ended(job)
        self.registry.save_attempts(job)
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED:
                self.stopper.stop(task.worker, (job.name_of(task), task.attempt), now)
        if outcome is not None:
            summary = summarize_job(job, self.statistics.expected_seconds(job), len(self.jobs), now)
            self.effects.append(
                JobEnded(job.entry, job.request.id, outcome, detail, retry_ms, summary, failure)
            )

    def fail(self, job: PoolJob, failure: JobFailure, now: float) -> None:
        """End a job of which a task cannot be completed."""
        self.end(job, Outcome.FAILED, failure.describe(), now, failure=failure)

    def end_failed_jobs(self, now: float) -> None:
        """End the jobs with a task that crashes its workers, if any of them is newly known."""
        if not self.crashes.changes:
            return
        for job in list(self.jobs.values()):
            failure = self.losses.find_failure(job)
            if failure is not None:
                self.fail(job, failure, now)

    def end_late_jobs(self, config: PoolConfig, acquiring_since: float, now: float) -> None:
        """End the jobs that cannot be answered any more.

        ``acquiring_since`` is the time at which the scheduler started or last added a worker.
        """
        verdicts = self.deadlines.find_late_jobs(self.jobs.values(), config, acquiring_since, now)
        if now >= acquiring_since + VERIFICATION_SECONDS:
            ended = {verdict.job for verdict in verdicts}
            waiting = [job for job in self.placer.waiting if job not in ended]
            verdicts += self.deadlines.find_hopeless_jobs(waiting, config, now)
        for verdict in verdicts:
            self.end(verdict.job, verdict.outcome, verdict.detail, now, verdict.retry_after_ms)

    def run_ended(self, worker: HeldWorker, end: RunEnd, now: float) -> None:
        """Record the end of a run, after which its task is done, waits again or has failed."""
        job, task = self.registry.remove(end.key)
        self.placer.worker_changed(worker)
        self.statistics.record_end(worker.name, end, job, task, now)
        for observer in self.observers:
            observer.run_ended(worker, end, job, task, now)
        if end.kind is not EndKind.DONE:
            ran_ms = int((now - end.run.started_at) * 1000)
            self.effects.append(UnsuccessfulRun(worker.name, end.key, end.kind, ran_ms))
        if job.is_ended:
            return
        if end.kind is EndKind.DONE:
            self.crashes.clear(end.key[0])
            self.task_done(job, task, now)
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
                self.fail(job, failure, now)

    def task_done(self, job: PoolJob, task: PoolTask, now: float) -> None:
        """Record that a task is done; its job is completed with its last one."""
        task.phase = TaskPhase.DONE
        job.unfinished_tasks -= 1
        if job.unfinished_tasks == 0:
            self.statistics.record_completed_job(job)
            self.end(job, Outcome.COMPLETED, "", now)
