"""Jobs of an entry instance that have left it without a certain outcome.

Designed for callers that disconnect, or are told that their job may have run, and send the same job
again 1.3 s later. Such a job cannot be refused as not run.
"""

import attrs

UNSETTLED_SECONDS = 10.0
"""Time for which a job is remembered: callers retry 1.3 s after a response without outcome, and
several times at most."""

MAX_UNSETTLED_JOBS = 5000
"""Remembered jobs, about 1 MB; an entry instance loses at most some hundreds in ten seconds."""


@attrs.define(eq=False)
class UnsettledJobs:
    """Remembers job ids for a limited time.

    Examples
    --------
    >>> jobs = UnsettledJobs()
    >>> jobs.add("a", 0.0)
    >>> jobs.contains("a", 9.0), jobs.contains("a", 11.0), jobs.contains("b", 0.0)
    (True, False, False)
    """

    added_at: dict[str, float] = attrs.field(factory=dict)

    def add(self, job: str, now: float) -> None:
        """Remember a job."""
        self.added_at.pop(job, None)
        while self.added_at:
            oldest = next(iter(self.added_at))
            is_full = len(self.added_at) >= MAX_UNSETTLED_JOBS
            if not is_full and now - self.added_at[oldest] <= UNSETTLED_SECONDS:
                break
            del self.added_at[oldest]
        self.added_at[job] = now

    def contains(self, job: str, now: float) -> bool:
        """Return whether a job is remembered."""
        return now - self.added_at.get(job, float("-inf")) <= UNSETTLED_SECONDS
