"""Admission control: refuses jobs that cannot run, or that would wait too long."""

import attrs

from cranberryshore.dispatch.workers import WorkerSet
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.settings.dispatch import DispatchSettings
from cranberryshore.work.capacity import ZERO_CAPACITY, Capacity
from cranberryshore.work.job import Job

EWMA_WEIGHT = 0.02
MIN_RETRY_AFTER_MS = 50


@attrs.frozen
class WaitingWork:
    """Totals over the waiting tasks; ``millicore_ms`` sums millicores times declared run time."""

    task_count: int
    millicore_ms: float


def _refuse(type: ErrorType, detail: str, retry_after_ms: int | None = None) -> Refusal:
    return Refusal(type, ExecutionStatus.NOT_RUN, detail, retry_after_ms)


@attrs.define
class Admission:
    """Decides whether a job is accepted.

    Declared run times are scaled by an exponentially weighted moving average of the ratio of
    measured to declared run time.
    """

    settings: DispatchSettings
    workers: WorkerSet
    run_time_ratio: float = 1.0

    def on_result(self, run_ms: float, expected_ms: float) -> None:
        """Update the ratio of measured to declared run time."""
        ratio = run_ms / max(expected_ms, 1.0)
        self.run_time_ratio += EWMA_WEIGHT * (ratio - self.run_time_ratio)

    def refusal(self, job: Job, waiting: WaitingWork, now: float) -> Refusal | None:
        """Return the reason to refuse a job, or ``None`` if it is accepted."""
        fault = self._capacity_refusal(job)
        if fault is not None:
            return fault
        count = len(job.request.tasks)
        wait_ms = self.wait_ms(waiting)
        if waiting.task_count + count > self.settings.queued_tasks:
            detail = f"{waiting.task_count} tasks wait already."
            return _refuse(ErrorType.QUEUE_FULL, detail, max(int(wait_ms / 2), MIN_RETRY_AFTER_MS))
        if wait_ms > self.settings.longest_wait_ms:
            detail = f"The wait is about {wait_ms:.0f} ms."
            excess_ms = wait_ms - self.settings.longest_wait_ms
            return _refuse(ErrorType.QUEUE_FULL, detail, max(int(excess_ms), MIN_RETRY_AFTER_MS))
        return self._deadline_refusal(job, wait_ms)

    def wait_ms(self, waiting: WaitingWork) -> float:
        """Estimate the queueing delay of a newly accepted job in milliseconds."""
        room = self.capacity().millicores
        return waiting.millicore_ms * self.run_time_ratio / room if room else 0.0

    def capacity(self) -> Capacity:
        """Return the total capacity of the open workers assigned to this instance."""
        total = ZERO_CAPACITY
        for member in self.workers.pool.members.values():
            if member.is_open and member.is_assigned:
                total = total + member.total
        return total

    def _capacity_refusal(self, job: Job) -> Refusal | None:
        if not self.workers.pool.members:
            detail = "No worker of this zone is known yet."
            return _refuse(ErrorType.NO_WORKER, detail, 1000)
        demands = {task.demand for task in job.request.tasks}
        for demand in demands:
            if not self.workers.pool.can_ever_hold(demand):
                detail = f"No worker of this zone is large enough for {_format_demand(demand)}."
                return _refuse(ErrorType.NEVER_FITS, detail)
        return None

    def _deadline_refusal(self, job: Job, wait_ms: float) -> Refusal | None:
        deadline_ms = job.request.deadline_ms
        if deadline_ms is None:
            return None
        longest_ms = max(task.expected_ms for task in job.request.tasks)
        needed_ms = wait_ms + longest_ms * self.run_time_ratio
        if needed_ms <= deadline_ms:
            return None
        detail = f"The job needs about {needed_ms:.0f} ms and its deadline is {deadline_ms} ms."
        return _refuse(ErrorType.DEADLINE_UNMEETABLE, detail, max(int(wait_ms), MIN_RETRY_AFTER_MS))


def _format_demand(demand: Capacity) -> str:
    return (
        f"{demand.millicores} millicores, {demand.memory_mb} MB "
        f"and {demand.accelerators} accelerators"
    )
