"""Which run belongs to which task, over all workers."""

import attrs

from cranberryshore.pool.held_worker import RunKey
from cranberryshore.pool.work import PoolJob, PoolTask, TaskPhase

REMEMBERED_JOBS = 20_000
"""Ended jobs whose attempts are remembered: some minutes at 100 jobs a second."""


@attrs.define(eq=False)
class RunBook:
    """Runs that are asked for or under way, and how often tasks of ended jobs were attempted.

    A task has at most one run in the book, so that it is never started beside itself.
    """

    owners: dict[RunKey, tuple[PoolJob, PoolTask]] = attrs.field(factory=dict)
    active: set[str] = attrs.field(factory=set)
    attempts: dict[str, int] = attrs.field(factory=dict)

    def is_active(self, name: str) -> bool:
        """Tell whether a run of a task may be alive, also of an ended job of the same id."""
        return name in self.active

    def begin(self, job: PoolJob, task: PoolTask, worker: str, key: RunKey, now: float) -> None:
        """Enter a run of a waiting task."""
        job.waiting_tasks -= 1
        task.phase, task.worker, task.last_worker = TaskPhase.PLACED, worker, worker
        if not job.has_started:
            job.has_started, job.started_at = True, now
        self.owners[key] = (job, task)
        self.active.add(key[0])

    def finish(self, key: RunKey) -> tuple[PoolJob, PoolTask]:
        """Take out a run that is over, and return what it belonged to."""
        self.active.discard(key[0])
        return self.owners.pop(key)

    def remember(self, job: PoolJob) -> None:
        """Keep the attempts of a job that ends: it may come again under its id."""
        last = max(task.attempt for task in job.tasks)
        if last:
            self.attempts.pop(job.request.id, None)
            self.attempts[job.request.id] = last
        while len(self.attempts) > REMEMBERED_JOBS:
            del self.attempts[next(iter(self.attempts))]

    def recall(self, job: PoolJob) -> None:
        """Continue the numbers of attempts of a job that comes again."""
        first = self.attempts.get(job.request.id, 0)
        for task in job.tasks:
            task.attempt = first
