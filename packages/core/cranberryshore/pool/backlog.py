"""Expected wait of the jobs in the queue of a service.

When workers are lost or callers arrive in a burst, more work arrives than the remaining workers
can do. Jobs that have missed their latest start are placed after all others, so new arrivals take
the capacity before them, and most of them would wait until their answers are useless. Their wait
follows from the work ahead of them and the capacity that new arrivals leave, so they can be
refused while their callers can still turn elsewhere or come back.
"""

from collections.abc import Iterable, Mapping
from math import exp

import attrs

from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.evacuation import WarmUps
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.work import ANSWER_LATENCY_SECONDS, PoolJob, TaskPhase

ARRIVAL_SECONDS = 1.0
"""Time constant of the mean rate of arriving work; load bursts last one to four seconds."""

PACKING_SHARE = 0.85
"""Share of the capacity of a worker that tasks fill, of which two or three fit on it."""


PRECEDING_SHARE = 0.6
"""Share of the arriving work that is placed before a job that has missed its latest start; replayed
overloads earn the most between 0.5 and 0.85."""


@attrs.define
class ServiceLoad:
    """Load of a service, in core seconds and seconds.

    Parameters
    ----------
    capacity : float
        Cores that can be used now.
    arrival_rate : float
        Core seconds of work that arrive in a second.
    """

    capacity: float = 0.0
    arrival_rate: float = 0.0
    updated_at: float = float("-inf")

    def record_arrival(self, work: float, now: float) -> None:
        """Add the work of a job that has just arrived."""
        self._decay(now)
        self.arrival_rate += work / ARRIVAL_SECONDS

    def wait_seconds(self, work_ahead: float, now: float) -> float:
        """Return how long the work ahead of a job takes beside that of new arrivals.

        Examples
        --------
        >>> load = ServiceLoad(capacity=10.0)
        >>> load.wait_seconds(5.0, 0.0)
        0.5
        >>> load.record_arrival(5.0, 0.0)
        >>> round(load.wait_seconds(5.0, 0.0), 2)
        0.71
        """
        self._decay(now)
        spare = self.capacity - PRECEDING_SHARE * self.arrival_rate
        if work_ahead <= 0:
            return 0.0
        return work_ahead / spare if spare > 0 else float("inf")

    def _decay(self, now: float) -> None:
        self.arrival_rate *= exp(min(self.updated_at - now, 0.0) / ARRIVAL_SECONDS)
        self.updated_at = now


def is_hopeless(
    job: PoolJob, expected_seconds: float, load: ServiceLoad, work_ahead: float, now: float
) -> bool:
    """Return whether a job misses its target, and its answer would be useless when it comes.

    Parameters
    ----------
    job : PoolJob
        Waiting job, none of whose tasks has been started.
    expected_seconds : float
        Expected run time of the job.
    load : ServiceLoad
        Load of the service.
    work_ahead : float
        Core seconds of the jobs that are placed before it.
    now : float
        Present time in seconds.
    """
    if load.capacity <= 0 or now + work_ahead / load.capacity <= job.latest_start_at:
        return False
    start_at = now + load.wait_seconds(work_ahead, now)
    last_useful_end = min(job.useless_at, job.deadline_at)
    return start_at + expected_seconds + ANSWER_LATENCY_SECONDS > last_useful_end


@attrs.define(eq=False)
class Backlog:
    """Load of the services of a scheduler.

    Parameters
    ----------
    workers : mapping
        Held workers by name, maintained by the scheduler.
    """

    workers: Mapping[str, HeldWorker]
    statistics: RunStatistics
    crashes: CrashHistory
    warm_ups: WarmUps = attrs.field(factory=WarmUps)
    loads: dict[str, ServiceLoad] = attrs.field(factory=dict)

    def record_arrival(self, job: PoolJob, service: str, now: float) -> None:
        """Record that a job has been submitted."""
        load = self.loads.setdefault(service, ServiceLoad())
        load.record_arrival(self.waiting_work(job), now)

    def find_hopeless_jobs(
        self, waiting: Iterable[PoolJob], config: PoolConfig, now: float
    ) -> list[PoolJob]:
        """Return the jobs that cannot be answered in time, of those that wait, in their order."""
        hopeless = []
        work_ahead: dict[str, float] = {}
        for job in waiting:
            queue = job.queue_in(config)
            if queue is None:
                continue
            load = self.loads.setdefault(queue.service, ServiceLoad())
            if queue.service not in work_ahead:
                work_ahead[queue.service] = 0.0
                load.capacity = self.usable_cores(queue.service)
            work = work_ahead[queue.service]
            expected = self.statistics.expected_seconds(job)
            is_new = not job.has_started and job.delayed_until <= now
            if is_new and is_hopeless(job, expected, load, work, now):
                hopeless.append(job)
            else:
                work_ahead[queue.service] += self._work(job, expected)
        return hopeless

    def usable_cores(self, service: str) -> float:
        """Return the cores that tasks can use on the available workers of a service."""
        total = sum(
            worker.total.millicores * self.warm_ups.share(worker.name)
            for worker in self.workers.values()
            if worker.service == service and worker.is_available()
        )
        return PACKING_SHARE * total / 1000

    def waiting_work(self, job: PoolJob) -> float:
        """Return the core seconds of the waiting tasks of a job, apart from suspects."""
        return self._work(job, self.statistics.expected_seconds(job))

    def _work(self, job: PoolJob, expected_seconds: float) -> float:
        has_suspects = bool(self.crashes.entries)
        millicores = sum(
            job.step_of(task).demand.millicores
            for task in job.tasks
            if task.phase is TaskPhase.WAITING
            and not (has_suspects and self.crashes.is_suspect(job.name_of(task)))
        )
        return millicores / 1000 * expected_seconds
