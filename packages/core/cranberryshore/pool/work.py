"""Jobs and tasks of a pool, as tracked by its scheduler."""

from enum import Enum

import attrs

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool.config import (
    MAX_LATENESS_FACTOR,
    PoolConfig,
    QueueSpec,
    VersionedQueue,
)
from cranberryshore.work.capacity import Capacity

ANSWER_LATENCY_SECONDS = 0.01
"""Time for the answer to reach the caller: two hops of 3 ms plus processing."""

OCCURRENCE = 0
"""Occurrence number in task names; always 0, because jobs are not repeated."""


CANCELLED_DETAIL = "The job was cancelled."


class TaskPhase(Enum):
    """Phase of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"
    FAILED = "failed"


class Outcome(Enum):
    """Outcome of a job.

    A refused job has not run. A job that was given up has no result either, but its tasks may have
    run. A dropped job may be submitted again by its entry instance. A cancelled job was cancelled
    by a request of a caller: its tasks may have run, and none of them starts any more.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    GIVEN_UP = "given_up"
    DROPPED = "dropped"
    CANCELLED = "cancelled"


@attrs.frozen
class StepSpec:
    """Specification of a step: a number of identical tasks of a job.

    Parameters
    ----------
    estimate_ms : int
        Estimate by the caller of the run time of one task; typically off by 40 %.
    after : tuple of int
        Earlier steps that must be completed before a task of this step starts.
    label : str
        Label that the worker must have; empty for any worker.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    rack : str
        Preferred rack, which holds the data; empty for none.
    """

    count: int
    demand: Capacity
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    max_per_worker: int = 0
    rack: str = ""


@attrs.frozen(field_transformer=optional_by_name)
class WorkRequest:
    """Job as submitted by an entry instance to the scheduler.

    Parameters
    ----------
    id : str
        Identifier of the job, chosen by the caller.
    payload : str
        Input of every task.
    budget_ms : int
        Time that the caller waits, from the arrival at the entry instance.
    waited_ms : int
        Part of the budget that was used before this request was sent.
    is_resumed : bool
        Whether the job is handed over from another scheduler, which may have started its tasks.
    rosters : tuple of int
        Versions of the rosters that the entry instance has had since it first submitted the job,
        the current one last. An earlier scheduler has started tasks of the job only on workers of
        these rosters.
    zones : tuple of str
        Zones of the claims that the job was submitted under before: earlier schedulers have started
        tasks of it on workers of these zones only. An empty string stands for all zones; if the
        tuple is empty, the zones are not known.
    known_queue : VersionedQueue or None
        Configuration of the queue at the entry instance, if the scheduler may have an older one.
    """

    id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    budget_ms: int
    waited_ms: int = 0
    is_resumed: bool = False
    rosters: tuple[int, ...] = ()
    zones: tuple[str, ...] = ()
    known_queue: VersionedQueue | None = None

    def queue_in(self, config: PoolConfig) -> QueueSpec | None:
        """Return the configuration of the queue, by the newer one of the two that are known."""
        return config.newest_queue(self.queue, self.known_queue)


@attrs.define(field_transformer=optional_by_name)
class PoolTask:
    """State of a task.

    Parameters
    ----------
    worker, last_worker : str
        Worker on which the task is placed, and that of the last attempt; empty if there is none.
    attempt : int
        Number of the last attempt, across submissions of the job; 0 if there is none.
    avoided_workers : set of str
        Workers on which a begun attempt ended without success; they are used last.
    stragglers : int
        Number of attempts that were stopped because they took much longer than expected.
    """

    step: int
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    worker: str = ""
    last_worker: str = ""
    attempt: int = 0
    failures: int = 0
    avoided_workers: set[str] = attrs.field(factory=set)
    stragglers: int = 0


@attrs.define(eq=False, field_transformer=optional_by_name)
class PoolJob:
    """Job with the state of its tasks.

    Parameters
    ----------
    entry : str
        Entry instance that holds the connection of the caller.
    arrived_at : float
        Arrival time of the request, in seconds on the clock of the scheduler.
    asked_at : float
        The same of the latest request of the caller, which may have asked several instances.
    target_at, useless_at, deadline_at : float
        Times at which the job should be answered, its answer becomes useless, and its caller
        stops waiting.
    latest_start_at : float
        Latest start that meets the target.
    received_at : float
        Time at which this scheduler has received the job.
    delayed_until : float
        Time before which a resumed job does not start unless all workers are verified.
    exposed_workers : frozenset of str or None
        Workers that may have runs of a resumed job; ``None`` if they are not known.
    possible_starts : int
        Number of starts, apart from those that workers have rejected.
    was_started_before : bool
        Whether tasks may have been started for an earlier submission of the job.
    ran_on_slow_worker, has_adopted_run : bool
        Whether a run was on a slow worker, or one of another scheduler or on a worker that was
        silent meanwhile, so that the run times are not representative of the queue.
    lease_limit : float
        Time by which the leases of its runs must have ended once the job has ended.
    critical_path_ms : float
        Estimated length of the longest chain of dependent steps.
    found_queue : tuple
        Configuration by which the queue was last looked up, and the result.
    """

    request: WorkRequest
    entry: str
    arrived_at: float
    priority: int = 0
    max_attempts: int = 1
    target_at: float = 0.0
    useless_at: float = 0.0
    deadline_at: float = 0.0
    latest_start_at: float = 0.0
    received_at: float = 0.0
    asked_at: float = attrs.field(
        default=attrs.Factory(lambda job: job.arrived_at, takes_self=True)
    )
    delayed_until: float = 0.0
    exposed_workers: frozenset[str] | None = None
    has_started: bool = False
    possible_starts: int = 0
    was_started_before: bool = False
    started_at: float = 0.0
    longest_run_ms: float = 0.0
    ran_on_slow_worker: bool = False
    has_adopted_run: bool = False
    is_ended: bool = False
    lease_limit: float = float("inf")
    tasks: list[PoolTask] = attrs.field(init=False)
    unfinished_tasks: int = attrs.field(init=False)
    waiting_tasks: int = attrs.field(init=False)
    smallest_millicores: int = attrs.field(init=False)
    critical_path_ms: float = attrs.field(init=False)
    found_queue: tuple[PoolConfig | None, QueueSpec | None] = (None, None)

    def __attrs_post_init__(self) -> None:
        self.tasks = [
            PoolTask(number, index)
            for number, step in enumerate(self.request.steps)
            for index in range(step.count)
        ]
        self.unfinished_tasks = self.waiting_tasks = len(self.tasks)
        self.smallest_millicores = min(step.demand.millicores for step in self.request.steps)
        self.critical_path_ms = _critical_path_ms(self.request.steps)

    def queue_in(self, config: PoolConfig) -> QueueSpec | None:
        """Return the configuration of the queue, which is looked up once by each configuration."""
        if self.found_queue[0] is not config:
            self.found_queue = (config, self.request.queue_in(config))
        return self.found_queue[1]

    def step_of(self, task: PoolTask) -> StepSpec:
        """Return the specification of the step of a task."""
        return self.request.steps[task.step]

    def name_of(self, task: PoolTask) -> str:
        """Return the name of a task on workers: job, occurrence, step and index."""
        return f"{self.request.id}.{OCCURRENCE}.{task.step}.{task.index}"

    def set_deadlines(self, queue: QueueSpec, work_seconds: float) -> None:
        """Set the target, useless, deadline and latest start times, and the queue parameters."""
        target_seconds = queue.response_target_ms(work_seconds * 1000) / 1000
        self.target_at = self.arrived_at + target_seconds
        self.useless_at = self.arrived_at + MAX_LATENESS_FACTOR * target_seconds
        self.deadline_at = self.arrived_at + self.request.budget_ms / 1000
        self.latest_start_at = self.target_at - work_seconds - ANSWER_LATENCY_SECONDS
        self.priority, self.max_attempts = queue.priority, queue.max_attempts

    def is_step_done(self, number: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(task.phase is TaskPhase.DONE for task in self.tasks if task.step == number)

    def startable_tasks(self) -> list[PoolTask]:
        """Return the waiting tasks whose preceding steps are done."""
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

    def placed_count(self, worker: str, step: int) -> int:
        """Return the number of tasks of a step that are placed on a worker."""
        return sum(
            task.worker == worker and task.step == step and task.phase is TaskPhase.PLACED
            for task in self.tasks
        )


def _critical_path_ms(steps: tuple[StepSpec, ...]) -> float:
    finish: list[float] = []
    for step in steps:
        begin = max((finish[earlier] for earlier in step.after), default=0.0)
        finish.append(begin + step.estimate_ms)
    return max(finish, default=0.0)
