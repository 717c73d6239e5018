"""Prediction of run times by queue, from the estimates of callers and past run times.

Run times within a queue vary by about 40 %, and the estimates of callers are off by about 40 %,
differently for each job. The estimate alone carries its whole error into a deadline, and the mean
of the queue alone ignores the information in the estimate. A linear regression on logarithms has a
smaller error than either of them, which ``test_load`` checks.
"""

from math import exp, log

import attrs

SMOOTHING_WEIGHT = 0.02
"""Minimum weight of a new sample, for an effective window of 50 samples.

The first 50 samples have equal weights.
"""

MIN_SAMPLES = 20
"""Number of samples below which the estimate of the caller is used unchanged."""

MAX_RUN_TIME_RATIO = 4.0
"""Samples above this multiple of the estimate are ignored: the worker is slow, not the queue."""


@attrs.define
class RunTimeRegression:
    """Linear regression of logarithmic run times on logarithmic estimates.

    Means, variance and covariance are exponentially weighted.
    """

    sample_count: int = 0
    mean_estimate: float = 0.0
    mean_run: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def update(self, estimate: float, run: float) -> None:
        """Add a sample, given as logarithms."""
        self.sample_count += 1
        weight = max(SMOOTHING_WEIGHT, 1 / self.sample_count)
        estimate_deviation, run_deviation = estimate - self.mean_estimate, run - self.mean_run
        self.mean_estimate += weight * estimate_deviation
        self.mean_run += weight * run_deviation
        decay = 1 - weight
        self.variance = decay * (self.variance + weight * estimate_deviation**2)
        self.covariance = decay * (self.covariance + weight * estimate_deviation * run_deviation)

    def expected(self, estimate: float) -> float:
        """Return the logarithm of the expected run time."""
        if self.sample_count < MIN_SAMPLES or self.variance <= 0:
            return estimate
        slope = min(max(self.covariance / self.variance, 0.0), 1.0)
        return self.mean_run + slope * (estimate - self.mean_estimate)


@attrs.define
class RunTimeModel:
    """Run time regressions by queue."""

    regressions: dict[str, RunTimeRegression] = attrs.field(factory=dict)

    def update(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Add a sample: the longest run time of a completed job and the estimate for it."""
        estimate_ms, run_ms = max(estimate_ms, 1.0), max(run_ms, 1.0)
        if run_ms > MAX_RUN_TIME_RATIO * estimate_ms:
            return
        regression = self.regressions.get(queue)
        if regression is None:
            regression = self.regressions[queue] = RunTimeRegression()
        regression.update(log(estimate_ms), log(run_ms))

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Return the expected run time for an estimate.

        Examples
        --------
        >>> times = RunTimeModel()
        >>> for estimate in range(80, 120):
        ...     times.update("q", 100.0, float(estimate))
        >>> round(times.expected_ms("q", 50.0))
        100
        """
        regression = self.regressions.get(queue)
        if regression is None:
            return estimate_ms
        return exp(regression.expected(log(max(estimate_ms, 1.0))))
