"""Estimation of the speeds of the workers of a service from ended runs.

The estimate of a caller is off by about 35 %, and this error is shared by all tasks of a job. Runs
of one job on several workers therefore tell much more of the ratio of their speeds than runs of
different jobs: the job has an effect of its own, which its first runs determine and the others
have in common. A queue whose run times differ from the estimates has an effect as well, so that a
slow queue does not make the workers appear slow that run it.
"""

from math import exp, log
from statistics import median

import attrs

from cranberryshore.pool.speeds.effects import MAX_DEVIATIONS, Effect, update_effects

RUN_VARIANCE = 0.2**2
"""Variance of the logarithm of run times within a job; 0.15 is the deviation in replayed load."""

JOB_VARIANCE = 0.35**2
"""Variance of the logarithmic error of the estimates of callers."""

QUEUE_VARIANCE = 0.5**2
"""Variance of the logarithmic error of the expected run time of a queue that is still unknown."""

QUEUE_DRIFT = 0.001
"""Increase of this variance per second: the expected run times are learned at the same time."""

KIND_VARIANCE = 0.3**2
"""Variance of the logarithmic factor of a kind of worker before its first sample."""

WORKER_VARIANCE = 0.45**2
"""The same of a worker within its kind; speeds of 0.7 and 1.7 differ by 0.89."""

WORKER_DRIFT = 0.0005
"""Increase of this variance per second; with 8 runs a second, 5 s of runs determine the speed."""

MAX_SURPRISES = 4
"""Successive runs of a worker that deviate strongly in one direction, after which its speed is
learned anew: it has changed, as one run in 33 deviates by chance."""

MIN_DIFFERENCE = 0.15
"""Smallest logarithmic difference from the median worker that counts as a difference in speed."""

MIN_STANDARD_ERRORS = 3.0
"""The same in standard errors of the estimate."""

UNEVEN_SHARE = 0.1
"""Share of workers that must differ before speeds are used: fewer are faults, which the health
records cover."""

EVEN_SHARE = 0.05
"""Share of differing workers below which speeds are not used any more."""

MIN_DIFFERING_WORKERS = 2
"""Smallest number of differing workers before speeds are used."""

FAULT_FACTOR = 3.0
"""Run time relative to the median worker from which a worker has a fault and is not just slow."""

MIN_FACTOR, MAX_FACTOR = 0.4, 2.0
"""Range of the used factors in run time: speeds are 0.7 to 1.7, and workers that are much slower
must still be noticed as faulty."""

KindKey = frozenset[str]
"""Labels of a worker apart from its rack."""


@attrs.define(eq=False)
class WorkerEstimate:
    """What is known of the speed of one worker.

    Parameters
    ----------
    effect : Effect
        Effect of the worker beside that of its kind.
    surprises : int
        Number of successive runs that deviated strongly, negative if they were shorter.
    """

    kind: KindKey
    effect: Effect
    sample_count: int = 0
    surprises: int = 0

    def record_deviation(self, deviations: float) -> None:
        """Count a strong deviation; learn the speed anew after several ones."""
        if abs(deviations) < MAX_DEVIATIONS:
            self.surprises = 0
            return
        sign = 1 if deviations > 0 else -1
        self.surprises = self.surprises + sign if self.surprises * sign > 0 else sign
        if abs(self.surprises) >= MAX_SURPRISES:
            self.effect.variance, self.surprises = self.effect.limit, 0


@attrs.define(eq=False)
class SpeedEstimator:
    """Speeds of the workers of one service.

    Parameters
    ----------
    is_uneven : bool
        Whether the workers have different speeds; if not, all factors are 1.
    factors : dict
        Expected run time on each worker as a multiple of that on a worker of mean speed.
    kind_factors : dict
        The same for workers without samples, by kind.
    """

    workers: dict[str, WorkerEstimate] = attrs.field(factory=dict)
    kinds: dict[KindKey, Effect] = attrs.field(factory=dict)
    queues: dict[str, Effect] = attrs.field(factory=dict)
    is_uneven: bool = False
    factors: dict[str, float] = attrs.field(factory=dict)
    kind_factors: dict[KindKey, float] = attrs.field(factory=dict)

    def record(
        self, worker: str, kind: KindKey, queue: str, job: Effect, sample: float, now: float
    ) -> None:
        """Add a run: the logarithm of the ratio of its time to that on a mean worker.

        ``job`` is the effect of its job, which is updated as well.
        """
        estimate = self.workers.get(worker)
        if estimate is None or estimate.kind != kind:
            effect = Effect(0.0, WORKER_VARIANCE, WORKER_VARIANCE, WORKER_DRIFT, now)
            estimate = self.workers[worker] = WorkerEstimate(kind, effect)
        kind_effect = self.kinds.get(kind)
        if kind_effect is None:
            kind_effect = self.kinds[kind] = Effect(0.0, KIND_VARIANCE, KIND_VARIANCE)
        queue_effect = self.queues.get(queue)
        if queue_effect is None:
            queue_effect = Effect(0.0, QUEUE_VARIANCE, QUEUE_VARIANCE, QUEUE_DRIFT, now)
            self.queues[queue] = queue_effect
        estimate.effect.advance(now)
        queue_effect.advance(now)
        effects = (job, queue_effect, kind_effect, estimate.effect)
        estimate.sample_count += 1
        estimate.record_deviation(update_effects(effects, sample, RUN_VARIANCE))

    def forget(self, worker: str) -> None:
        """Discard the samples of a worker."""
        self.workers.pop(worker, None)
        self.factors.pop(worker, None)

    def refresh(self) -> None:
        """Determine whether the workers are uneven, and the factors, from the estimates."""
        logs = {
            name: self.kinds[item.kind].mean + item.effect.mean
            for name, item in self.workers.items()
        }
        if not logs:
            return
        middle = median(logs.values())
        differing = sum(
            self._differs(self.workers[name], value - middle) for name, value in logs.items()
        )
        share = EVEN_SHARE if self.is_uneven else UNEVEN_SHARE
        self.is_uneven = differing >= max(MIN_DIFFERING_WORKERS, share * len(logs))
        self.factors, self.kind_factors = {}, {}
        if not self.is_uneven:
            return
        # The mean worker has the mean speed, so that the pool does as much work as if all had it.
        mean_speed = sum(exp(-value) for value in logs.values()) / len(logs)
        for name, value in logs.items():
            self.factors[name] = _limit(exp(value) * mean_speed)
        for kind, effect in self.kinds.items():
            self.kind_factors[kind] = _limit(exp(effect.mean) * mean_speed)

    @staticmethod
    def _differs(estimate: WorkerEstimate, difference: float) -> bool:
        """Return whether a worker has another speed than the median one, but no fault."""
        error = estimate.effect.variance**0.5
        smallest = max(MIN_DIFFERENCE, MIN_STANDARD_ERRORS * error)
        return abs(difference) > smallest and difference < log(FAULT_FACTOR)


def _limit(factor: float) -> float:
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)
