import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from cranberryshore_soak.cluster import SoakCluster, SoakPlan
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshore_soak.worker_faults import WorkerFaults

LOAD_SECONDS, CALLER_COUNT, MEAN_PAUSE_SECONDS = 11.0, 12, 0.02
TASK_COUNTS = (1, 2)


class ChangedWorkerTest(IsolatedAsyncioTestCase):
    """Workers change under load; the history of the cluster checks each start."""

    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, 6, 0))
        callers = self.cluster.callers
        callers.task_counts, callers.deadly_share, callers.patient_share = TASK_COUNTS, 0.0, 0.0
        await self.cluster.start()
        self.load = asyncio.create_task(
            self.cluster.run_callers(LOAD_SECONDS, CALLER_COUNT, MEAN_PAUSE_SECONDS)
        )
        self.faults = WorkerFaults(self.cluster, Random(1)).faults_by_name()

    async def asyncTearDown(self):  # noqa: N802
        await self.load
        await self.cluster.close()
        self.assertEqual(self.cluster.history.faults, [])

    async def test_task_starts_by_the_labels_of_a_former_process(self):
        # Regression (issue 35): labels and capacity were those of the registration before.
        for _ in range(2):
            await asyncio.sleep(1.0)
            await self.faults["workers_return_as_others"](1.0)
