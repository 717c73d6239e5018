import asyncio
import time
from unittest import IsolatedAsyncioTestCase

from cranberryshore.pool import StartRun
from cranberryshore_soak.cluster import SoakCluster, SoakPlan
from cranberryshore_soak.history import CANCEL_TIMEOUT_SECONDS
from cranberryshore_soak.tests.test_history import JOB_ID, TASK, HistoryTestCase
from cranberryshore_soak.tests.test_soak import prepare_loop

CALLER_COUNT, MEAN_PAUSE_SECONDS, LOAD_SECONDS = 6, 0.3, 6.0


class CancelledStartTest(HistoryTestCase):
    """Starts of a job whose cancel was acknowledged."""

    def check_start(self, cancelled_before: float, oldest_start: float) -> int:
        """Return the number of violations of a start some time after the acknowledgement."""
        now, history = time.monotonic(), self.cluster.history
        history.cancelled[JOB_ID] = now - cancelled_before
        history.oldest_start = lambda: now - oldest_start
        model = self.worker.model
        order = StartRun(model.name, (TASK, 1), "", 1, int(1000 * now) + 1000)
        model.start(order, 1000, asyncio.get_running_loop().time())
        return len(history.faults)

    async def test_start_too_long_after_a_cancel(self):
        self.assertEqual(self.check_start(CANCEL_TIMEOUT_SECONDS + 0.1, oldest_start=60.0), 1)

    async def test_start_just_after_a_cancel(self):
        self.assertEqual(self.check_start(CANCEL_TIMEOUT_SECONDS - 0.5, oldest_start=60.0), 0)

    async def test_start_after_all_instances_have_forgotten_the_cancel(self):
        self.assertEqual(self.check_start(CANCEL_TIMEOUT_SECONDS + 0.1, oldest_start=2.0), 0)


class CancelledUnderLoadTest(IsolatedAsyncioTestCase):
    async def test_cancelled_jobs_go_on(self):
        # Regression (review case 2): DELETE was acknowledged, and the job's next tasks started.
        prepare_loop()
        cluster = SoakCluster(SoakPlan(1, 3, 4, 0))
        cluster.callers.canceller.share = 0.5
        await cluster.start()
        try:
            await cluster.run_callers(LOAD_SECONDS, CALLER_COUNT, MEAN_PAUSE_SECONDS)
        finally:
            await cluster.close()
        self.assertGreater(len(cluster.history.cancelled), CALLER_COUNT)
        self.assertEqual(cluster.history.faults, [])
