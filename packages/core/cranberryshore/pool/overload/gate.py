"""Admission of new jobs at an entry instance while its scheduler is overloaded.

Designed for bursts in which an entry instance gets several times as many jobs as its credit allows.
Refusing a job here costs one response, refusing it at the scheduler two messages of the process
that is short of time. Since nothing waits at the gate, the last part of the credit is kept for the
most valuable jobs: the fuller it is, the higher a job must rank among those that arrived lately.
"""

from collections import deque
from zlib import crc32

import attrs

from cranberryshore.pool.config import QueueSpec
from cranberryshore.pool.overload.load_report import LoadReport
from cranberryshore.pool.work import WorkRequest

OPEN_SHARE = 0.7
"""Share of the credit that any job may use; above it, the required rank rises linearly. With half,
a simulated burst completed 580 jobs instead of 617."""

REMEMBERED_JOBS = 64
"""Latest jobs that a new one is compared with: some tenths of a second in an overload."""

BASE_VALUE = 0.3
"""Part of the value of a response that does not depend on the work of the job."""

WORK_VALUE = 0.7
"""Part of the value of a response per work relative to the mean of its kind."""

MEAN_WEIGHT = 0.02
"""Weight of a new job in the mean work of its kind: the mean of about the last 50."""

MAX_KINDS = 1000
"""Queues whose mean work is kept; configurations have some tens."""

MIN_RETRY_MS = 500
"""Shortest delay of a retry, in milliseconds: an overload does not end sooner."""


@attrs.define(eq=False)
class EntryGate:
    """Decides which new jobs are submitted to an overloaded scheduler.

    Parameters
    ----------
    mean_work : dict
        Mean work of the jobs by queue, in core milliseconds.
    recent : deque
        Ranks of the latest jobs, admitted or not.
    """

    mean_work: dict[str, float] = attrs.field(factory=dict)
    recent: deque[tuple[bool, float]] = attrs.field(factory=lambda: deque(maxlen=REMEMBERED_JOBS))

    def admits(
        self, request: WorkRequest, queue: QueueSpec, report: LoadReport | None, in_flight: int
    ) -> bool:
        """Return whether a new job is submitted.

        Parameters
        ----------
        request : WorkRequest
            The job.
        queue : QueueSpec
            Its queue.
        report : LoadReport or None
            Latest report of the scheduler, ``None`` if it keeps up or does not tell.
        in_flight : int
            Jobs of this instance that are submitted and not ended.
        """
        rank = self._rank(request, queue, report.delay_ms if report is not None else 0)
        self.recent.append(rank)
        if report is None:
            return True
        if in_flight >= report.credit:
            return False
        used = in_flight / report.credit
        required = max(used - OPEN_SHARE, 0.0) / (1 - OPEN_SHARE)
        lower = sum(other < rank for other in self.recent)
        equal = sum(other == rank for other in self.recent)
        return lower + equal > required * len(self.recent)

    def _rank(self, request: WorkRequest, queue: QueueSpec, delay_ms: int) -> tuple[bool, float]:
        """Return whether a job can meet its target, and its value by the work of the scheduler.

        What is scarce is the time of the scheduler, which is spent on the job and on each task.
        """
        work = sum(
            step.count * step.demand.millicores * step.estimate_ms / 1000 for step in request.steps
        )
        if queue.name not in self.mean_work and len(self.mean_work) >= MAX_KINDS:
            self.mean_work.clear()
        mean = self.mean_work.setdefault(queue.name, work)
        self.mean_work[queue.name] = mean + MEAN_WEIGHT * (work - mean)
        value = BASE_VALUE + WORK_VALUE * (work / mean if mean > 0 else 1.0)
        tasks = sum(step.count for step in request.steps)
        run_ms = request.steps[0].estimate_ms
        meets_target = delay_ms + run_ms <= queue.response_target_ms(run_ms)
        return meets_target, value / (1 + tasks)


def spread_retry_ms(job_id: str, over_ms: int) -> int:
    """Return the delay after which the caller of a refused job should retry, in milliseconds.

    The delays of different jobs are spread evenly over ``over_ms``; that of one job is always the
    same, so that it can be computed again from the log.

    Examples
    --------
    >>> spread_retry_ms("a", 1000) == spread_retry_ms("a", 1000)
    True
    >>> all(500 <= spread_retry_ms(str(number), 2000) < 2500 for number in range(100))
    True
    """
    return MIN_RETRY_MS + int(over_ms * crc32(job_id.encode()) / 2**32)
