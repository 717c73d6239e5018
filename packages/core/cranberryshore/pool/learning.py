"""Run times of queues, learned from ends.

Load pattern answered: callers estimate run times with an error of about 40 % that differs from job
to job, around run times that themselves differ by 40 % within a queue. A deadline worked out from
the estimate alone is wrong by the whole error; the queue's mean alone ignores what the estimate
does tell. The least squares of both, on a logarithmic scale, err less than either (test_load).
"""

from math import exp, log

import attrs

SMOOTHING = 0.02
"""Weight of one end: about fifty ends replace what was learned before."""

FIRST_ENDS = 20
"""Until so many ends were seen, each counts the same, and the estimate alone is used."""

LARGEST_RATIO = 4.0
"""An end that took longer than this many times the estimate tells of its worker, not its queue."""


@attrs.define
class RunTimeLine:
    """Regression of the logarithm of run times on that of their estimates."""

    ends: int = 0
    mean_estimate: float = 0.0
    mean_run: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def learn(self, estimate: float, run: float) -> None:
        """Take one pair of logarithms."""
        self.ends += 1
        weight = max(SMOOTHING, 1 / self.ends)
        off_estimate, off_run = estimate - self.mean_estimate, run - self.mean_run
        self.mean_estimate += weight * off_estimate
        self.mean_run += weight * off_run
        keep = 1 - weight
        self.variance = keep * (self.variance + weight * off_estimate**2)
        self.covariance = keep * (self.covariance + weight * off_estimate * off_run)

    def expected(self, estimate: float) -> float:
        """Return the logarithm of the run time to expect."""
        if self.ends < FIRST_ENDS or self.variance <= 0:
            return estimate
        slope = min(max(self.covariance / self.variance, 0.0), 1.0)
        return self.mean_run + slope * (estimate - self.mean_estimate)


@attrs.define
class RunTimes:
    """What is known of run times, by queue."""

    lines: dict[str, RunTimeLine] = attrs.field(factory=dict)

    def learn(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Learn from a job that ended well: its longest run, and the estimate."""
        estimate_ms, run_ms = max(estimate_ms, 1.0), max(run_ms, 1.0)
        if run_ms > LARGEST_RATIO * estimate_ms:
            return
        line = self.lines.get(queue)
        if line is None:
            line = self.lines[queue] = RunTimeLine()
        line.learn(log(estimate_ms), log(run_ms))

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Return the run time to expect of a job's longest task.

        Examples
        --------
        >>> times = RunTimes()
        >>> for estimate in range(80, 120):
        ...     times.learn("q", 100.0, float(estimate))
        >>> round(times.expected_ms("q", 50.0))
        100
        """
        line = self.lines.get(queue)
        if line is None:
            return estimate_ms
        return exp(line.expected(log(max(estimate_ms, 1.0))))
