import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore.pool import Outcome
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_jobs import SimulatedJob
from cranberryshore_proof.pool_play import simulate_pool
from cranberryshore_proof.pool_worker_faults import WorkerFaults
from cranberryshore_proof.pool_workers import ModelWorker
from cranberryshore_proof.virtual_loop import run_virtual

MILLICORES = 1300
"""Millicores of a task, of which three fit on a worker."""

CALLER_WAITS_MS = 12_000
WARM_SECONDS = 0.25
"""Time after which short tasks have ended, and starts may rely on the clocks of their workers."""

DOWN_SECONDS = 2.0
"""Longer than it can stay unknown that a worker has left."""

REFUSAL_SECONDS = (0.003, 0.01)
"""Times until refusals of two workers are processed: starts that the first has refused are on their
way to the second when it is known to refuse."""


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class RefusedStartsTest(TestCase):
    """Incident LOST: starts that were refused in a wave counted as runs on the workers."""

    def simulate(self, scenario) -> None:
        """Run a scenario that returns a job, and check that the job completes."""

        async def run() -> tuple[PoolDeployment, SimulatedJob]:
            deployment = PoolDeployment(7, worker_count=3, budget_ms=CALLER_WAITS_MS)
            await deployment.start()
            return deployment, await scenario(deployment)

        deployment, job = run_virtual(run())
        self.assertEqual(deployment.faults, [])
        self.assertEqual(job.answers[-1:], [Outcome.COMPLETED])

    def submit(
        self, deployment: PoolDeployment, count: int, seconds: float
    ) -> tuple[SimulatedJob, asyncio.Future]:
        job = SimulatedJob(f"{len(deployment.jobs):016x}", deployment.now())
        deployment.demands[job.id], deployment.seconds[job.id] = MILLICORES, seconds
        deployment.jobs.append(job)
        entry = (deployment.scheduler_number() + 1) % len(deployment.zones)
        return job, asyncio.ensure_future(deployment.call(entry, job, count))

    def crash_idle_workers(self, is_renamed: bool) -> None:
        """Crash two idle workers before starts reach them, while a third one has long tasks."""

        async def scenario(deployment: PoolDeployment) -> SimulatedJob:
            _, long_caller = self.submit(deployment, 2, 0.9)
            await asyncio.sleep(0.1)
            self.submit(deployment, 7, 0.06)
            await asyncio.sleep(WARM_SECONDS)
            idle = [worker for worker in deployment.workers.values() if not worker.runs]
            faults = WorkerFaults(deployment, lambda _: None)
            faults.crash_wave(idle, DOWN_SECONDS, is_renamed)
            for worker, seconds in zip(idle, REFUSAL_SECONDS, strict=True):
                worker.refusal_seconds = seconds
            job, caller = self.submit(deployment, 4, 0.06)
            await asyncio.gather(caller, long_caller)
            self.check_refused(idle)
            return job

        self.simulate(scenario)

    def check_refused(self, workers: list[ModelWorker]) -> None:
        """Check that both workers have refused several starts at a time, two of one task."""
        tasks = []
        for worker in workers:
            self.assertGreater(worker.refused_at_once(), 1)
            tasks.append({start.key[0] for start in worker.refused_starts})
        self.assertTrue(tasks[0] & tasks[1])

    def test_job_failed_for_two_workers_that_refused_its_starts(self):
        self.crash_idle_workers(is_renamed=False)

    def test_job_failed_for_two_replaced_workers_that_refused_its_starts(self):
        self.crash_idle_workers(is_renamed=True)


class RandomWavesTest(TestCase):
    def test_sound_tasks_are_given_up_in_random_waves(self):
        # Seeds at which this happens if refused starts count as runs.
        for seed in (105, 107):
            result = simulate_pool(seed, has_crashes=True, has_waves=True)
            self.assertEqual((seed, result.faults), (seed, ()))
            self.assertEqual(result.completed_after_faults, result.jobs_after_faults, result.events)
            self.assertGreater(result.refused_starts, 0)
            self.assertGreater(result.refused_at_once, 1)
