"""Runs that take long because of their task, not because of their worker.

A run that takes three times as long as expected is stopped and its task started elsewhere. That
helps if its worker hangs. If the task itself is long (one in 33 takes seven times as long as the
others of its job), the task takes as long elsewhere, is stopped there as well, and has taken 16
times the expected time in the end. Which is the case is learned from the tasks that were started
again.
"""

from math import exp

import attrs

from cranberryshore.pool.run import RunEnd
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_status import EndKind

LONG_RATIO = 2.0
"""Run time over the expected one of a long task that is started again: between 1 and 7."""

MAX_LONG_RATIO = 10.0
"""Run time over the expected one up to which a long task may run: 7 and a deviation of 40 %."""

MIN_EVIDENCE = 4.0
"""Weight of restarted tasks below which nothing is assumed."""

MIN_LONG_SHARE = 0.5
"""Share of long ones among the restarted tasks above which a stop does more harm than good."""

EVIDENCE_SECONDS = 30.0
"""Time constant with which evidence is forgotten: without stops, none is gained."""

RECENT_SECONDS = 1.0
"""Time before the start of a run in which its worker must have ended another one normally; under
load, a worker ends some 8 runs a second."""


@attrs.define(eq=False)
class LongTasks:
    """Whether tasks that take much longer than expected do so on every worker.

    Parameters
    ----------
    long_weight, normal_weight : float
        Numbers of restarted tasks that were long again, and of others, weighted by their age.
    normal_end_at : dict
        Time of the latest run of each worker that took about as long as expected.
    """

    long_weight: float = 0.0
    normal_weight: float = 0.0
    updated_at: float = 0.0
    normal_end_at: dict[str, float] = attrs.field(factory=dict)

    def run_ended(
        self, worker: str, end: RunEnd, job: PoolJob, task: PoolTask, ratio: float, now: float
    ) -> None:
        """Record a run; ``ratio`` is its time over that expected on its worker."""
        is_done = end.kind is EndKind.DONE
        if is_done and ratio < LONG_RATIO:
            self.normal_end_at[worker] = now
        is_stopped_again = end.kind is EndKind.STOPPED and task.stragglers > 1 and not job.is_ended
        if is_stopped_again or (is_done and task.stragglers and ratio >= LONG_RATIO):
            self._add(1.0, 0.0, now)
        elif is_done and task.stragglers:
            self._add(0.0, 1.0, now)

    def _add(self, long: float, normal: float, now: float) -> None:
        decay = self._decay(now)
        self.long_weight = self.long_weight * decay + long
        self.normal_weight = self.normal_weight * decay + normal
        self.updated_at = now

    def _decay(self, now: float) -> float:
        return exp(min(self.updated_at - now, 0.0) / EVIDENCE_SECONDS)

    def are_usual(self, now: float) -> bool:
        """Return whether most tasks that take too long are long on every worker."""
        total = self.long_weight + self.normal_weight
        if total * self._decay(now) < MIN_EVIDENCE:
            return False
        return self.long_weight > MIN_LONG_SHARE * total

    def may_continue(self, ratio: float, now: float) -> bool:
        """Return whether a run that takes too long on a sound worker has probably a long task."""
        return ratio <= MAX_LONG_RATIO and self.are_usual(now)

    def is_sound(self, worker: str, started_at: float) -> bool:
        """Return whether a worker has ended runs normally shortly before one started, or since."""
        normal_end_at = self.normal_end_at.get(worker, float("-inf"))
        return normal_end_at >= started_at - RECENT_SECONDS
