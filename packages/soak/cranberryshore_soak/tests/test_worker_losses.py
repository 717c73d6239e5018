import asyncio
import time
from unittest import IsolatedAsyncioTestCase

from cranberryshore.pool import StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshore_platform.tests import platform_api
from cranberryshore_platform.tests.platform_api import StartFault
from cranberryshore_proof.config_checks import STORE
from cranberryshore_soak.callers import SoakJob
from cranberryshore_soak.cluster import QUEUE, SoakCluster, SoakPlan, SoakWorker
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshored.platform.session import single_try_session

TASK_SECONDS = 1.4
BUDGET_SECONDS = 12.0
CUT_SECONDS = 1.4
"""Longer than a lease, so that the runs behind a cut have lapsed at its end."""

NOTICE_SECONDS = 0.5
DOWN_SECONDS = 0.1
STARTED_SECONDS = 0.3
"""Time in which a poll confirms a start."""

WAIT_SECONDS = 5.0
LOSSES = 2
JOB_ID = "00000000000000aa"
TASK = f"{JOB_ID}.0.0.0"


class WorkerLossTest(IsolatedAsyncioTestCase):
    """The task of a job loses two workers, which end without it or without a crash."""

    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, 4, 0))
        await self.cluster.start()
        self.session = single_try_session()

    async def asyncTearDown(self):  # noqa: N802
        await self.session.close()
        await self.cluster.close()

    def submit(self) -> asyncio.Future:
        job = SoakJob(JOB_ID, 1, 1000, TASK_SECONDS, time.monotonic())
        self.cluster.callers.jobs[job.id] = job
        step = StepSpec(1, Capacity(1000, 64), int(TASK_SECONDS * 1000))
        work = WorkRequest(job.id, QUEUE.name, "", (step,), int(BUDGET_SECONDS * 1000))
        address = next(iter(self.cluster.daemons.values())).front
        return asyncio.ensure_future(platform_api.submit(self.session, address, QUEUE, work))

    async def wait_until_running(self) -> SoakWorker:
        """Return the worker on which the task runs, after a poll has confirmed its start."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not (worker := self.find_worker()):
                await asyncio.sleep(0.01)
        await asyncio.sleep(STARTED_SECONDS)
        return worker

    def find_worker(self) -> SoakWorker | None:
        now = asyncio.get_running_loop().time()
        for worker in self.cluster.workers.values():
            worker.model.end_due_runs(now)
            if any(task == TASK for task, _ in worker.model.runs):
                return worker
        return None

    async def check_answer(self, answer: asyncio.Future) -> None:
        response = await answer
        if response.crashing_task:
            self.cluster.crash_model.check_given_up(response.crashing_task)
        self.assertEqual(self.cluster.history.faults, [], "\n".join(self.cluster.history.events))
        self.assertEqual(response, platform_api.CallerResponse(200, True))

    async def crash_behind_cut(self, worker: SoakWorker, is_renamed: bool) -> None:
        isolated, model = self.cluster.link_faults.isolated, worker.model
        isolated.add(model.name)
        await asyncio.sleep(CUT_SECONDS)
        self.cluster.end_process(worker, is_crash=True)
        await self.cluster.start_process(model, is_renamed)
        isolated.clear()

    async def test_job_failed_for_workers_that_crashed_after_its_runs_had_lapsed(self):
        # Regression (incident LOST): runs that had lapsed behind a cut counted as crashes.
        answer = self.submit()
        for _ in range(LOSSES):
            await self.crash_behind_cut(await self.wait_until_running(), is_renamed=False)
        await self.check_answer(answer)

    async def test_job_failed_for_workers_replaced_after_its_runs_had_lapsed(self):
        # Regression (incident LOST): the same, and other workers answer at the addresses.
        answer = self.submit()
        for _ in range(LOSSES):
            await self.crash_behind_cut(await self.wait_until_running(), is_renamed=True)
        await self.check_answer(answer)

    async def test_job_failed_for_workers_that_left_while_the_store_was_unreachable(self):
        # Regression (incident LOST): departures without a notice that was read counted as crashes.
        answer = self.submit()
        outage = asyncio.create_task(
            self.cluster.cut([(name, STORE) for name in self.cluster.daemons], BUDGET_SECONDS)
        )
        for _ in range(LOSSES):
            worker = await self.wait_until_running()
            model = worker.model
            self.cluster.register(worker, is_draining=True)
            await asyncio.sleep(NOTICE_SECONDS)
            self.cluster.end_process(worker, is_crash=False)
            worker.proxy.refuse()
            await asyncio.sleep(DOWN_SECONDS)
            await self.cluster.start_process(model, is_renamed=True)
        await self.check_answer(answer)
        outage.cancel()

    async def test_job_failed_for_workers_that_crashed_before_its_starts_arrived(self):
        # Regression (incident LOST): unconfirmed starts counted as runs on crashed workers.
        workers = list(self.cluster.workers.values())
        for worker in workers:
            worker.http_server.start_fault = StartFault.HELD
        answer = self.submit()
        for _ in range(LOSSES):
            await asyncio.sleep(STARTED_SECONDS)
            for worker in workers:
                self.cluster.end_process(worker, is_crash=True)
                await self.cluster.start_process(worker.model, is_renamed=False)
        for worker in workers:
            worker.http_server.start_fault = None
        await self.check_answer(answer)

    async def test_job_with_a_task_that_crashes_its_workers_fails(self):
        self.cluster.crash_model.deadly_tasks.add(TASK)
        response = await self.submit()
        self.assertEqual(response.crashing_task, TASK)
        self.cluster.crash_model.check_given_up(TASK)
        self.assertEqual(self.cluster.history.faults, [])
