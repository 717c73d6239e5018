"""Jobs whose tasks may be attempted several times, as the scheduler of a pool sees them."""

from enum import Enum

import attrs

from cranberryshore.pool.config import MAX_LATENESS_FACTOR, QueueSpec
from cranberryshore.work.capacity import Capacity

ANSWER_SECONDS = 0.01
"""Time that the answer needs on its way to the caller: two hops of 3 ms and some work."""

OCCURRENCE = 0
"""Jobs run once here; repeated ones would be numbered."""


class TaskPhase(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class Outcome(Enum):
    """How a job ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"
    DROPPED = "dropped"


@attrs.frozen
class StepSpec:
    """Equal tasks of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Capacity
        What one task holds while it runs.
    estimate_ms : int
        The caller's rough estimate of one task's run time; often off by 40 %.
    after : tuple of int
        Earlier steps whose tasks must all have ended well before one of this step starts.
    label : str
        Label that the worker must carry; empty for any.
    max_per_worker : int
        At most so many tasks of the step on one worker; 0 for any number.
    rack : str
        Rack that holds the data; empty for none.
    """

    count: int
    demand: Capacity
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    max_per_worker: int = 0
    rack: str = ""


@attrs.frozen
class WorkRequest:
    """A job as an entry instance hands it to the scheduler.

    Parameters
    ----------
    id : str
        The caller's id of the job.
    queue : str
        Queue that the job was submitted to.
    payload : str
        Handed to every task.
    steps : tuple of StepSpec
        What is to run.
    budget_ms : int
        How long the caller waits for the answer, from the arrival at the entry instance.
    waited_ms : int
        How much of the budget has passed before this request was sent.
    is_resumed : bool
        Whether another scheduler may have started tasks of the job.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    budget_ms: int
    waited_ms: int = 0
    is_resumed: bool = False


@attrs.define
class PoolTask:
    """One task of a job."""

    step: int
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    worker: str = ""
    last_worker: str = ""
    attempt: int = 0
    failures: int = 0
    avoided: set[str] = attrs.field(factory=set)


@attrs.define(eq=False)
class PoolJob:
    """A job with the state of its tasks.

    Parameters
    ----------
    request : WorkRequest
        What was submitted.
    entry : str
        Entry instance that holds the caller's connection.
    arrived_at : float
        When the caller's request arrived, in seconds on the scheduler's clock.
    waiting_tasks : int
        Number of its tasks in phase ``WAITING``.
    smallest_millicores : int
        Least demand of a task.
    was_slowed, was_adopted : bool
        Whether a run was on a slow worker, or was started by another scheduler: then its run times
        tell nothing of its queue.
    """

    request: WorkRequest
    entry: str
    arrived_at: float
    priority: int = 0
    max_attempts: int = 1
    aim_at: float = 0.0
    late_at: float = 0.0
    gives_up_at: float = 0.0
    start_by: float = 0.0
    held_back_until: float = 0.0
    has_started: bool = False
    started_at: float = 0.0
    longest_run_ms: float = 0.0
    was_slowed: bool = False
    was_adopted: bool = False
    is_ended: bool = False
    tasks: list[PoolTask] = attrs.field(init=False)
    open_tasks: int = attrs.field(init=False)
    waiting_tasks: int = attrs.field(init=False)
    smallest_millicores: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tasks = [
            PoolTask(number, index)
            for number, step in enumerate(self.request.steps)
            for index in range(step.count)
        ]
        self.open_tasks = self.waiting_tasks = len(self.tasks)
        self.smallest_millicores = min(step.demand.millicores for step in self.request.steps)

    def step_of(self, task: PoolTask) -> StepSpec:
        """Return the specification of a task."""
        return self.request.steps[task.step]

    def name_of(self, task: PoolTask) -> str:
        """Return the name of a task on workers: the job, its occurrence, the step, the index."""
        return f"{self.request.id}.{OCCURRENCE}.{task.step}.{task.index}"

    def set_times(self, queue: QueueSpec, work_seconds: float) -> None:
        """Set when the job ought to be answered, is of no use, and must start at the latest."""
        aim = queue.response_target_ms(work_seconds * 1000) / 1000
        self.aim_at = self.arrived_at + aim
        self.late_at = self.arrived_at + MAX_LATENESS_FACTOR * aim
        self.gives_up_at = self.arrived_at + self.request.budget_ms / 1000
        self.start_by = self.aim_at - work_seconds - ANSWER_SECONDS
        self.priority, self.max_attempts = queue.priority, queue.max_attempts

    def is_step_done(self, number: int) -> bool:
        """Tell whether all tasks of a step have ended well."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks if task.step == number)

    def startable(self) -> list[PoolTask]:
        """Return the waiting tasks whose earlier steps are done."""
        steps = self.request.steps
        if len(steps) == 1:
            return [task for task in self.tasks if task.phase is TaskPhase.WAITING]
        ready = {
            number
            for number, step in enumerate(steps)
            if not step.after or all(self.is_step_done(earlier) for earlier in step.after)
        }
        return [
            task for task in self.tasks if task.phase is TaskPhase.WAITING and task.step in ready
        ]

    def count_on(self, worker: str, step: int) -> int:
        """Return how many tasks of a step are placed on a worker."""
        return sum(
            task.worker == worker and task.step == step and task.phase is TaskPhase.PLACED
            for task in self.tasks
        )

    @property
    def request_work_ms(self) -> float:
        """Return the estimated length of the longest chain of steps."""
        finish: list[float] = []
        for step in self.request.steps:
            begin = max((finish[earlier] for earlier in step.after), default=0.0)
            finish.append(begin + step.estimate_ms)
        return max(finish, default=0.0)
