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

CALLER_WAITS_MS = 12_000
LEASE_OVER_SECONDS = 1.2
"""Time after which the lease of a worker that is cut off has certainly expired."""


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class SimulatedWorkersTestCase(TestCase):
    """Simulates one job with one task, while workers that have had it end."""

    def simulate(self, scenario, seconds: float = 0.9) -> None:
        """Run a scenario, and check that the job completes and no check is violated."""

        async def run() -> tuple[PoolDeployment, SimulatedJob]:
            deployment = PoolDeployment(7, budget_ms=CALLER_WAITS_MS)
            await deployment.start()
            job = SimulatedJob("00000000000000aa", deployment.now())
            deployment.demands[job.id], deployment.seconds[job.id] = 1000, seconds
            deployment.jobs.append(job)
            entry = (deployment.scheduler_number() + 1) % len(deployment.zones)
            caller = asyncio.ensure_future(deployment.call(entry, job, 1))
            async with asyncio.timeout(2 * CALLER_WAITS_MS / 1000):
                await scenario(deployment)
                await caller
            return deployment, job

        deployment, job = run_virtual(run())
        self.assertEqual(deployment.faults, [])
        self.assertEqual(job.answers[-1:], [Outcome.COMPLETED])

    async def next_run(self, deployment: PoolDeployment, former: set[str]) -> ModelWorker:
        """Return the worker that starts the task next, 0.1 s after the start."""
        while True:
            for worker in deployment.workers.values():
                if worker.runs and worker.name not in former:
                    former.add(worker.name)
                    await asyncio.sleep(0.1)
                    return worker
            await asyncio.sleep(0.005)


class CrashBehindCutTest(SimulatedWorkersTestCase):
    """Incident LOST: processes that ended when the runs on them had lapsed counted as crashes."""

    def crash_twice(self, is_renamed: bool, resets: bool = False, **options) -> None:
        async def scenario(deployment: PoolDeployment) -> None:
            faults, former, ended = WorkerFaults(deployment, lambda _: None), set(), []
            # Both cuts heal while the third run goes on.
            for heal_seconds in (1.4, 0.3):
                worker = await self.next_run(deployment, former)
                fault = faults.crash_behind_cut(
                    worker,
                    LEASE_OVER_SECONDS,
                    0.05,
                    heal_seconds,
                    resets=resets,
                    is_renamed=is_renamed,
                    **options,
                )
                ended.append(asyncio.ensure_future(fault))
            await asyncio.gather(*ended)

        self.simulate(scenario)

    def test_workers_restart_behind_silent_cuts_after_the_task_has_lapsed(self):
        self.crash_twice(is_renamed=False)

    def test_workers_are_replaced_behind_silent_cuts_after_the_task_has_lapsed(self):
        self.crash_twice(is_renamed=True)

    def test_workers_without_store_restart_behind_cuts_after_the_task_has_lapsed(self):
        self.crash_twice(is_renamed=False, reaches_store=False)

    def test_workers_restart_behind_resetting_cuts_after_the_task_has_lapsed(self):
        self.crash_twice(is_renamed=False, resets=True)

    def test_workers_are_replaced_behind_resetting_cuts_after_the_task_has_lapsed(self):
        self.crash_twice(is_renamed=True, resets=True)


class UnreadDepartureTest(SimulatedWorkersTestCase):
    """Incident LOST: workers that left counted as crashed, since no notice of it had been read."""

    def leave_twice(self, is_written: bool, is_store_silent: bool) -> None:
        async def scenario(deployment: PoolDeployment) -> None:
            faults, former = WorkerFaults(deployment, lambda _: None), set()
            silence = None
            if is_store_silent:
                silence = asyncio.ensure_future(faults.silence_store(6.0))
            for _ in range(2):
                worker = await self.next_run(deployment, former)
                await faults.leave(worker, 0.5, reaches_store=is_written, replace_seconds=0.3)
            if silence is not None:
                await silence

        self.simulate(scenario)

    def test_workers_leave_while_nobody_can_read_the_store(self):
        self.leave_twice(is_written=True, is_store_silent=True)

    def test_workers_leave_while_the_store_is_silent_for_all(self):
        self.leave_twice(is_written=False, is_store_silent=True)

    def test_workers_that_cannot_write_to_the_store_leave(self):
        self.leave_twice(is_written=False, is_store_silent=False)


class UnansweredStartTest(SimulatedWorkersTestCase):
    """Incident LOST: a start that was not answered counted as a run on the worker."""

    async def lose_start(self, deployment: PoolDeployment, is_delivered: bool) -> ModelWorker:
        """Return the worker of the next start, which is lost, or the answer to it."""
        workers = list(deployment.workers.values())
        before = {worker.name: worker.lost_starts for worker in workers}
        for worker in workers:
            worker.loses_starts, worker.loses_start_replies = not is_delivered, is_delivered
        while True:
            for chosen in workers:
                if chosen.lost_starts > before[chosen.name]:
                    for worker in workers:
                        worker.loses_starts = worker.loses_start_replies = False
                    return chosen
            await asyncio.sleep(0.002)

    def crash_twice(self, is_renamed: bool) -> None:
        async def scenario(deployment: PoolDeployment) -> None:
            for _ in range(2):
                worker = await self.lose_start(deployment, is_delivered=False)
                deployment.crash_model.crash(worker, 0.3, True, is_renamed)

        self.simulate(scenario)

    def crash_twice_behind_cut(
        self, is_delivered: bool, crash_seconds: float, task_seconds: float
    ) -> None:
        async def scenario(deployment: PoolDeployment) -> None:
            faults, ended = WorkerFaults(deployment, lambda _: None), []
            for _ in range(2):
                worker = await self.lose_start(deployment, is_delivered)
                await asyncio.sleep(0.005)
                fault = faults.crash_behind_cut(worker, crash_seconds, 0.05, 0.3)
                ended.append(asyncio.ensure_future(fault))
            await asyncio.gather(*ended)

        self.simulate(scenario, task_seconds)

    def test_workers_restart_before_the_start_has_reached_them(self):
        self.crash_twice(is_renamed=False)

    def test_workers_are_replaced_before_the_start_has_reached_them(self):
        self.crash_twice(is_renamed=True)

    def test_workers_restart_behind_cuts_that_the_start_has_not_passed(self):
        self.crash_twice_behind_cut(False, LEASE_OVER_SECONDS, task_seconds=0.9)

    def test_workers_restart_behind_cuts_after_the_task_has_ended_unheard(self):
        self.crash_twice_behind_cut(True, 0.2, task_seconds=0.06)


class RandomWorkerFaultsTest(TestCase):
    def test_sound_tasks_are_given_up_at_random_faults(self):
        # Seeds at which this happened before the mending.
        for seed in (3, 16, 26, 35):
            result = simulate_pool(seed, has_crashes=True)
            self.assertEqual((seed, result.faults), (seed, ()))
            self.assertEqual(result.completed_after_faults, result.jobs_after_faults, result.events)
