"""Separation of tasks that slow each other down."""

from math import exp, log

import attrs

from cranberryshore.pool.effects import InterferenceChanged, PoolEffect
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.interference.co_runners import Exposure, WorkerRuns
from cranberryshore.pool.interference.estimation import PairEstimator
from cranberryshore.pool.run import Run, RunEnd
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_status import EndKind, RunKey

REFRESH_SECONDS = 0.5
"""Period with which the pairs that count are determined."""

SAMPLES_PER_SECOND = 180.0
"""Runs that are used in a second: a sample costs some 20 microseconds, and this number shows a
slowdown of 1.5 within some seconds."""

LOG_SECONDS = 5.0
"""Shortest time between two records of the pairs that count."""

MEAN_REMAINING_SHARE = 0.5
"""Mean share of its run time that a run has left at a random time."""

MEAN_SHARE = 0.05
"""Weight of the latest run in the mean run time of a queue."""


@attrs.define(eq=False)
class Separation:
    """Learned interference, and the preference for workers without it.

    Implements :class:`RunObserver`, :class:`StartObserver` and :class:`WorkerPreference`.

    Parameters
    ----------
    effects : list of PoolEffect
        Receives the changes of the pairs that count, for the log.
    run_ms : dict
        Mean run time by queue, in milliseconds.
    involved : dict
        For each queue and each other one, the logarithm of the slowdown of its task by one run of
        the other, and the extra time in milliseconds that it causes to one.
    run_count : int
        Number of runs that have ended since the pairs were determined.
    sampled_jobs : int
        One in so many jobs is used as a sample, with all its runs.
    logged : frozenset
        Pairs in the latest record.
    """

    statistics: RunStatistics
    effects: list[PoolEffect]
    estimator: PairEstimator = attrs.field(factory=PairEstimator)
    workers: dict[str, WorkerRuns] = attrs.field(factory=dict)
    run_ms: dict[str, float] = attrs.field(factory=dict)
    involved: dict[str, dict[str, tuple[float, float]]] = attrs.field(factory=dict)
    run_count: int = 0
    sampled_jobs: int = 1
    logged: frozenset[tuple[str, str]] = frozenset()
    logged_at: float = float("-inf")
    refreshed_at: float = float("-inf")

    def run_started(self, worker: HeldWorker, key: RunKey, job: PoolJob, now: float) -> None:
        """See :class:`StartObserver`."""
        runs = self.workers.get(worker.name)
        if runs is None:
            runs = self.workers[worker.name] = WorkerRuns()
        runs.run_started(worker, key, job.request.queue, self._is_sampled(job), now)

    def run_ended(
        self, worker: HeldWorker, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        """See :class:`RunObserver`."""
        self.run_count += 1
        runs = self.workers.get(worker.name)
        if runs is None:
            runs = self.workers[worker.name] = WorkerRuns()
        exposure = runs.run_ended(worker, end, job.request.queue, now)
        if exposure is not None and self._is_sample(worker, end, task):
            self._record(worker, end.run, job, task, exposure, now)
        if now >= self.refreshed_at + REFRESH_SECONDS:
            self.refresh(now)

    def _is_sampled(self, job: PoolJob) -> bool:
        # The millisecond of its arrival selects a job at random, with all its runs.
        return self.sampled_jobs == 1 or int(job.received_at * 1000) % self.sampled_jobs == 0

    def _is_sample(self, worker: HeldWorker, end: RunEnd, task: PoolTask) -> bool:
        # A task that is started again after a straggler has probably a long run time of its own.
        run = end.run
        is_known = not (run.is_adopted or run.unheard_seconds or task.stragglers)
        is_sound = not self.statistics.health.is_slow(worker.name)
        return end.kind is EndKind.DONE and is_known and is_sound

    def _record(
        self,
        worker: HeldWorker,
        run: Run,
        job: PoolJob,
        task: PoolTask,
        exposure: Exposure,
        now: float,
    ) -> None:
        queue = job.request.queue
        started_at = run.start_confirmed_at if run.start_confirmed_at < now else run.started_at
        ran_ms = max((now - started_at) * 1000, 1.0)
        expected_ms = max(self.statistics.expected_run_ms(worker.name, job, task), 1.0)
        mean = self.run_ms.get(queue, ran_ms)
        self.run_ms[queue] = mean + MEAN_SHARE * (ran_ms - mean)
        weight = 1 / len(job.tasks)
        self.estimator.record(worker.name, queue, exposure, log(ran_ms / expected_ms), weight)

    def refresh(self, now: float) -> None:
        """Determine the pairs that count, and log them if others count than before."""
        seconds = max(now - self.refreshed_at, REFRESH_SECONDS)
        self.sampled_jobs = max(round(self.run_count / seconds / SAMPLES_PER_SECOND), 1)
        self.refreshed_at, self.run_count = now, 0
        self.estimator.refresh(now)
        self.involved = self._find_involved()
        pairs = frozenset(self.estimator.counted)
        if pairs != self.logged and now >= self.logged_at + LOG_SECONDS:
            self.logged, self.logged_at = pairs, now
            slowdowns = {
                f"{queue} beside {other}": round(exp(effect), 2)
                for (queue, other), effect in sorted(self.estimator.counted.items())
            }
            self.effects.append(InterferenceChanged(slowdowns))

    def _find_involved(self) -> dict[str, dict[str, tuple[float, float]]]:
        involved: dict[str, dict[str, tuple[float, float]]] = {}
        for (queue, other), effect in self.estimator.counted.items():
            slowed = involved.setdefault(queue, {})
            slowed[other] = (effect, slowed.get(other, (0.0, 0.0))[1])
            left_ms = MEAN_REMAINING_SHARE * self.run_ms.get(queue, 0.0)
            overlap_ms = min(left_ms, self.run_ms.get(other, 0.0))
            slowing = involved.setdefault(other, {})
            former = slowing.get(queue, (0.0, 0.0))[0]
            slowing[queue] = (former, overlap_ms * (exp(effect) - 1))
        return involved

    def is_neutral(self) -> bool:
        """See :class:`WorkerPreference`."""
        return not self.estimator.counted

    def extra_ms(self, worker: HeldWorker, job: PoolJob, task: PoolTask) -> float:
        """See :class:`WorkerPreference`."""
        involved = self.involved.get(job.request.queue)
        runs = self.workers.get(worker.name)
        if involved is None or runs is None or not worker.runs:
            return 0.0
        suffered, caused = 0.0, 0.0
        for other, (effect, caused_ms) in involved.items():
            presence = runs.queues.get(other)
            if presence is not None and presence.count:
                suffered += effect * presence.count
                caused += caused_ms * presence.count
        if not suffered:
            return caused
        return caused + self.statistics.expected_task_ms(job, task) * (exp(suffered) - 1)
