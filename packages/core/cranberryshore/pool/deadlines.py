"""Jobs that a scheduler ends because they cannot be answered any more."""

from collections.abc import Collection, Iterable, Mapping

import attrs

from cranberryshore.pool import refusing
from cranberryshore.pool.backlog import Backlog
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.earlier_runs import EarlierRuns
from cranberryshore.pool.effects import JobEnded
from cranberryshore.pool.evacuation import EvacuatedWorkers
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.work import Outcome, PoolJob

EVACUATED_DETAIL = "The job fits on workers of evacuated zones only."


@attrs.frozen
class Verdict:
    """Job that is to be ended, with its outcome.

    Parameters
    ----------
    detail : str
        Human-readable explanation, one sentence.
    retry_after_ms : int
        Delay after which the caller may retry; 0 if none is known.
    """

    job: PoolJob
    outcome: Outcome
    detail: str
    retry_after_ms: int = 0


@attrs.define(eq=False)
class DeadlinePolicy:
    """Finds the jobs to be ended.

    Parameters
    ----------
    workers : mapping
        Held workers by name, maintained by the scheduler.
    """

    workers: Mapping[str, HeldWorker]
    statistics: RunStatistics
    backlog: Backlog
    earlier_runs: EarlierRuns
    evacuated: EvacuatedWorkers

    def refuse(self, job_id: str, entry: str, detail: str, retry_after_ms: int) -> JobEnded:
        """Return the end of a job that is not accepted."""
        outcome = self.earlier_runs.refusal_outcome(job_id)
        return JobEnded(entry, job_id, outcome, detail, retry_after_ms)

    def workers_of(self, service: str) -> Iterable[HeldWorker]:
        """Return the held workers of a service."""
        return (worker for worker in self.workers.values() if worker.service == service)

    def find_late_jobs(
        self, jobs: Collection[PoolJob], config: PoolConfig, acquiring_since: float, now: float
    ) -> list[Verdict]:
        """Return the jobs whose time is over, and those that would be answered too late."""
        verdicts = (self._check_job(job, config, acquiring_since, now) for job in jobs)
        return [verdict for verdict in verdicts if verdict is not None]

    def find_hopeless_jobs(
        self, waiting: Iterable[PoolJob], config: PoolConfig, now: float
    ) -> list[Verdict]:
        """Return the waiting jobs that too few workers are left for."""
        detail = "The remaining workers cannot answer the job in time."
        return [
            self._refuse_waiting(job, detail)
            for job in self.backlog.find_hopeless_jobs(waiting, config, now)
        ]

    def _check_job(
        self, job: PoolJob, config: PoolConfig, acquiring_since: float, now: float
    ) -> Verdict | None:
        if job.has_started:
            is_over = now > job.deadline_at
            detail = "The caller's time is over."
            return Verdict(job, Outcome.GIVEN_UP, detail) if is_over else None
        queue = job.queue_in(config)
        # Runs of a resumed job may be active on evacuated workers until it is verified.
        may_wait = queue is None or job.delayed_until > now
        if not may_wait and self.evacuated.confines(job, queue.service, now):
            return self._refuse_waiting(job, EVACUATED_DETAIL)
        earliest = refusing.earliest_start(job, now)
        if not refusing.is_infeasible(job, self.statistics.expected_seconds(job), earliest):
            return None
        members = self.workers_of(queue.service) if queue is not None else ()
        is_useless = refusing.is_infeasible(job, 0.0, now)
        if not is_useless and refusing.may_gain_worker(members, acquiring_since, now):
            return None
        detail = "The job can no longer be answered in time."
        return self._refuse_waiting(job, detail)

    def _refuse_waiting(self, job: PoolJob, detail: str) -> Verdict:
        outcome = self.earlier_runs.refusal_outcome(job.request.id)
        return Verdict(job, outcome, detail, refusing.RETRY_AFTER_MS)
