"""Workers that have reported runs of an earlier scheduler, by job.

When a scheduler takes over, entry instances hand over hundreds of jobs within some milliseconds,
while hundreds of workers report the runs that the earlier scheduler has started on them. Each job
is looked up here instead of on every worker.
"""

from collections.abc import Collection

import attrs

from cranberryshore.pool import adoption
from cranberryshore.pool.held_worker import HeldWorker

MIN_ENTRIES_TO_REBUILD = 10_000
"""Number of jobs up to which outdated entries are kept."""


@attrs.define(eq=False)
class ForeignRuns:
    """Workers with active or ended runs of another scheduler.

    An entry may be outdated, because the run has ended or was adopted: the state of the worker
    decides.
    """

    workers_by_job: dict[str, set[str]] = attrs.field(factory=dict)
    rebuild_size: int = MIN_ENTRIES_TO_REBUILD

    def record(self, worker: HeldWorker, ended_tasks: Collection[str]) -> None:
        """Record the foreign runs in a status report, of which ``ended_tasks`` have ended."""
        for task, _ in worker.strangers:
            self._add(task, worker.name)
        for task in ended_tasks:
            if task in worker.foreign_ends:
                self._add(task, worker.name)

    def workers_of(self, job: str) -> list[str]:
        """Return the names of the workers that may have reported runs of a job, sorted."""
        return sorted(self.workers_by_job.get(job, ()))

    def discard_outdated(self, workers: Collection[HeldWorker]) -> None:
        """Keep only the runs that workers still have, if there are many entries."""
        if len(self.workers_by_job) <= self.rebuild_size:
            return
        self.workers_by_job = {}
        for worker in workers:
            self.record(worker, worker.foreign_ends)
        self.rebuild_size = max(2 * len(self.workers_by_job), MIN_ENTRIES_TO_REBUILD)

    def _add(self, task: str, worker: str) -> None:
        self.workers_by_job.setdefault(adoption.job_id_of((task, 0)), set()).add(worker)
