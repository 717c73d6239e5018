from cranberryshore.pool import StartRun
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request


class RefusedStartTest(LostWorkerTestCase):
    """Workers that are lost while a start is on its way to them, or is refused by them."""

    def setUp(self):
        super().setUp()
        self.scheduler.workers["w2"].is_draining = True
        self.scheduler.submit(request("k", millicores=500), "e", self.now)
        (self.running,) = self.effects(StartRun)
        self.scheduler.start_confirmed(self.running.worker, self.running.key, self.now)
        self.scheduler.workers["w1"].lease_until = self.now + 1.0
        self.scheduler.submit(request("j", millicores=500), "e", self.now)
        (self.sent,) = self.effects(StartRun)

    def crashed_workers(self, task: str) -> int:
        """Let a successor answer and the registrations be read, and return what counts."""
        self.list_workers()
        self.scheduler.worker_replaced("w1", self.now)
        self.list_workers(self.now + HIDDEN_CHANGE_SECONDS)
        return self.scheduler.crashes.crashed_workers(task)

    def test_job_failed_for_starts_on_their_way_when_the_connection_was_closed(self):
        self.scheduler.worker_closed("w1", self.now)
        self.scheduler.worker_refuses("w1", self.now)
        self.assertEqual(self.crashed_workers(self.running.key[0]), 1)
        self.assertEqual(self.crashed_workers(self.sent.key[0]), 0)

    def test_job_failed_for_a_run_on_a_worker_that_refused_another_start(self):
        # A partition may refuse new connections while the open ones last.
        self.scheduler.start_rejected("w1", self.sent.key, False, self.now)
        self.scheduler.worker_refuses("w1", self.now)
        self.assertEqual(self.crashed_workers(self.running.key[0]), 0)
