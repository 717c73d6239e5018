"""Runs beside each run of a worker, by queue, over time."""

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run import RunEnd
from cranberryshore.pool.worker_status import RunKey


@attrs.define
class Presence:
    """Number of runs of a queue on a worker.

    Parameters
    ----------
    run_seconds : float
        Time integral of ``count`` up to ``updated_at``, in run-seconds.
    """

    count: int = 0
    run_seconds: float = 0.0
    updated_at: float = 0.0

    def add(self, difference: int, now: float) -> None:
        """Change the number of runs."""
        self.run_seconds += self.count * (now - self.updated_at)
        self.updated_at = now
        self.count += difference

    def integral(self, now: float) -> float:
        """Return the time integral of the number of runs.

        Examples
        --------
        >>> Presence(2, 1.0, 10.0).integral(13.0)
        7.0
        """
        return self.run_seconds + self.count * (now - self.updated_at)


@attrs.define(eq=False)
class Begun:
    """State of a worker at the start of one of its runs.

    Parameters
    ----------
    counts : dict
        Other runs on the worker at the start, by queue.
    run_seconds : dict
        Time integrals of the numbers of runs, by queue.
    """

    at: float
    counts: dict[str, int]
    run_seconds: dict[str, float]


@attrs.define(eq=False)
class Exposure:
    """Runs beside an ended run.

    Parameters
    ----------
    initial : dict
        Number at the start of the run, by queue.
    mean : dict
        Time-weighted mean number, by queue.
    """

    initial: dict[str, int]
    mean: dict[str, float]


@attrs.define(eq=False)
class WorkerRuns:
    """Known runs of one worker.

    The cost of a start or an end grows with the number of queues that had runs since the worker
    was last idle, and not with the number of runs.

    Parameters
    ----------
    begun : dict
        State at the start of the runs that are sampled.
    known_count : int
        Number of runs that this scheduler has started.
    unclear_at : float
        Latest time at which the worker had runs that this scheduler has not started.
    """

    begun: dict[RunKey, Begun] = attrs.field(factory=dict)
    known_count: int = 0
    queues: dict[str, Presence] = attrs.field(factory=dict)
    unclear_at: float = float("-inf")

    def run_started(
        self, worker: HeldWorker, key: RunKey, queue: str, is_sampled: bool, now: float
    ) -> None:
        """Record a run that was just added to the worker."""
        if len(worker.runs) == 1:
            self.begun.clear()
            self.queues.clear()
            self.known_count = 0
        if is_sampled:
            counts = {name: item.count for name, item in self.queues.items() if item.count}
            integrals = {name: item.integral(now) for name, item in self.queues.items()}
            self.begun[key] = Begun(now, counts, integrals)
        presence = self.queues.get(queue)
        if presence is None:
            presence = self.queues[queue] = Presence(updated_at=now)
        presence.add(1, now)
        self.known_count += 1
        if len(worker.runs) > self.known_count:
            self.unclear_at = now

    def run_ended(self, worker: HeldWorker, end: RunEnd, queue: str, now: float) -> Exposure | None:
        """Record a run that was removed from the worker; return what was beside it if known."""
        if end.run.is_adopted:
            self.unclear_at = now
            return None
        self.known_count -= 1
        if queue in self.queues:
            self.queues[queue].add(-1, now)
        # Ends of one report are removed together, so the worker may have fewer runs than are known.
        if len(worker.runs) > self.known_count:
            self.unclear_at = now
        begun = self.begun.pop(end.key, None)
        if begun is None:
            return None
        seconds = now - begun.at
        if begun.at <= self.unclear_at or seconds <= 0.0:
            return None
        mean = {}
        for name, item in self.queues.items():
            own = seconds if name == queue else 0.0
            mean[name] = (item.integral(now) - begun.run_seconds.get(name, 0.0) - own) / seconds
        return Exposure(begun.counts, mean)
