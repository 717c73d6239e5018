"""What the ends of runs tell about queues and workers."""

import attrs

from cranberryshore.placement.health import INITIAL_ISOLATION_SECONDS, PoolHealth
from cranberryshore.pool.held_worker import EndKind, Run, RunEnd
from cranberryshore.pool.learning import RunTimes
from cranberryshore.pool.straggling import is_straggling
from cranberryshore.pool.work import PoolJob, PoolTask


@attrs.define
class Experience:
    """Run times of queues and records of workers, from runs that this scheduler has started.

    Parameters
    ----------
    health : PoolHealth
        Which workers fail and which are slow.
    run_times : RunTimes
        How long the jobs of each queue run.
    """

    health: PoolHealth = attrs.field(factory=PoolHealth)
    run_times: RunTimes = attrs.field(factory=RunTimes)

    def job_seconds(self, job: PoolJob) -> float:
        """Return how long a job is expected to run."""
        return self.run_times.expected_ms(job.request.queue, job.request_work_ms) / 1000

    def task_ms(self, job: PoolJob, task: PoolTask) -> float:
        """Return how long a task is expected to run, in milliseconds."""
        return self.run_times.expected_ms(job.request.queue, job.step_of(task).estimate_ms)

    def take_end(self, worker: str, end: RunEnd, job: PoolJob, task: PoolTask, now: float) -> None:
        """Learn from the end of a run.

        Of an adopted run only the end is known, not its length.
        """
        if end.kind is EndKind.DONE:
            expected = self.task_ms(job, task)
            run_ms = expected if end.run.is_adopted else (now - end.run.started_at) * 1000
            job.was_adopted |= end.run.is_adopted
            job.longest_run_ms = max(job.longest_run_ms, run_ms)
            self.health.on_success(worker, run_ms, expected)
            job.was_slowed |= self.health.is_slow(worker)
        elif end.kind is EndKind.FAILED:
            self.health.on_failure(worker, job.request.id, now)
        else:
            # A probe that ended without a result tells nothing; the next one may go.
            self.health.record_for(worker).probe_running = False

    def take_completed(self, job: PoolJob) -> None:
        """Learn from a job whose runs were all started here, on workers that are not slow."""
        request = job.request
        if not (job.was_slowed or job.was_adopted) and len(request.steps) == 1:
            self.run_times.learn(request.queue, job.longest_run_ms, job.request_work_ms)

    def stop_straggler(
        self, worker: str, run: Run, job: PoolJob, task: PoolTask, now: float
    ) -> bool:
        """Tell whether a run is to be stopped as a straggler; its worker is isolated then."""
        if not is_straggling(now - run.started_at, self.task_ms(job, task) / 1000):
            return False
        self.health.isolate(worker, INITIAL_ISOLATION_SECONDS, now)
        return True
