from random import Random
from unittest import IsolatedAsyncioTestCase

from cranberryshore_soak.cluster import SoakCluster, SoakPlan
from cranberryshore_soak.tests.test_soak import prepare_loop
from cranberryshore_soak.worker_faults import WorkerFaults

MAX_SERIES = 4
MIN_REFUSED_STARTS = 2


class CrashWaveTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        prepare_loop()
        self.cluster = SoakCluster(SoakPlan(1, 3, 6, 0))
        await self.cluster.start()

    async def asyncTearDown(self):  # noqa: N802
        await self.cluster.close()

    async def test_job_failed_for_workers_that_refused_its_starts(self):
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
