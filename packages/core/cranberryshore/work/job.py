"""Job aggregate: the states of its tasks and its outcome."""

from enum import Enum

import attrs

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.work.task import JobRequest, TaskSpec


class TaskState(Enum):
    """State of a task in the instance that issued its job."""

    WAITING = "waiting"
    STARTED = "started"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"


class JobState(Enum):
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


@attrs.frozen
class TaskResult:
    """A worker's report of one ended task.

    ``is_stopped`` is true if the task ended because its owner stopped it.
    """

    index: int
    is_ok: bool
    output: str = ""
    run_ms: int = 0
    is_stopped: bool = False


@attrs.define
class Job:
    """An accepted submission.

    Each task runs at most once: it changes from ``WAITING`` to ``STARTED``, and back only if the
    worker has not run it (it refused the task or never received it). The outcome is set once.

    Parameters
    ----------
    caller : str
        Name of the only caller that may receive the answer.
    accepted_at, settled_at : float
        Times of acceptance and of the final outcome, in seconds on the issuer's clock.
    workers : dict
        Worker of each started task without a result, by task index.
    outputs : list of str or None
        Output of each task, by task index; empty once the job has failed.
    waiting : list of int
        Indexes of the waiting tasks; the last one is started next.
    """

    id: SubmissionId
    caller: str
    request: JobRequest
    accepted_at: float
    states: list[TaskState] = attrs.field(init=False)
    workers: dict[int, str] = attrs.field(init=False, factory=dict)
    outputs: list[str | None] = attrs.field(init=False)
    done_count: int = 0
    waiting: list[int] = attrs.field(init=False)
    failure: Refusal | None = None
    settled_at: float | None = None

    def __attrs_post_init__(self) -> None:
        count = len(self.request.tasks)
        self.states = [TaskState.WAITING] * count
        self.outputs = [None] * count
        self.waiting = list(range(count - 1, -1, -1))

    @property
    def is_settled(self) -> bool:
        """Return whether the job has its final outcome."""
        return self.settled_at is not None

    @property
    def is_complete(self) -> bool:
        """Return whether every task has finished successfully."""
        return self.is_settled and self.failure is None

    @property
    def state(self) -> JobState:
        """Return the state reported to the caller."""
        if self.is_settled:
            return JobState.COMPLETE if self.failure is None else JobState.FAILED
        return JobState.RUNNING if self.workers or self.done_count else JobState.QUEUED

    @property
    def has_started(self) -> bool:
        """Return whether any task may have been started."""
        return any(state is not TaskState.WAITING for state in self.states)

    def start_tasks(self, count: int, worker: str) -> list[int]:
        """Mark up to ``count`` waiting tasks as started on ``worker``; return their indexes."""
        if self.is_settled:
            return []
        indexes = [self.waiting.pop() for _ in range(min(count, len(self.waiting)))]
        for index in indexes:
            self.states[index] = TaskState.STARTED
            self.workers[index] = worker
        return indexes

    def requeue(self, index: int) -> bool:
        """Queue a started task again that was not run; return whether it waits again."""
        if self.is_settled or self.states[index] is not TaskState.STARTED:
            return False
        self.states[index] = TaskState.WAITING
        self.workers.pop(index, None)
        self.waiting.append(index)
        return True

    def finish(self, result: TaskResult, now: float) -> bool:
        """Record the result of a task; return whether its state was ``STARTED``.

        A failed task fails the whole job.
        """
        if self.states[result.index] is not TaskState.STARTED:
            return False
        self.workers.pop(result.index, None)
        if result.is_stopped:
            self.states[result.index] = TaskState.STOPPED
            return True
        if not result.is_ok:
            self.states[result.index] = TaskState.FAILED
            detail = f"Task {result.index} ran and failed: {result.output[:200]}"
            self.fail(Refusal(ErrorType.TASK_FAILED, ExecutionStatus.RAN_AND_FAILED, detail), now)
            return True
        self.states[result.index] = TaskState.DONE
        if self.is_settled:
            return True
        self.outputs[result.index] = result.output
        self.done_count += 1
        if self.done_count == len(self.states):
            self.settled_at = now
        return True

    def mark_lost(self, index: int, failure: Refusal, now: float) -> None:
        """Record that the result of a started task is unknown, which fails the job."""
        self.states[index] = TaskState.LOST
        self.workers.pop(index, None)
        self.fail(failure, now)

    def fail(self, failure: Refusal, now: float) -> None:
        """Settle the job as failed unless it is already settled."""
        if self.is_settled:
            return
        self.failure = failure
        self.settled_at = now
        self.outputs.clear()

    def next_batch(self, limit: int) -> tuple[TaskSpec, int]:
        """Return the next waiting task and how many waiting tasks in a row share its demand."""
        spec = self.request.tasks[self.waiting[-1]]
        count = 0
        for index in reversed(self.waiting):
            if count == limit or self.request.tasks[index].demand != spec.demand:
                break
            count += 1
        return spec, count

    def compact(self) -> None:
        """Free the task specifications of a settled job without running tasks."""
        if self.is_settled and not self.workers:
            self.request = attrs.evolve(self.request, tasks=())
            self.waiting = []

    def running_by_worker(self) -> dict[str, list[int]]:
        """Return the indexes of started tasks without a result, by worker."""
        grouped: dict[str, list[int]] = {}
        for index, worker in self.workers.items():
            grouped.setdefault(worker, []).append(index)
        return grouped
