"""Slowdown of the runs of one queue by each run of another one on the same worker.

Runs with and without the other queue beside them are distinguished at their start: a long run meets
more co-runners than a short one, so what it has met later would make co-runners look harmful. The
difference of the mean logarithms is divided by that of the mean numbers of co-runners over time.
"""

from math import exp, log

import attrs

from cranberryshore.pool.interference.co_runners import Exposure

FORGETTING_SECONDS = 5.0
"""Time constant with which samples lose weight: an ended effect is forgotten within seconds, and a
queue with two jobs a second still has enough samples."""

MAX_LOG_RATIO = log(2.5)
"""Largest deviation of a run from the mean of its queue: one in 33 takes seven times as long."""

MIN_SAMPLES = 12.0
"""Effective number of jobs with the other queue beside them, and without it."""

MIN_EFFECT = log(1.1)
"""Smallest slowdown that counts; less is not worth a worse fit."""

MIN_STANDARD_ERRORS, KEPT_STANDARD_ERRORS = 3.5, 1.5
"""Significance at which a pair begins to count, and below which it stops: each pair is tested twice
a second, so three would be reached by chance."""

MIN_CONTRAST = 0.2
"""Smallest difference in the mean number of co-runners between the two groups of runs: with less,
the quotient is mostly noise."""

MAX_EFFECT = log(4.0)
"""Largest slowdown by one co-runner that is assumed."""

WORKER_PRIOR = 8.0
"""Number of samples at which half of the deviation of a worker is taken to be its own."""

MAX_QUEUES = 16
"""Number of queues between which effects are learned, which bounds the number of pairs."""

Pair = tuple[str, str]


@attrs.define
class Moments:
    """Weighted moments of the samples of a group.

    The samples of a job share the error of its estimate, so a job counts as one sample at most:
    their total weight is at most 1, and the total weight is the number of independent samples.
    """

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    exposure: float = 0.0

    def add(self, value: float, exposure: float, weight: float) -> None:
        """Add a sample."""
        self.weight += weight
        self.total += weight * value
        self.squares += weight * value * value
        self.exposure += weight * exposure

    def scale(self, factor: float) -> None:
        """Reduce the weight of all samples."""
        self.weight *= factor
        self.total *= factor
        self.squares *= factor
        self.exposure *= factor

    @property
    def mean(self) -> float:
        """Return the mean of the samples; 0 if there are none."""
        return self.total / self.weight if self.weight else 0.0

    @property
    def variance(self) -> float:
        """Return the variance of the samples."""
        return max(self.squares / self.weight - self.mean**2, 0.0) if self.weight else 0.0


@attrs.define
class PairSamples:
    """Samples of a queue with another one beside them at the start, and without it."""

    beside: Moments = attrs.field(factory=Moments)
    apart: Moments = attrs.field(factory=Moments)

    def effect(self, was_counted: bool) -> float:
        """Return the logarithm of the slowdown by one co-runner; 0 if it does not count."""
        beside, apart = self.beside, self.apart
        counts = beside.weight, apart.weight
        if min(counts) < (MIN_SAMPLES / 2 if was_counted else MIN_SAMPLES):
            return 0.0
        difference = beside.mean - apart.mean
        error = (beside.variance / counts[0] + apart.variance / counts[1]) ** 0.5
        contrast = beside.exposure / beside.weight - apart.exposure / apart.weight
        errors = KEPT_STANDARD_ERRORS if was_counted else MIN_STANDARD_ERRORS
        if contrast < MIN_CONTRAST or difference <= errors * error:
            return 0.0
        effect = min(difference / contrast, MAX_EFFECT)
        return effect if effect > MIN_EFFECT else 0.0


@attrs.define(eq=False)
class PairEstimator:
    """Effects between queues, from ended runs.

    Parameters
    ----------
    pairs : dict
        Samples by queue and queue beside it.
    queues, workers : dict
        Samples of each queue, and deviations of each worker from its queues.
    counted : dict
        Logarithm of the slowdown by one co-runner of each pair that counts.
    """

    pairs: dict[Pair, PairSamples] = attrs.field(factory=dict)
    queues: dict[str, Moments] = attrs.field(factory=dict)
    workers: dict[str, Moments] = attrs.field(factory=dict)
    counted: dict[Pair, float] = attrs.field(factory=dict)
    refreshed_at: float = 0.0

    def record(
        self,
        worker: str,
        queue: str,
        exposure: Exposure,
        log_ratio: float,
        weight: float,
    ) -> None:
        """Record an ended run.

        Parameters
        ----------
        worker, queue : str
            Worker and queue of the run.
        exposure : Exposure
            Runs beside it.
        log_ratio : float
            Logarithm of the run time over the expected one.
        weight : float
            1 over the number of runs of the job, which share the error of its estimate.
        """
        if queue not in self.queues and len(self.queues) >= MAX_QUEUES:
            return
        mean = self.queues.setdefault(queue, Moments())
        known = sum(
            self.counted.get((queue, name), 0.0) * count for name, count in exposure.mean.items()
        )
        value = log_ratio - known
        deviation = _clip(value - mean.mean) if mean.weight else 0.0
        mean.add(mean.mean + deviation if mean.weight else value, 0.0, weight)
        own = self.workers.setdefault(worker, Moments())
        deviation -= own.mean * own.weight / (own.weight + WORKER_PRIOR)
        own.add(_clip(value - mean.mean), 0.0, 1.0)
        for other in self.queues:
            count = exposure.mean.get(other, 0.0)
            samples = self.pairs.setdefault((queue, other), PairSamples())
            group = samples.beside if exposure.initial.get(other) else samples.apart
            # The effects of the other pairs that count are removed, that of this one is not.
            known = self.counted.get((queue, other), 0.0)
            group.add(deviation + known * count, count, weight)

    def refresh(self, now: float) -> None:
        """Determine the pairs that count."""
        self._forget(now)
        effects = {
            pair: samples.effect(pair in self.counted) for pair, samples in self.pairs.items()
        }
        self.counted = {pair: effect for pair, effect in effects.items() if effect}

    def _forget(self, now: float) -> None:
        factor = exp(min(self.refreshed_at - now, 0.0) / FORGETTING_SECONDS)
        self.refreshed_at = now
        groups = [*self.queues.values(), *self.workers.values()]
        for samples in self.pairs.values():
            groups += (samples.beside, samples.apart)
        for group in groups:
            group.scale(factor)


def _clip(value: float) -> float:
    return min(max(value, -MAX_LOG_RATIO), MAX_LOG_RATIO)
