"""Run times of queues, learned from ends.

Load pattern answered: callers estimate run times 40 % too low or too high, the same way for all
jobs of a queue, so that a deadline worked out from the estimate alone is wrong for every job.
"""

import attrs

SMOOTHING = 0.05
"""Weight of one end: about twenty ends replace what was learned before."""

LARGEST_RATIO = 4.0
"""An end that took longer than this many times the estimate tells of its worker, not its queue."""


@attrs.define
class RunTimes:
    """Ratio of real to estimated run time, by queue."""

    ratios: dict[str, float] = attrs.field(factory=dict)

    def learn(self, queue: str, run_ms: float, estimate_ms: float) -> None:
        """Learn from a task that ended well."""
        ratio = min(run_ms / max(estimate_ms, 1.0), LARGEST_RATIO)
        known = self.ratios.get(queue)
        self.ratios[queue] = ratio if known is None else known + SMOOTHING * (ratio - known)

    def expected_ms(self, queue: str, estimate_ms: float) -> float:
        """Return the run time to expect.

        Examples
        --------
        >>> times = RunTimes()
        >>> times.learn("q", 140.0, 100.0)
        >>> round(times.expected_ms("q", 50.0))
        70
        """
        return estimate_ms * self.ratios.get(queue, 1.0)
