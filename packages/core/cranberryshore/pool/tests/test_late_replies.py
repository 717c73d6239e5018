from cranberryshore.pool import ReportedRun, WorkerStatus
from cranberryshore.pool.held_worker import LEASE_SECONDS
from cranberryshore.pool.tests.test_withdrawn_starts import RefusedStartTestCase


class LateReplyTest(RefusedStartTestCase):
    """Replies to starts that were sent to a former start of the process."""

    def extend_lease(self, name: str, *running) -> None:
        """Let the worker answer a poll that extends its lease."""
        self.now += 0.01
        worker = self.scheduler.workers[name]
        listed = tuple(ReportedRun(*key) for key in running)
        status = WorkerStatus(worker.born, 0, listed, ())
        lease_until = self.now + LEASE_SECONDS
        sent_at, self.now = self.now, self.now + 0.01
        self.scheduler.record_status(name, status, worker.token, sent_at, self.now, lease_until)

    def test_run_that_a_former_boot_has_begun_is_lost_with_the_present_one(self):
        start = self.send()
        self.answer(start.worker, 2, sent_at=self.now - 0.01)
        self.scheduler.start_confirmed(start.worker, start.key, self.now)
        worker = self.scheduler.workers[start.worker]
        self.assertEqual(worker.possible_runs(self.now), {start.key: False})
        self.crash(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_run_that_a_former_boot_has_begun_has_vanished_after_the_next_answer(self):
        start = self.send()
        self.answer(start.worker, 2, sent_at=self.now - 0.01)
        self.scheduler.start_confirmed(start.worker, start.key, self.now)
        self.answer(start.worker, 2)
        self.assertEqual(self.scheduler.workers[start.worker].runs.keys() & {start.key}, set())

    def test_run_that_the_present_boot_lists_is_lost_with_it(self):
        start = self.send()
        self.answer(start.worker, 2, sent_at=self.now - 0.01)
        self.scheduler.start_confirmed(start.worker, start.key, self.now)
        self.extend_lease(start.worker, start.key)
        worker = self.scheduler.workers[start.worker]
        self.assertEqual(worker.possible_runs(self.now), {start.key: True})

    def test_lease_of_a_former_boot_shows_that_a_run_is_on_the_present_one(self):
        start = self.send()
        self.answer(start.worker, 2, start.key)
        worker = self.scheduler.workers[start.worker]
        self.assertEqual(worker.possible_runs(self.now), {start.key: False})
