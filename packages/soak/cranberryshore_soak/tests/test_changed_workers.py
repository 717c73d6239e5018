import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from cranberryshore_platform.tests.standin import StoreFaults
from cranberryshore_soak.cluster import SoakCluster, SoakPlan
from cranberryshore_soak.fault_injection import (
    REJECTION_SECONDS,
    SHRINKING_DELAY_SECONDS,
    FaultInjector,
)
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshore_soak.worker_faults import (
    FULL_ROOM,
    NOTICED_SECONDS,
    SMALL_ROOM,
    WorkerFaults,
)

CALLER_COUNT, MEAN_PAUSE_SECONDS, OTHERS_SECONDS = 12, 0.02, 6.0
TASK_COUNTS = (1, 2)
OUTAGE_SECONDS = NOTICED_SECONDS + 1.0
"""Outage of the store from the crash of workers until after their return, in which the next
scheduler has the inherited registrations only."""


class ChangedWorkerTest(IsolatedAsyncioTestCase):
    """Workers change under load; the history of the cluster checks each start."""

    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, 6, 0))
        callers = self.cluster.callers
        callers.task_counts, callers.deadly_share, callers.patient_share = TASK_COUNTS, 0.0, 0.0
        callers.canceller.share = 0.0
        await self.cluster.start()
        self.faults = WorkerFaults(self.cluster, Random(1)).faults_by_name()

    async def asyncTearDown(self):  # noqa: N802
        await self.cluster.close()
        self.assertEqual(self.cluster.history.faults, [])

    def start_load(self, seconds: float) -> asyncio.Task:
        callers = self.cluster.run_callers(seconds, CALLER_COUNT, MEAN_PAUSE_SECONDS)
        return asyncio.create_task(callers)

    async def test_task_starts_by_the_labels_of_a_former_process(self):
        # Regression (issue 35): labels and capacity were those of the registration before.
        load = self.start_load(2 * OTHERS_SECONDS)
        for _ in range(2):
            await asyncio.sleep(1.0)
            await self.faults["workers_return_as_others"](1.0)
        await load

    async def test_new_scheduler_starts_tasks_by_the_labels_of_a_former_process(self):
        # Regression (issue 57): the start that wrote an inherited registration was not recorded.
        injector = FaultInjector(self.cluster, Random(1))
        load = self.start_load(2 * OTHERS_SECONDS)
        for _ in range(2):
            await asyncio.sleep(1.0)
            faults = StoreFaults(is_busy=True)
            outage = asyncio.create_task(self.cluster.impair_store(faults, OUTAGE_SECONDS))
            await injector.return_during_takeover(1.0)
            await outage
        await load

    async def test_task_starts_beyond_a_shrunk_room_while_the_store_rejects_instances(self):
        # Regression (issue 35): a scheduler that the store rejects kept the former room.
        load = self.start_load(2 * REJECTION_SECONDS)
        for rejected in (("e0", "e1"), ("e2",)):
            faults = StoreFaults(rejected=frozenset(rejected))
            outage = asyncio.create_task(self.cluster.impair_store(faults, REJECTION_SECONDS))
            await asyncio.sleep(SHRINKING_DELAY_SECONDS)
            for worker in self.cluster.workers.values():
                self.cluster.resize(worker, SMALL_ROOM)
            await outage
            for worker in self.cluster.workers.values():
                self.cluster.resize(worker, FULL_ROOM)
        await load
