"""When a job that another scheduler may have started can be started here.

Load pattern answered: a scheduler leaves or dies while tens of entry instances hold hundreds of
jobs, and all hand them over within some tens of milliseconds to a scheduler that has just taken
over hundreds of workers. A job may start once every worker has said, after the job arrived, that
nothing of it runs there. One round of looks answers that for all jobs that have arrived before it;
a round for each job would be tens of thousands of looks.
"""

from collections.abc import Collection, Iterable

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.refusing import RESUMED_WAIT_SECONDS
from cranberryshore.pool.work import PoolJob

ROUND_SECONDS = 0.1
"""Time between two rounds of looks: a tenth of what jobs wait where a worker does not answer."""


@attrs.define
class Verification:
    """Rounds of looks for jobs that were handed over.

    Parameters
    ----------
    wanted_at : float
        When the latest of these jobs arrived, in seconds.
    asked_at : float
        When the last round was asked for, in seconds.
    """

    wanted_at: float = float("-inf")
    asked_at: float = float("-inf")

    def want(self, now: float) -> None:
        """Record that a job was handed over."""
        self.wanted_at = now

    def due(self, workers: Collection[HeldWorker], now: float) -> list[str]:
        """Begin a round if one is due; return the workers that are to be looked at.

        Examples
        --------
        >>> Verification().due([], 1.0)
        []
        """
        if self.wanted_at <= self.asked_at or now < self.asked_at + ROUND_SECONDS:
            return []
        self.asked_at = now
        return [worker.name for worker in workers if worker.looked_at <= self.wanted_at]


def release_verified(jobs: Iterable[PoolJob], workers: Collection[HeldWorker], now: float) -> None:
    """Hold back jobs no longer for which every worker has answered a look since they arrived.

    A worker on which runs of somebody else are left has not answered yet.
    """
    held_back = [job for job in jobs if job.held_back_until > now]
    if not held_back or any(worker.strangers for worker in workers):
        return
    verified_until = min((worker.looked_at for worker in workers), default=float("inf"))
    for job in held_back:
        if job.held_back_until - RESUMED_WAIT_SECONDS <= verified_until:
            job.held_back_until = 0.0
