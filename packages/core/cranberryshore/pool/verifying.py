"""Verification that no run of a resumed job is active before the job is started.

When a scheduler leaves or dies, tens of entry instances hand over hundreds of jobs within some tens
of milliseconds to a scheduler that has just taken over hundreds of workers. A job may start once
every worker on which it may have been started has reported, after the arrival of the job, that no
run of it is active: a worker that has answered with the token of this scheduler accepts no order of
an earlier one. One round of status polls verifies all jobs that arrived before it; a round for each
job would need tens of thousands of polls.
"""

from collections.abc import Collection, Mapping

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.refusing import VERIFICATION_SECONDS
from cranberryshore.pool.work import PoolJob

ROUND_INTERVAL_SECONDS = 0.1
"""Interval between poll rounds: less than a tenth of ``RESUMED_JOB_WAIT_SECONDS``, for which a job
waits if a worker does not respond."""


@attrs.define
class Verification:
    """Scheduling of poll rounds for resumed jobs.

    Parameters
    ----------
    requested_at : float
        Arrival time of the latest of these jobs, in seconds.
    """

    requested_at: float = float("-inf")
    last_round_at: float = float("-inf")

    def request(self, now: float) -> None:
        """Request a round for a resumed job that has just arrived."""
        self.requested_at = now

    def start_round(self, workers: Collection[HeldWorker], now: float) -> list[str]:
        """Start a round if one is due and return the names of the workers to poll.

        Rounds are repeated for some time, since single polls are lost.

        Examples
        --------
        >>> Verification().start_round([], 1.0)
        []
        """
        is_due = self.requested_at > self.last_round_at
        is_due |= now < self.requested_at + VERIFICATION_SECONDS
        if not is_due or now < self.last_round_at + ROUND_INTERVAL_SECONDS:
            return []
        self.last_round_at = now
        return [worker.name for worker in workers if worker.polled_at < self.requested_at]


@attrs.define(eq=False)
class ResumedJobs:
    """Jobs that start when no run of an earlier scheduler can be active.

    A job may start when all workers that may have runs of it have been polled since its arrival,
    or at its ``delayed_until``. Most jobs share their set of workers, so one worker that has not
    been polled yet shows for all of them that they cannot start.

    Parameters
    ----------
    groups : dict
        Jobs by the workers that may have runs of them, in the order of their arrival.
    blockers : dict
        For each of these sets, a worker that had not been polled at the last check.
    """

    groups: dict[frozenset[str] | None, dict[PoolJob, None]] = attrs.field(factory=dict)
    blockers: dict[frozenset[str], str] = attrs.field(factory=dict)

    def add(self, job: PoolJob) -> None:
        """Add a job that has just arrived."""
        self.groups.setdefault(job.exposed_workers, {})[job] = None

    def remove(self, job: PoolJob) -> None:
        """Remove a job that has ended, may start, or is about to arrive again."""
        group = self.groups.get(job.exposed_workers)
        if group is None or job not in group:
            return
        del group[job]
        if not group:
            del self.groups[job.exposed_workers]
            self.blockers.pop(job.exposed_workers, None)

    def release(
        self, workers: Mapping[str, HeldWorker], has_strangers: bool, now: float
    ) -> list[PoolJob]:
        """Remove and return the jobs that may start.

        No job is verified while any worker has runs of another scheduler (``has_strangers``): these
        runs are about to be adopted or stopped, and their tasks are not started beside them.
        """
        released = []
        for names, group in list(self.groups.items()):
            polled_at = float("-inf")
            if names is not None and not has_strangers:
                polled_at = self._earliest_poll(names, group, workers)
            for job in list(group):
                if job.received_at > polled_at and job.delayed_until > now:
                    break
                released.append(job)
                self.remove(job)
        return released

    def _earliest_poll(
        self, names: frozenset[str], group: dict[PoolJob, None], workers: Mapping[str, HeldWorker]
    ) -> float:
        """Return the time since when all of some workers have been polled.

        ``-inf`` also stands for a time before the arrival of all jobs of the group.
        """
        blocker = workers.get(self.blockers.get(names, ""))
        if blocker is not None and blocker.polled_at < next(iter(group)).received_at:
            return float("-inf")
        if not names:
            return float("inf")
        # Workers respond in any order, so the choice among those that have not must not follow one.
        blocker = min(names, key=lambda name: _polled_at(workers.get(name)))
        self.blockers[names] = blocker
        return _polled_at(workers.get(blocker))


def _polled_at(worker: HeldWorker | None) -> float:
    return float("-inf") if worker is None else worker.polled_at
