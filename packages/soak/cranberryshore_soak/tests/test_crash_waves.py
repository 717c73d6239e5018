import asyncio
import time
from random import Random
from unittest import IsolatedAsyncioTestCase

from cranberryshore.pool import StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshore_platform.tests import platform_api
from cranberryshore_soak.callers import SoakJob
from cranberryshore_soak.cluster import QUEUE, SoakCluster, SoakPlan, SoakWorker
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshore_soak.worker_faults import WorkerFaults
from cranberryshored.platform.session import single_try_session

MAX_WAVES, MAX_SERIES = 5, 4
MIN_REFUSED_STARTS = 2

MILLICORES = 1300
"""Millicores of a task, of which three fit on a worker."""

SHORT_SECONDS, LONG_SECONDS = 0.06, 0.9
BUDGET_MS = 12_000
WARM_SECONDS = 0.22
"""Time after which short tasks have ended, and starts may rely on the clocks of their workers."""

DOWN_SECONDS = 2.0
"""Longer than it can stay unknown that a worker has left."""


class WaveTestCase(IsolatedAsyncioTestCase):
    worker_count = 3

    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, self.worker_count, 0))
        await self.cluster.start()
        self.session = single_try_session()

    async def asyncTearDown(self):  # noqa: N802
        await self.session.close()
        await self.cluster.close()


class RefusedStartsTest(WaveTestCase):
    """Two idle workers crash before starts reach them, while a third one has long tasks."""

    def submit(self, number: int, count: int, seconds: float) -> asyncio.Future:
        job = SoakJob(f"{number:016x}", count, MILLICORES, seconds, time.monotonic())
        self.cluster.callers.jobs[job.id] = job
        step = StepSpec(count, Capacity(MILLICORES, 64), int(seconds * 1000))
        work = WorkRequest(job.id, QUEUE.name, "", (step,), BUDGET_MS)
        address = next(iter(self.cluster.daemons.values())).front
        return asyncio.ensure_future(platform_api.submit(self.session, address, QUEUE, work))

    async def find_idle_workers(self, number: int) -> list[SoakWorker]:
        """Occupy one worker with long tasks, and all for a short time; return the others."""
        self.answers = [self.submit(number, 2, LONG_SECONDS)]
        await asyncio.sleep(0.1)
        self.answers.append(self.submit(number + 1, 7, SHORT_SECONDS))
        await asyncio.sleep(WARM_SECONDS)
        now, workers = asyncio.get_running_loop().time(), self.cluster.workers.values()
        for worker in workers:
            worker.model.end_due_runs(now)
        return [worker for worker in workers if not worker.model.runs]

    async def crash_idle_workers(self, number: int, is_renamed: bool) -> None:
        idle = await self.find_idle_workers(number)
        for worker in idle:
            self.cluster.end_process(worker, is_crash=True)
            worker.proxy.refuse()
        self.answers.append(self.submit(number + 2, 4, SHORT_SECONDS))
        await asyncio.sleep(DOWN_SECONDS)
        for worker in idle:
            await self.cluster.start_process(worker.model, is_renamed)
        for response in await asyncio.gather(*self.answers):
            if response.crashing_task:
                self.cluster.crash_model.check_given_up(response.crashing_task)
            self.assertEqual(self.cluster.history.faults, [])
            self.assertEqual(response, platform_api.CallerResponse(200, True))

    async def check_waves(self, is_renamed: bool) -> None:
        """Repeat the wave until starts were refused."""
        for number in range(MAX_WAVES):
            await self.crash_idle_workers(3 * number, is_renamed)
            if self.cluster.refused_starts() >= MIN_REFUSED_STARTS:
                return
        self.fail("no start was refused\n" + "\n".join(self.cluster.history.events))

    async def test_job_failed_for_two_workers_that_refused_its_starts(self):
        # Regression (incident LOST): refused starts counted as runs on the workers.
        await self.check_waves(is_renamed=False)

    async def test_job_failed_for_two_replaced_workers_that_refused_its_starts(self):
        # Regression (incident LOST): the same, and other workers answer at the addresses.
        await self.check_waves(is_renamed=True)


class CrashWavesTest(WaveTestCase):
    worker_count = 6

    async def test_jobs_failed_for_workers_that_refused_their_starts(self):
        # Regression (incident LOST): callers check a failed job against what the workers saw.
        worker_faults = WorkerFaults(self.cluster, Random(1))
        for _ in range(MAX_SERIES):
            await worker_faults.crash_in_waves(0.0)
            if self.cluster.refused_starts() >= MIN_REFUSED_STARTS:
                break
        events = "\n".join(self.cluster.history.events)
        self.assertEqual(self.cluster.history.faults, [], events)
        self.assertGreaterEqual(self.cluster.refused_starts(), MIN_REFUSED_STARTS, events)
        self.assertTrue(any(job.is_completed for job in self.cluster.callers.jobs.values()))
