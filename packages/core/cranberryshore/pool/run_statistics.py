"""Run time and worker health statistics, collected from finished runs."""

import attrs

from cranberryshore.placement.health import INITIAL_ISOLATION_SECONDS, PoolHealth
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.learning import RunTimeModel
from cranberryshore.pool.run import Run, RunEnd
from cranberryshore.pool.run_factors import EqualFactors, RunTimeFactors
from cranberryshore.pool.straggling import STRAGGLER_MARGIN_SECONDS, is_straggler
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_status import EndKind


@attrs.define
class RunStatistics:
    """Run times by queue and worker health, collected from runs this scheduler has started."""

    health: PoolHealth = attrs.field(factory=PoolHealth)
    run_times: RunTimeModel = attrs.field(factory=RunTimeModel)
    run_factors: RunTimeFactors = EqualFactors()

    def expected_seconds(self, job: PoolJob) -> float:
        """Return the expected run time of a job in seconds."""
        return self.run_times.expected_ms(job.request.queue, job.critical_path_ms) / 1000

    def expected_task_ms(self, job: PoolJob, task: PoolTask) -> float:
        """Return the expected run time of a task on a mean worker in milliseconds."""
        return self.run_times.expected_ms(job.request.queue, job.step_of(task).estimate_ms)

    def expected_run_ms(self, worker: str, job: PoolJob, task: PoolTask) -> float:
        """Return the expected run time of a task on a worker in milliseconds."""
        return self.expected_task_ms(job, task) * self.run_factors.factor(worker)

    def worker_restarted(self, worker: str) -> None:
        """Discard what is known of a worker, since another process has its place."""
        self.health.forget(worker)
        self.run_factors.forget(worker)

    @staticmethod
    def record_poll_failure(worker: HeldWorker) -> None:
        """Record that a worker has not answered a poll."""
        worker.is_unheard = True
        for run in worker.runs.values():
            run.is_unheard = True

    @staticmethod
    def record_answer(worker: HeldWorker, now: float) -> None:
        """Record that a worker answers a poll, before the answer is processed."""
        worker.is_unheard = False
        for run in worker.runs.values():
            if run.is_unheard:
                run.record_answer(worker.clock_read_at, now)

    def record_end(
        self, worker: str, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        """Update the statistics with a finished run.

        The run time of an adopted run is unknown, and so is that of one on a worker that was
        silent meanwhile, so the expected one is used. The queue's run times are those on a mean
        worker.
        """
        if end.kind is not EndKind.NEVER_BEGAN:
            self.health.rejections.run_ended(worker, now)
        if end.kind is EndKind.DONE:
            expected = self.expected_run_ms(worker, job, task)
            is_unknown = end.run.is_adopted or end.run.unheard_seconds > 0.0
            run_ms = expected if is_unknown else (now - end.run.started_at) * 1000
            job.has_adopted_run |= is_unknown
            mean_worker_ms = run_ms / self.run_factors.factor(worker)
            job.longest_run_ms = max(job.longest_run_ms, mean_worker_ms)
            self.health.on_success(worker, run_ms, expected)
            job.ran_on_slow_worker |= self.health.is_slow(worker)
        elif end.kind is EndKind.FAILED:
            self.health.on_failure(worker, job.request.id, now)
        else:
            # A run without a result says nothing about the worker, so another probe may start.
            self.health.record_for(worker).probe_running = False

    def record_completed_job(self, job: PoolJob) -> None:
        """Update the run time model with a completed job.

        Jobs with several steps, adopted runs or runs on slow workers are ignored.
        """
        request = job.request
        if not (job.ran_on_slow_worker or job.has_adopted_run) and len(request.steps) == 1:
            self.run_times.update(request.queue, job.longest_run_ms, job.critical_path_ms)

    def isolate_straggler(
        self, worker: str, run: Run, job: PoolJob, task: PoolTask, now: float
    ) -> bool:
        """Return whether a run is a straggler, which is to be stopped.

        Its worker is isolated, unless it is known to be sound.
        """
        ran_seconds = now - run.started_at - run.unheard_seconds
        if ran_seconds <= STRAGGLER_MARGIN_SECONDS:
            # No expected time makes it a straggler, and each poll asks for all runs.
            return False
        expected_seconds = self.expected_run_ms(worker, job, task) / 1000
        if not is_straggler(ran_seconds, expected_seconds, task.stragglers):
            return False
        ran_ratio = ran_seconds / max(expected_seconds, 0.001)
        if self.run_factors.may_continue(worker, run, ran_ratio, now):
            return False
        task.stragglers += 1
        if not self.run_factors.is_sound(worker, run):
            self.health.isolate(worker, INITIAL_ISOLATION_SECONDS, now)
        return True
