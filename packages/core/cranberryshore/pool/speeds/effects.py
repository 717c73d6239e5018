"""Estimates of the causes that lengthen a run, on a logarithmic scale.

The logarithm of the ratio of a run time to the expected one is taken as the sum of independent
effects (of the job, the queue, the kind of worker and the worker) and of noise. Each run moves all
of them, in proportion to their variances: the effect that is known least moves most. This is a
Kalman filter that ignores the covariances, so its cost does not grow with the pool.
"""

from collections.abc import Sequence
from math import sqrt

import attrs

MAX_DEVIATIONS = 2.0
"""Standard deviations to which a deviation is limited: one run in 33 takes seven times as long."""


@attrs.define
class Effect:
    """Estimate of one effect.

    Parameters
    ----------
    mean : float
        Estimated logarithm of the factor in run time.
    variance : float
        Variance of the error of the estimate.
    limit : float
        Maximum of the variance, which it reaches without samples.
    drift : float
        Increase of the variance in a second without samples, as the effect may change.
    updated_at : float
        Time of the latest sample, in seconds.
    """

    mean: float
    variance: float
    limit: float
    drift: float = 0.0
    updated_at: float = 0.0

    def advance(self, now: float) -> None:
        """Let the estimate age until a time, in seconds."""
        aged = self.variance + self.drift * max(now - self.updated_at, 0.0)
        self.variance, self.updated_at = min(aged, self.limit), now


def update_effects(effects: Sequence[Effect], sample: float, noise: float) -> float:
    """Move the effects towards a sample of their sum; return its deviation in standard deviations.

    Parameters
    ----------
    effects : sequence of Effect
        Effects that take part in the run.
    sample : float
        Logarithm of the ratio of the run time to the expected one.
    noise : float
        Variance of the logarithm of run times that no effect explains.

    Examples
    --------
    >>> job, worker = Effect(0.0, 0.1, 0.1), Effect(0.0, 0.3, 0.3)
    >>> round(update_effects([job, worker], 0.2, 0.1), 2)
    0.28
    >>> round(job.mean, 2), round(worker.mean, 2)
    (0.04, 0.12)
    """
    difference, total = sample, noise
    for effect in effects:
        difference -= effect.mean
        total += effect.variance
    deviations = difference / sqrt(total)
    # A limited deviation has as little weight as a sample with accordingly more noise.
    weight = 1.0 / (total * max(abs(deviations) / MAX_DEVIATIONS, 1.0))
    for effect in effects:
        gain = effect.variance * weight
        effect.mean += gain * difference
        effect.variance *= 1.0 - gain
    return deviations
