"""Lag of a scheduler, as a sign that its processor cannot carry the load.

A job passes the event loop of its scheduler at least twice: when it is read and when its last run
ends. The constant part of a target response time is some 60 ms, so a lag of 30 ms uses it up. The
timers of the loop may be punctual while messages wait to be read, so the age of the submissions
counts as well.
"""

import attrs

LAG_LIMIT_SECONDS = 0.03
"""Mean lag above which callers miss their targets because of the scheduler: half of the constant
part of a target response time."""

AGE_ALLOWANCE_SECONDS = 0.07
"""Age of a submission that is not due to the scheduler: the sender knows its clock from heartbeats,
which are delayed by the links and by the event loop of the sender."""

SMOOTHING_WEIGHT = 0.25
"""Weight of a sample; heartbeats give one each 0.15 s, so the mean covers half a second."""

SUSTAINED_SECONDS = 1.0
"""Time for which the mean must stay above the limit: single stalls end sooner, and relief itself
costs about half a second."""


@attrs.define
class LagMeter:
    """Exponentially weighted mean of the lag, and since when it is too high.

    Parameters
    ----------
    mean_seconds : float
        Mean lag.
    high_since : float
        Time since which the mean has been above the limit, in seconds; infinite if it is not.
    ages : list of float
        Ages of the submissions since the latest sample, in seconds.

    Examples
    --------
    >>> meter = LagMeter()
    >>> for number in range(12):
    ...     meter.record(0.1, 0.15 * number)
    >>> meter.is_overloaded(1.0), meter.is_overloaded(1.7)
    (False, True)
    >>> meter.reset()
    >>> meter.is_overloaded(9.0)
    False
    """

    mean_seconds: float = 0.0
    high_since: float = float("inf")
    ages: list[float] = attrs.field(factory=list)

    def record_submission(self, age_seconds: float) -> None:
        """Add how long ago a submission was sent that is read now."""
        self.ages.append(age_seconds)

    def record(self, lag_seconds: float, now: float) -> None:
        """Add how late a timer has fired, and the submissions that were read since the last one."""
        if self.ages:
            mean_age = sum(self.ages) / len(self.ages)
            lag_seconds = max(lag_seconds, mean_age - AGE_ALLOWANCE_SECONDS)
            self.ages.clear()
        self.mean_seconds += SMOOTHING_WEIGHT * (lag_seconds - self.mean_seconds)
        if self.mean_seconds <= LAG_LIMIT_SECONDS:
            self.high_since = float("inf")
        else:
            self.high_since = min(self.high_since, now)

    def is_overloaded(self, now: float) -> bool:
        """Return whether the lag has been too high for a sustained time."""
        return now - self.high_since >= SUSTAINED_SECONDS

    def reset(self) -> None:
        """Forget the samples, because the load of this instance changes."""
        self.mean_seconds, self.high_since = 0.0, float("inf")
