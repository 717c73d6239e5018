"""Load estimate of a scheduler, and the credit that it gives entry instances.

Designed for bursts of one to four seconds in which more jobs arrive than the process of the
scheduler can handle, although workers are idle. Submissions then wait in its receive buffers until
they are rejected as late, and the work for rejected and repeated ones keeps it overloaded after the
burst. The number of jobs in flight bounds that wait: an entry instance without credit submits its
next job when one has ended, so that no more jobs are accepted than are completed.

The estimate depends only on how late this process reads and reacts. A queue of jobs that wait for
workers is not an overload of the control path and changes no decision.
"""

from collections.abc import Collection
from math import exp
from statistics import median

import attrs

from cranberryshore.pool.overload.load_report import LoadReport

UPDATE_SECONDS = 0.15
"""Interval of updates: that of the heartbeats that carry the credit."""

OVERLOAD_DELAY_SECONDS = 0.1
"""Delay above which the scheduler is overloaded: a quarter of the age at which submissions are
rejected, and the slack of the shortest jobs (96 ms). With 0.07 s, simulated pools whose workers
were the bottleneck were limited, and served less."""

SEVERE_DELAY_SECONDS = 0.15
"""Delay that counts as an overload without confirmation: in a burst of twice the capacity the next
update finds submissions near the age of 0.4 s at which they are rejected."""

CALM_DELAY_SECONDS = 0.03
"""Delay below which the credit grows. The distance to ``OVERLOAD_DELAY_SECONDS`` is the hysteresis
band; the delay of a scheduler that keeps up is a few milliseconds."""

OVERLOADED_UPDATES = 2
"""Consecutive updates with a delay that start the limit: a single one may be a pause of the
process."""

CALM_UPDATES = 3
"""Consecutive calm updates after which the limit ends: 0.45 s, so that it ends within 1 s of the
end of the load, together with the time for the backlog that the credit permits."""

UNUSED_SHARE = 0.4
"""Share of the total credit below which the jobs in flight are not limited by it. Entry instances
refuse nothing below 0.7 of their credit, and some of their jobs are in transit. With more, the
load continues, and an end of the limit would start the overload again."""

MIN_DECREASE = 0.7
"""Lowest factor of the credit in one update; ends of jobs show the effect only after their run."""

INCREASE = 1.1
"""Factor of the credit in a calm update: doubles in 1.1 s, the length of a short burst."""

RATE_SECONDS = 1.0
"""Time constant of the rates of submissions and ends; load bursts last one to four seconds."""

EQUAL_SHARE = 0.25
"""Share of the credit that is divided equally. Submissions are themselves limited by the credit, so
an entry instance whose callers become more would otherwise never get a larger share."""

INITIAL_RESIDENCE_SECONDS = 0.5
"""Assumed time from the acceptance to the end of a job until it is measured; tasks take less than
one second."""

MIN_RETRY_SECONDS = 1.0
"""Shortest time over which retries are spread; load bursts last one to four seconds."""

MAX_RETRY_SECONDS = 4.0
"""Longest time over which retries are spread: the length of the longest load bursts."""


@attrs.define(eq=False)
class LoadEstimator:
    """Measures the load of a scheduler and derives a credit for each entry instance.

    The owner calls :meth:`update` each ``UPDATE_SECONDS``, and the ``record_*`` methods between.

    Parameters
    ----------
    total_credit : float or None
        Jobs of all entry instances that may be in flight; ``None`` while the scheduler keeps up.
    delay_seconds : float
        Delay at the latest update: the median age of submissions as they were read, or the lag of
        the event loop if that is larger. The median ignores a few entry instances that are slow
        themselves.
    seconds_per_job : float
        Mean time between the ends of jobs; infinite until a job has ended.
    residence_seconds : float
        Mean time from the acceptance to the end of a job while there is no overload.
    rates : dict
        Submissions per second by entry instance, as a decaying mean.
    """

    total_credit: float | None = None
    delay_seconds: float = 0.0
    seconds_per_job: float = float("inf")
    residence_seconds: float = INITIAL_RESIDENCE_SECONDS
    rates: dict[str, float] = attrs.field(factory=dict)
    entries: frozenset[str] = frozenset()
    updated_at: float | None = None
    jobs: int = 0
    waiting_jobs: int = 0
    ages: list[float] = attrs.field(factory=list)
    lag_seconds: float = 0.0
    submitted: dict[str, int] = attrs.field(factory=dict)
    accepted: int = 0
    overloaded_updates: int = 0
    calm_updates: int = 0

    def record_submission(self, entry: str, age_seconds: float, is_accepted: bool) -> None:
        """Record a submission of an entry instance as it is read, at its age in seconds."""
        self.ages.append(age_seconds)
        self.submitted[entry] = self.submitted.get(entry, 0) + 1
        self.accepted += is_accepted

    def record_lag(self, seconds: float) -> None:
        """Record how late the event loop ran a timer."""
        self.lag_seconds = max(self.lag_seconds, seconds)

    def is_due(self, now: float) -> bool:
        """Return whether an update is due."""
        return self.updated_at is None or now - self.updated_at >= 0.9 * UPDATE_SECONDS

    def update(self, jobs: int, waiting_jobs: int, entries: Collection[str], now: float) -> None:
        """Update the estimate and the credit.

        Parameters
        ----------
        jobs, waiting_jobs : int
            Jobs of the scheduler, and those of them that have not started.
        entries : collection of str
            Live entry instances that follow the scheduler.
        now : float
            Time in seconds.
        """
        seconds = UPDATE_SECONDS if self.updated_at is None else now - self.updated_at
        self._update_rates(jobs, seconds)
        self.jobs, self.waiting_jobs, self.updated_at = jobs, waiting_jobs, now
        self.entries = frozenset(entries)
        self.delay_seconds = max(median(self.ages) if self.ages else 0.0, self.lag_seconds)
        self.ages.clear()
        self.submitted.clear()
        self.accepted, self.lag_seconds = 0, 0.0
        is_late = self.delay_seconds > OVERLOAD_DELAY_SECONDS
        is_calm = self.delay_seconds < CALM_DELAY_SECONDS
        self.overloaded_updates = self.overloaded_updates + 1 if is_late else 0
        self.calm_updates = self.calm_updates + 1 if is_calm else 0
        if self.total_credit is None:
            self._begin_if_overloaded()
        else:
            self._adapt(is_late, is_calm)

    def report_for(self, entry: str) -> LoadReport | None:
        """Return the report for an entry instance; ``None`` while the scheduler keeps up."""
        if self.total_credit is None:
            return None
        count = max(len(self.entries), 1)
        total_rate = sum(self.rates.get(name, 0.0) for name in self.entries)
        proportion = self.rates.get(entry, 0.0) / total_rate if total_rate > 0 else 1 / count
        share = (1 - EQUAL_SHARE) * proportion + EQUAL_SHARE / count
        credit = max(int(self.total_credit * share), 1)
        return LoadReport(credit, self.retry_after_ms(), int(self.delay_seconds * 1000))

    def retry_after_ms(self) -> int:
        """Return the time that the backlog needs, in milliseconds."""
        backlog = self.waiting_jobs * self.seconds_per_job if self.waiting_jobs else 0.0
        seconds = self.delay_seconds + backlog
        return int(1000 * min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS))

    def _update_rates(self, jobs: int, seconds: float) -> None:
        weight = 1 - exp(-seconds / RATE_SECONDS)
        for entry in self.rates.keys() | self.submitted.keys():
            rate = self.submitted.get(entry, 0) / seconds
            former = self.rates.get(entry, 0.0)
            self.rates[entry] = former + weight * (rate - former)
        self.rates = {entry: rate for entry, rate in self.rates.items() if rate > 0.01}
        ended = max(self.accepted + self.jobs - jobs, 0)
        former_rate = 1 / self.seconds_per_job
        end_rate = former_rate + weight * (ended / seconds - former_rate)
        self.seconds_per_job = 1 / end_rate if end_rate > 0 else float("inf")
        if self.total_credit is None and not self.overloaded_updates and ended and jobs:
            # Little's law: jobs in flight are the rate of ends times the mean stay.
            stay = min(jobs * self.seconds_per_job, 2 * INITIAL_RESIDENCE_SECONDS)
            self.residence_seconds += weight * (stay - self.residence_seconds)

    def _completable(self) -> float:
        """Return the jobs in flight at the measured rate of ends without a queue."""
        return self.residence_seconds / self.seconds_per_job

    def _decrease(self) -> float:
        return max(OVERLOAD_DELAY_SECONDS / self.delay_seconds, MIN_DECREASE)

    def _begin_if_overloaded(self) -> None:
        is_severe = self.delay_seconds > SEVERE_DELAY_SECONDS
        if is_severe or self.overloaded_updates >= OVERLOADED_UPDATES:
            # After a restart nothing has ended yet, and the accepted jobs are all that is known.
            # Most of them may wait for workers, which must not become idle for a small delay.
            known = self.jobs * self._decrease()
            self.total_credit = max(self._completable(), known, len(self.entries), 1.0)

    def _adapt(self, is_late: bool, is_calm: bool) -> None:
        least = max(len(self.entries), self._completable() / 2, 1.0)
        is_used = self.jobs >= UNUSED_SHARE * self.total_credit
        if is_late and self.jobs <= self.total_credit:
            # With more jobs, the former decrease has not taken effect yet.
            self.total_credit = max(self.total_credit * self._decrease(), least)
        elif is_calm and is_used:
            self.total_credit = self.total_credit * INCREASE + 1
        if self.calm_updates >= CALM_UPDATES and not is_used:
            self.total_credit = None
            self.overloaded_updates = self.calm_updates = 0
