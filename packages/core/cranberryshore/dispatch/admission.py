"""Acceptance of jobs: refused at once where waiting could not help."""

import attrs

from cranberryshore.dispatch.settings import DispatchSettings
from cranberryshore.dispatch.workers import WorkerSet
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.work.capacity import NOTHING, Capacity
from cranberryshore.work.job import Job

SMOOTHING = 0.02
SHORTEST_RETRY_MS = 50


@attrs.frozen
class WaitingWork:
    """Sum over the tasks that wait for room."""

    task_count: int
    millicore_ms: float


def _refuse(type: ErrorType, detail: str, retry_after_ms: int | None = None) -> Refusal:
    return Refusal(type, ExecutionStatus.NOT_RUN, detail, retry_after_ms)


@attrs.define
class Admission:
    """Decides whether a job is accepted.

    Declared run times are corrected by the mean ratio of real to declared times seen so far.
    """

    settings: DispatchSettings
    workers: WorkerSet
    run_ratio: float = 1.0

    def on_result(self, run_ms: float, expected_ms: float) -> None:
        """Learn how far declared run times are off."""
        ratio = run_ms / max(expected_ms, 1.0)
        self.run_ratio += SMOOTHING * (ratio - self.run_ratio)

    def refusal(self, job: Job, waiting: WaitingWork, now: float) -> Refusal | None:
        """Return why a job cannot be accepted, or ``None``."""
        fault = self._fit_refusal(job)
        if fault is not None:
            return fault
        count = len(job.request.tasks)
        wait_ms = self.wait_ms(waiting)
        if waiting.task_count + count > self.settings.queued_tasks:
            detail = f"{waiting.task_count} tasks wait already."
            return _refuse(ErrorType.QUEUE_FULL, detail, max(int(wait_ms / 2), SHORTEST_RETRY_MS))
        if wait_ms > self.settings.longest_wait_ms:
            detail = f"The wait is about {wait_ms:.0f} ms."
            excess = wait_ms - self.settings.longest_wait_ms
            return _refuse(ErrorType.QUEUE_FULL, detail, max(int(excess), SHORTEST_RETRY_MS))
        return self._deadline_refusal(job, wait_ms)

    def wait_ms(self, waiting: WaitingWork) -> float:
        """Estimate how long newly accepted work waits, in milliseconds."""
        room = self.capacity().millicores
        return waiting.millicore_ms * self.run_ratio / room if room else 0.0

    def capacity(self) -> Capacity:
        """Return the total of the open workers assigned to this instance."""
        total = NOTHING
        for member in self.workers.pool.members.values():
            if member.is_open and member.is_assigned:
                total = total + member.total
        return total

    def _fit_refusal(self, job: Job) -> Refusal | None:
        if not self.workers.pool.members:
            detail = "No worker of this zone is known yet."
            return _refuse(ErrorType.NO_WORKER, detail, 1000)
        demands = {task.demand for task in job.request.tasks}
        for demand in demands:
            if not self.workers.pool.can_ever_hold(demand):
                detail = f"No worker of this zone is large enough for {_shown(demand)}."
                return _refuse(ErrorType.NEVER_FITS, detail)
        return None

    def _deadline_refusal(self, job: Job, wait_ms: float) -> Refusal | None:
        deadline_ms = job.request.deadline_ms
        if deadline_ms is None:
            return None
        longest = max(task.expected_ms for task in job.request.tasks)
        needed = wait_ms + longest * self.run_ratio
        if needed <= deadline_ms:
            return None
        detail = f"The job needs about {needed:.0f} ms and its deadline is {deadline_ms} ms."
        return _refuse(ErrorType.DEADLINE_UNMEETABLE, detail, max(int(wait_ms), SHORTEST_RETRY_MS))


def _shown(demand: Capacity) -> str:
    return (
        f"{demand.millicores} millicores, {demand.memory_mb} MB "
        f"and {demand.accelerators} accelerators"
    )
