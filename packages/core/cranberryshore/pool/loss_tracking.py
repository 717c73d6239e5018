"""Records of the workers that a scheduler loses, from their failed polls and their return."""

from collections.abc import Collection

import attrs

from cranberryshore.pool.crashes import CrashHistory, LossState
from cranberryshore.pool.effects import PoolEffect, WorkerLost
from cranberryshore.pool.held_worker import HeldWorker, RunKey
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.work import PoolJob


@attrs.define(eq=False)
class LossTracker:
    """Decides which failures of a worker are recorded as its loss, and of which runs.

    Parameters
    ----------
    effects : list of PoolEffect
        Receives the log records.
    """

    crashes: CrashHistory
    isolation: Isolation
    effects: list[PoolEffect]

    def worker_refuses(self, worker: HeldWorker, now: float) -> None:
        """Record that no process listens at the address of a worker, which may have crashed."""
        if not worker.is_loss_recorded:
            self._record(worker, worker.born, worker.runs_at_failure, LossState.SUSPECTED, now)

    def worker_replaced(self, worker: HeldWorker, now: float) -> None:
        """Record that another process answers at the address of a worker, so it has ended."""
        if not worker.is_loss_recorded:
            self._record(worker, worker.born, worker.runs_at_failure, LossState.PROVEN, now)
        self.crashes.resolve(worker.name, None, now)

    def worker_answered(
        self, worker: HeldWorker, before: int, lost_runs: Collection[RunKey], now: float
    ) -> None:
        """Record that a worker has answered a poll.

        ``before`` is its start before that, 0 if it was not known, and ``lost_runs`` are the runs
        that were on it then.
        """
        if before not in (0, worker.born):
            self._record(worker, before, lost_runs, LossState.PROVEN, now)
        worker.is_loss_recorded = False
        self.crashes.resolve(worker.name, worker.born, now)

    def find_failure(self, job: PoolJob) -> JobFailure | None:
        """Return the failure of a job with a task that crashes its workers."""
        if not self.crashes.entries:
            return None
        for task in job.tasks:
            name = job.name_of(task)
            if self.crashes.is_culprit(name):
                crashed = self.crashes.crashed_workers(name)
                return JobFailure(FailureCause.WORKERS_CRASHED, name, task.attempt, crashed)
        return None

    def _record(
        self,
        worker: HeldWorker,
        born: int,
        runs: Collection[RunKey] | None,
        state: LossState,
        now: float,
    ) -> None:
        # A worker that leaves ends its runs, too.
        if worker.is_draining or not runs:
            return
        worker.is_loss_recorded = True
        self.isolation.worker_lost(worker, now)
        self.effects.append(WorkerLost(worker.name, tuple(sorted(runs)), state))
        self.crashes.record(worker.name, born, runs, state, now)
