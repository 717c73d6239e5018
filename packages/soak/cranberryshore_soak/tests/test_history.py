import asyncio
from unittest import IsolatedAsyncioTestCase

from cranberryshore.pool import EndKind, StartRun
from cranberryshore_platform.tests.platform_api import CallerResponse
from cranberryshore_soak.callers import SoakJob
from cranberryshore_soak.cluster import SoakCluster, SoakPlan

JOB_ID = "00000000000000a0"
TASK, MAX_ATTEMPTS = f"{JOB_ID}.0.0.0", 4
LEASE_SECONDS = 0.2


class HistoryTestCase(IsolatedAsyncioTestCase):
    """A job and a worker of a cluster, without daemons."""

    async def asyncSetUp(self):  # noqa: N802
        self.cluster = SoakCluster(SoakPlan(1))
        self.job = SoakJob(JOB_ID, 1, 1000, 60.0, 0.0)
        self.cluster.callers.jobs[JOB_ID] = self.job
        self.worker = await self.cluster.add_worker()

    async def asyncTearDown(self):  # noqa: N802
        await self.worker.proxy.close()
        await self.worker.http_server.close()
        self.cluster.socket_owners.close()
        self.cluster.folder.cleanup()


class FailedJobTest(HistoryTestCase):
    """Jobs that are answered as failed."""

    def violations(self, crashing_task: str = "", failing_task: str = "") -> int:
        response = CallerResponse(200, False, True, crashing_task, failing_task)
        self.cluster.callers.check_failure(self.job, response)
        return len(self.cluster.history.faults)

    async def crash_after(self, run_seconds: float) -> None:
        """Start the task with a lease, and crash the worker after some time."""
        now, model = asyncio.get_running_loop().time(), self.worker.model
        lease_end_ms = int((now + LEASE_SECONDS) * 1000)
        model.start(StartRun(model.name, (TASK, 1), "", 1, lease_end_ms), 1000, now)
        await asyncio.sleep(run_seconds)
        self.cluster.end_process(self.worker, is_crash=True)
        await self.cluster.start_process(model, is_renamed=False)

    async def test_failed_as_often_as_allowed(self):
        for _ in range(MAX_ATTEMPTS):
            self.cluster.history.run_ended(self.worker.model, (TASK, 1), EndKind.FAILED)
        self.assertEqual(self.violations(failing_task=TASK), 0)

    async def test_failed_less_often_than_allowed(self):
        for _ in range(MAX_ATTEMPTS - 1):
            self.cluster.history.run_ended(self.worker.model, (TASK, 1), EndKind.FAILED)
        self.cluster.history.run_ended(self.worker.model, (TASK, 1), EndKind.LAPSED)
        self.assertEqual(self.violations(failing_task=TASK), 1)

    async def test_failed_because_of_no_task_or_one_of_another_job(self):
        self.assertEqual(self.violations(), 1)
        self.assertEqual(self.violations(failing_task="00000000000000b0.0.0.0"), 2)

    async def test_two_processes_crashed_under_the_task(self):
        for _ in range(2):
            await self.crash_after(0.0)
        self.assertEqual(self.violations(crashing_task=TASK), 0)

    async def test_one_of_two_processes_crashed_after_the_run_had_lapsed(self):
        for seconds in (0.0, 2 * LEASE_SECONDS):
            await self.crash_after(seconds)
        self.assertEqual(self.violations(crashing_task=TASK), 1)
