import asyncio
import time
from unittest import IsolatedAsyncioTestCase

from cranberryshore.pool import StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshore_platform.tests import platform_api
from cranberryshore_soak.callers import SoakJob
from cranberryshore_soak.cluster import QUEUE, SoakCluster, SoakPlan
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshored.platform.session import single_try_session

APPLY_SECONDS = 2.0
TASK_SECONDS, TASK_COUNT = 0.06, 4
BUDGET_MS = 4000


class ForeignEntryTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, 4, 0))
        await self.cluster.start()
        self.session = single_try_session()

    async def asyncTearDown(self):  # noqa: N802
        await self.session.close()
        await self.cluster.close()
        self.assertEqual(self.cluster.history.faults, [])

    async def call(self, address: str, number: int) -> platform_api.CallerResponse:
        job = SoakJob(f"{number:016x}", TASK_COUNT, 2000, TASK_SECONDS, time.monotonic())
        self.cluster.callers.jobs[job.id] = job
        step = StepSpec(job.count, Capacity(job.millicores, 64), int(TASK_SECONDS * 1000))
        work = WorkRequest(job.id, QUEUE.name, "", (step,), BUDGET_MS)
        return await platform_api.submit(self.session, address, QUEUE, work)

    async def check_all_complete(self, first: int) -> None:
        addresses = [daemon.front for daemon in self.cluster.daemons.values()]
        calls = [self.call(address, first + n) for n, address in enumerate(addresses)]
        completed = platform_api.CallerResponse(200, True)
        self.assertEqual(await asyncio.gather(*calls), [completed] * len(addresses))

    async def test_entries_of_another_writer_keep_the_workers_from_an_instance(self):
        # Regression (issue 35): an entry that could not be decoded or sent on cost all others.
        self.cluster.add_foreign_entries()
        for worker in list(self.cluster.workers.values()):
            model = worker.model
            self.cluster.end_process(worker, is_crash=True)
            await self.cluster.start_process(model, is_renamed=True)
        await asyncio.sleep(APPLY_SECONDS)
        await self.check_all_complete(1)
        for number, daemon in enumerate(list(self.cluster.daemons.values())):
            await daemon.kill()
            self.cluster.balancer.failed_probes[daemon.name] = 1
            await self.cluster.start_daemon(daemon)
            await self.cluster.wait_until_ready()
            await self.check_all_complete(10 * (number + 1))
