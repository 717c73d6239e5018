"""Acceptance of the jobs that entry instances submit."""

from collections.abc import Mapping

import attrs

from cranberryshore.pool import refusing
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.deadlines import EVACUATED_DETAIL, DeadlinePolicy
from cranberryshore.pool.effects import JobEnded, PoolEffect
from cranberryshore.pool.job_ending import JobEnder
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.takeover import Takeover
from cranberryshore.pool.work import Outcome, PoolJob, TaskPhase, WorkRequest
from cranberryshore.work.capacity import Capacity

ASKED_ELSEWHERE_DETAIL = "The caller has asked another instance."


@attrs.frozen(eq=False)
class JobIntake:
    """Accepts and refuses jobs for a scheduler.

    Parameters
    ----------
    jobs : dict
        Jobs of the scheduler by id; those that are accepted are added.
    largest : mapping
        See :class:`RosterHistory`.
    effects : list of PoolEffect
        Receives the required actions.
    """

    jobs: dict[str, PoolJob]
    registry: RunRegistry
    statistics: RunStatistics
    placer: Placer
    losses: LossTracker
    deadlines: DeadlinePolicy
    ender: JobEnder
    takeover: Takeover
    largest: Mapping[str, Capacity]
    effects: list[PoolEffect]

    def submit(
        self,
        request: WorkRequest,
        entry: str,
        config: PoolConfig,
        now: float,
        exposed_workers: frozenset[str] | None,
    ) -> bool:
        """Accept a job, or update a known one; return whether tasks of a new job wait.

        ``exposed_workers`` are the workers that may have runs of a resumed job, ``None`` if they
        are not known.
        """
        known = self.jobs.get(request.id)
        asked_at = now - request.waited_ms / 1000
        if known is not None and known.entry != entry:
            if asked_at < known.asked_at:
                self._refuse_earlier_copy(known, request, entry, exposed_workers, now)
                return False
            if not request.is_resumed:
                known = self._move_job(known, entry, now)
        if known is not None:
            known.entry, known.asked_at = entry, asked_at
            known.deadline_at = now + (request.budget_ms - request.waited_ms) / 1000
            if request.is_resumed:
                self.takeover.resume_job(known, exposed_workers, now)
            return False
        queue = request.queue_in(config)
        if queue is None:
            self._refuse(request, entry, "The queue is not declared.", 0)
            return False
        job = PoolJob(request, entry, asked_at, received_at=now)
        job.set_deadlines(queue, self.statistics.expected_seconds(job))
        if self._is_refused(job, queue.service, now):
            return False
        self.registry.restore_attempts(job)
        self.jobs[request.id] = job
        failure = self.losses.find_failure(job)
        if failure is not None:
            self.ender.fail(job, failure, now)
            return False
        if request.is_resumed:
            self.takeover.resume_job(job, exposed_workers, now)
        self.deadlines.backlog.record_arrival(job, queue.service, now)
        self.placer.waiting.update(job, now)
        return True

    def _is_refused(self, job: PoolJob, service: str, now: float) -> bool:
        """Refuse a job that fits on no worker, or on evacuated ones only; return whether it is."""
        request, workers = job.request, self.deadlines.workers_of(service)
        retry_after_ms = refusing.fit_retry_ms(job, workers, self.largest.get(service))
        detail = "No worker can hold a task of the job."
        if retry_after_ms is None and not request.is_resumed:
            if not self.deadlines.evacuated.confines(job, service, now):
                return False
            retry_after_ms, detail = refusing.RETRY_AFTER_MS, EVACUATED_DETAIL
        if retry_after_ms is None:
            return False
        self._refuse(request, job.entry, detail, retry_after_ms)
        return True

    def _refuse(self, request: WorkRequest, entry: str, detail: str, retry_after_ms: int) -> None:
        self.effects.append(self.deadlines.refuse(request.id, entry, detail, retry_after_ms))

    def _move_job(self, job: PoolJob, entry: str, now: float) -> PoolJob | None:
        """Take a job from an entry instance whose caller has asked another one.

        It would hand the job over to another scheduler while this one continues it. Return ``None``
        if the job must begin anew, since the other instance does not know all of its workers.
        """
        usable = self.placer.rights.usable_workers(entry)
        placed = {task.worker for task in job.tasks if task.phase is TaskPhase.PLACED}
        if usable is not None and not placed <= usable and job.delayed_until <= now:
            self.ender.end(job, Outcome.GIVEN_UP, ASKED_ELSEWHERE_DETAIL, now)
            return None
        self._give_up_copy(job, job.entry)
        return job

    def _refuse_earlier_copy(
        self,
        job: PoolJob,
        request: WorkRequest,
        entry: str,
        exposed_workers: frozenset[str] | None,
        now: float,
    ) -> None:
        """Leave a job with the instance that its caller has asked last.

        Another one may submit it again after a pause in which the caller has turned elsewhere. Runs
        of an earlier scheduler that it knows of are verified all the same.
        """
        if request.is_resumed:
            self.takeover.resume_job(job, exposed_workers, now)
        self._give_up_copy(job, entry)

    def _give_up_copy(self, job: PoolJob, entry: str) -> None:
        outcome = Outcome.GIVEN_UP
        self.effects.append(JobEnded(entry, job.request.id, outcome, ASKED_ELSEWHERE_DETAIL))
