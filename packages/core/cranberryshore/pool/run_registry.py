"""Registry of the active runs of a scheduler, across all workers."""

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase
from cranberryshore.pool.worker_status import RunKey

MAX_OPEN_STARTS = 2_000
"""Maximum number of starts without a reply that are kept; others count as begun."""

MAX_REMEMBERED_JOBS = 20_000
"""Maximum number of ended jobs whose attempts are kept: some minutes at 100 jobs per second."""

ATTEMPT_INCREMENT = 8
"""Increment of an attempt number that a worker has rejected as too low."""


@attrs.frozen(eq=False)
class OpenStart:
    """Start without a reply.

    Parameters
    ----------
    born : int
        Identifier of the start of the worker process when it was sent.
    """

    job: PoolJob
    born: int


@attrs.define(eq=False)
class RunRegistry:
    """Requested and active runs, and the last attempt numbers of ended jobs.

    A task has at most one run in the registry, so that it never runs twice at the same time.

    Parameters
    ----------
    open_starts : dict
        Starts without a reply, also those whose runs were removed.
    """

    tasks_by_run: dict[RunKey, tuple[PoolJob, PoolTask]] = attrs.field(factory=dict)
    active_tasks: set[str] = attrs.field(factory=set)
    attempts: dict[str, int] = attrs.field(factory=dict)
    open_starts: dict[RunKey, OpenStart] = attrs.field(factory=dict)

    def is_task_active(self, name: str) -> bool:
        """Return whether a run of a task may be active, including runs of an ended job."""
        return name in self.active_tasks

    def record_start(
        self, job: PoolJob, task: PoolTask, worker: HeldWorker, key: RunKey, now: float
    ) -> None:
        """Add a run of a waiting task."""
        job.waiting_tasks -= 1
        task.phase, task.worker, task.last_worker = TaskPhase.PLACED, worker.name, worker.name
        job.possible_starts += 1
        if not job.has_started:
            job.has_started, job.started_at = True, now
        self.tasks_by_run[key] = (job, task)
        self.active_tasks.add(key[0])
        self.open_starts[key] = OpenStart(job, worker.born)
        while len(self.open_starts) > MAX_OPEN_STARTS:
            del self.open_starts[next(iter(self.open_starts))]

    def confirm_start(self, key: RunKey) -> None:
        """Record that a start was accepted."""
        self.open_starts.pop(key, None)

    def withdraw_start(self, key: RunKey) -> OpenStart | None:
        """Record that a start was rejected, so that it counts for nothing, and return it."""
        start = self.open_starts.pop(key, None)
        if start is None:
            return None
        job = start.job
        job.possible_starts -= 1
        job.has_started = job.possible_starts > 0 or job.has_adopted_run
        if job.is_ended and not (job.has_started or job.was_started_before):
            self.attempts.pop(job.request.id, None)
        return start

    def raise_attempt(self, key: RunKey) -> None:
        """Raise the attempt number of a task whose start was rejected because of it."""
        self.tasks_by_run[key][1].attempt += ATTEMPT_INCREMENT

    def remove(self, key: RunKey) -> tuple[PoolJob, PoolTask]:
        """Remove a finished run and return its job and task."""
        self.active_tasks.discard(key[0])
        return self.tasks_by_run.pop(key)

    def save_attempts(self, job: PoolJob) -> None:
        """Store the last attempt number of an ended job, which may be submitted again."""
        last = max(task.attempt for task in job.tasks)
        if last and (job.has_started or job.request.id in self.attempts):
            self.attempts.pop(job.request.id, None)
            self.attempts[job.request.id] = last
        while len(self.attempts) > MAX_REMEMBERED_JOBS:
            del self.attempts[next(iter(self.attempts))]

    def restore_attempts(self, job: PoolJob) -> None:
        """Continue the attempt numbers of a job that is submitted again."""
        first = self.attempts.get(job.request.id, 0)
        job.was_started_before = first > 0
        for task in job.tasks:
            task.attempt = first
