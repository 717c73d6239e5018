from cranberryshore.pool import HoldState
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_former_boots import RestartTestCase
from cranberryshore.pool.tests.test_scheduler import WORKERS


class ReplacedWorkerTest(RestartTestCase):
    """Workers at whose address another process has answered, so that they have ended."""

    def test_task_is_started_on_a_worker_that_has_ended(self):
        for name in sorted(WORKERS):
            self.poll(name)
        (first,) = self.submit("k", millicores=2000)
        self.scheduler.worker_replaced(first.worker, self.now)
        starts = self.starts() + self.submit("l", millicores=2000)
        self.assertEqual([start.worker for start in starts], sorted(WORKERS - {first.worker}))

    def test_worker_that_answers_again_under_its_name_stays_unused(self):
        self.scheduler.worker_replaced("w1", self.now)
        self.scheduler.worker_replaced("w2", self.now)
        self.assertEqual(self.submit(), [])
        self.answer("w1", 2)
        self.assertIs(self.scheduler.workers["w1"].state, HoldState.HELD)
        self.assertEqual(self.starts(), [])
        relist(self.scheduler, "w1")
        self.scheduler.tick(self.now)
        self.assertEqual([start.worker for start in self.starts()], ["w1"])
