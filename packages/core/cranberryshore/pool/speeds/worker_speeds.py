"""Speeds of the workers of a scheduler: what is learned, and how tasks are placed by them."""

from math import log

import attrs

from cranberryshore.pool.effects import PoolEffect, SpeedsChanged
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run import Run, RunEnd
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.speeds.effects import Effect
from cranberryshore.pool.speeds.estimation import JOB_VARIANCE, KindKey, SpeedEstimator
from cranberryshore.pool.speeds.long_tasks import LongTasks
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_status import EndKind

REFRESH_SECONDS = 0.5
"""Period of the calculation of the factors from the estimates: workers end some 8 runs a second."""

MAX_JOBS = 4096
"""Number of unfinished jobs whose effects are kept; a pool of 540 workers has some hundreds."""

SAMPLES_PER_SECOND = 2.0
"""Runs of a worker that are used in a second, once its speed is known: a sample costs some 10
microseconds, and with 2 of them a second a change is known within seconds."""

FIRST_SAMPLES = 16
"""Mean number of samples of the workers until which all runs are used."""

FACTOR_STEP = 0.25
"""Smallest difference in run time for which a worker is preferred to one that a task fits more
tightly; the factors are known to about 10 %."""


@attrs.define(eq=False)
class WorkerSpeeds:
    """Speeds of the workers of all services.

    Implements :class:`RunObserver`, :class:`WorkerPreference` and :class:`RunTimeFactors`.

    Parameters
    ----------
    effects : list of PoolEffect
        Receives the changes between uneven and equal workers, for the log.
    estimators : dict
        Speeds of the workers by service: workers of other services run other queues.
    jobs : dict
        Effects of the jobs with ended runs, by id.
    sampled_jobs : int
        One in so many jobs is used as a sample, with all its runs.
    run_count : int
        Number of ended runs since the factors were calculated.
    extra_shares : dict
        Extra run time on each worker, as a share of that on a mean worker, in steps.
    """

    statistics: RunStatistics
    effects: list[PoolEffect]
    estimators: dict[str, SpeedEstimator] = attrs.field(factory=dict)
    jobs: dict[str, Effect] = attrs.field(factory=dict)
    factors: dict[str, float] = attrs.field(factory=dict)
    extra_shares: dict[str, float] = attrs.field(factory=dict)
    long_tasks: LongTasks = attrs.field(factory=LongTasks)
    refreshed_at: float = float("-inf")
    sampled_jobs: int = 1
    run_count: int = 0
    asked_job: PoolJob | None = None
    asked_step: int = 0
    asked_ms: float = 0.0

    def run_ended(
        self, worker: HeldWorker, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        """See :class:`RunObserver`."""
        self.run_count += 1
        if task.stragglers or self._is_sampled(job):
            self._record_run(worker, end, job, task, now)
        if now >= self.refreshed_at + REFRESH_SECONDS:
            self.refresh(now)

    def _is_sampled(self, job: PoolJob) -> bool:
        # The millisecond of its arrival selects a job at random, with all its runs.
        return self.sampled_jobs == 1 or int(job.received_at * 1000) % self.sampled_jobs == 0

    def _record_run(
        self, worker: HeldWorker, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        run = end.run
        if run.is_adopted or run.unheard_seconds:
            return
        expected_ms = max(self.statistics.expected_task_ms(job, task), 1.0)
        ratio = run_milliseconds(run, now) / expected_ms
        if end.kind is EndKind.DONE:
            self._record_sample(worker, job, ratio, now)
        local_ratio = ratio / self.factor(worker.name)
        self.long_tasks.run_ended(worker.name, end, job, task, local_ratio, now)

    def _record_sample(self, worker: HeldWorker, job: PoolJob, ratio: float, now: float) -> None:
        estimator = self.estimators.get(worker.service)
        if estimator is None:
            estimator = self.estimators[worker.service] = SpeedEstimator()
        effect, queue = self._take_job_effect(job), job.request.queue
        estimator.record(worker.name, kind_of(worker), queue, effect, log(ratio), now)

    def _take_job_effect(self, job: PoolJob) -> Effect:
        """Return the effect of a job; it is kept until the last task of the job is done."""
        effect = self.jobs.pop(job.request.id, None)
        if effect is None:
            effect = Effect(0.0, JOB_VARIANCE, JOB_VARIANCE)
        if job.unfinished_tasks > 1 and not job.is_ended:
            self.jobs[job.request.id] = effect
            if len(self.jobs) > MAX_JOBS:
                del self.jobs[next(iter(self.jobs))]
        return effect

    def refresh(self, now: float) -> None:
        """Calculate the factors of all workers."""
        self._choose_sampled_jobs(now - self.refreshed_at)
        self.refreshed_at, self.run_count = now, 0
        self.factors = {}
        for service, estimator in self.estimators.items():
            was_uneven = estimator.is_uneven
            estimator.refresh()
            self.factors.update(estimator.factors)
            if estimator.is_uneven is not was_uneven:
                self.effects.append(describe_change(service, estimator))
        self.extra_shares = {name: _extra_share(value) for name, value in self.factors.items()}

    def _choose_sampled_jobs(self, seconds: float) -> None:
        estimates = [
            item for estimator in self.estimators.values() for item in estimator.workers.values()
        ]
        sample_count = sum(item.sample_count for item in estimates)
        if sample_count < FIRST_SAMPLES * len(estimates) or not estimates:
            self.sampled_jobs = 1
            return
        runs_per_second = self.run_count / max(seconds, 0.001) / len(estimates)
        self.sampled_jobs = max(round(runs_per_second / SAMPLES_PER_SECOND), 1)

    def factor(self, worker: str) -> float:
        """See :class:`RunTimeFactors`."""
        return self.factors.get(worker, 1.0)

    def may_continue(self, worker: str, run: Run, ratio: float, now: float) -> bool:
        """See :class:`RunTimeFactors`."""
        if not self.is_sound(worker, run):
            return False
        return self.long_tasks.may_continue(ratio, now)

    def is_sound(self, worker: str, run: Run) -> bool:
        """See :class:`RunTimeFactors`."""
        return worker in self.factors and self.long_tasks.is_sound(worker, run.started_at)

    def forget(self, worker: str) -> None:
        """See :class:`RunTimeFactors`."""
        self.factors.pop(worker, None)
        self.extra_shares.pop(worker, None)
        for estimator in self.estimators.values():
            estimator.forget(worker)

    def is_neutral(self) -> bool:
        """See :class:`WorkerPreference`."""
        return not self.factors

    def extra_ms(self, worker: HeldWorker, job: PoolJob, task: PoolTask) -> float:
        """See :class:`WorkerPreference`."""
        extra = self.extra_shares.get(worker.name)
        if extra is None:
            extra = _extra_share(self._kind_factor(worker))
        # Sorting the candidates asks for the same task many times in succession.
        if self.asked_job is not job or self.asked_step != task.step:
            self.asked_job, self.asked_step = job, task.step
            self.asked_ms = self.statistics.expected_task_ms(job, task)
        return self.asked_ms * extra

    def _kind_factor(self, worker: HeldWorker) -> float:
        estimator = self.estimators.get(worker.service)
        return 1.0 if estimator is None else estimator.kind_factors.get(kind_of(worker), 1.0)


def _extra_share(factor: float) -> float:
    return round(factor / FACTOR_STEP) * FACTOR_STEP - 1.0


def describe_change(service: str, estimator: SpeedEstimator) -> SpeedsChanged:
    """Return the description of a change between uneven and equal workers for the log."""
    count = len(estimator.workers)
    if not estimator.is_uneven:
        return SpeedsChanged(service, False, count)
    speeds = sorted(round(1 / factor, 2) for factor in estimator.factors.values())
    return SpeedsChanged(service, True, count, speeds[0], speeds[count // 2], speeds[-1])


def run_milliseconds(run: Run, now: float) -> float:
    """Return the time that an ended run has taken, at least 1 ms.

    The confirmation of the start arrives as late after it as the report after the end.
    """
    is_confirmed = run.start_confirmed_at < now
    started_at = run.start_confirmed_at if is_confirmed else run.started_at
    return max((now - started_at) * 1000, 1.0)


def kind_of(worker: HeldWorker) -> KindKey:
    """Return the kind of a worker: its labels apart from its rack."""
    return worker.labels - {worker.rack} if worker.rack in worker.labels else worker.labels
