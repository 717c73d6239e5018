from cranberryshore.pool import HoldState, LossState, ReportedRun, WorkerStatus
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS, LEASE_SECONDS
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS
from cranberryshore.pool.tests.test_former_boots import RestartTestCase
from cranberryshore.pool.tests.test_scheduler import request

KEY, OTHER_KEY = ("j.0.0.0", 1), ("gone.0.0.0", 1)


class LostStrangerTest(RestartTestCase):
    """Workers that are lost with the runs of an earlier scheduler, whose jobs come later or not."""

    def expire(self, name: str) -> None:
        """Let a worker be silent until its lease has expired."""
        self.fail_polls(name)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)

    def test_task_waits_for_a_run_of_an_earlier_scheduler_whose_lease_has_ended(self):
        self.poll("w1", [KEY])
        self.expire("w1")
        self.poll_idle()
        self.assertEqual([start.worker for start in self.submit()], ["w2"])

    def test_task_waits_for_a_run_of_an_earlier_scheduler_whose_process_has_ended(self):
        self.poll("w1", [KEY])
        self.scheduler.worker_replaced("w1", self.now)
        self.poll_idle("w1")
        self.assertEqual([start.worker for start in self.submit()], ["w2"])

    def test_handed_over_jobs_wait_for_runs_of_others_on_a_worker_that_was_lost_long_before(self):
        self.poll("w1", [OTHER_KEY])
        self.expire("w1")
        exposed = frozenset({"w2"})
        self.assertEqual(self.submit(is_resumed=True, exposed=exposed), [])
        self.poll("w2")
        self.assertEqual([start.worker for start in self.starts()], ["w2"])

    def test_task_is_started_while_a_run_of_an_earlier_scheduler_may_be_active(self):
        self.poll("w1", [KEY])
        self.scheduler.worker_refuses("w1", self.now)
        self.now += LEASE_EXPIRY_SECONDS / 2
        self.scheduler.tick(self.now)
        self.poll_idle()
        self.assertEqual(self.submit(), [])

    def test_task_is_started_while_another_holder_extends_its_lease(self):
        self.poll("w1", [KEY])
        self.scheduler.fenced("w1", self.now)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.poll_idle()
        self.assertIs(self.scheduler.workers["w1"].state, HoldState.LOST)
        self.assertEqual(self.submit(), [])


class AdoptedRunTest(RestartTestCase):
    """Runs that are adopted some time after the report that has listed them."""

    def report(self, name: str, born: int, *running, sent_at: float, has_lease: bool) -> None:
        """Let a worker answer a poll, which may have extended its lease."""
        worker = self.scheduler.workers[name]
        listed = tuple(ReportedRun(*key) for key in running)
        status = WorkerStatus(born, int(1000 * self.now), listed, ())
        lease_until = sent_at + LEASE_SECONDS if has_lease else float("-inf")
        self.scheduler.record_status(name, status, worker.token, sent_at, self.now, lease_until)

    def list_stranger(self) -> None:
        """Let a restarted worker list a run that a late order of an earlier scheduler began."""
        sent_at, self.now = self.now, self.now + 0.01
        self.report("w1", 2, KEY, sent_at=sent_at, has_lease=True)
        self.list_workers(born=2)

    def hand_over(self) -> None:
        self.scheduler.submit(request(is_resumed=True), "e", self.now, frozenset({"w1"}))
        self.assertIn(KEY, self.scheduler.workers["w1"].runs)

    def possible_runs(self) -> dict:
        return self.scheduler.workers["w1"].possible_runs(self.now)

    def test_run_that_was_adopted_after_a_failed_poll_was_there_when_the_process_ended(self):
        self.list_stranger()
        self.scheduler.record_poll_failure("w1", 1, self.now)
        self.hand_over()
        self.assertEqual(self.possible_runs(), {KEY: False})

    def test_run_that_was_adopted_after_a_closed_connection_was_there(self):
        self.list_stranger()
        self.scheduler.worker_closed("w1", self.now)
        self.scheduler.record_poll_failure("w1", 1, self.now)
        self.hand_over()
        self.scheduler.worker_refuses("w1", self.now)
        self.scheduler.worker_replaced("w1", self.now)
        self.scheduler.crashes.confirm_registered("w1", 2, self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(KEY[0]), 0)

    def test_run_that_was_adopted_after_the_loss_of_its_worker_is_recorded_as_there(self):
        self.list_stranger()
        self.scheduler.worker_closed("w1", self.now)
        self.scheduler.worker_refuses("w1", self.now)
        self.hand_over()
        self.scheduler.worker_closed("w1", self.now)
        self.scheduler.worker_refuses("w1", self.now)
        records = self.scheduler.crashes.records(self.now)
        found = [(lost.attempt, lost.state, lost.was_running) for lost in records]
        self.assertEqual(found, [(1, LossState.SUSPECTED, False)])

    def test_adopted_run_that_is_listed_again_is_there(self):
        self.list_stranger()
        self.scheduler.record_poll_failure("w1", 1, self.now)
        self.hand_over()
        sent_at, self.now = self.now, self.now + 0.01
        self.report("w1", 2, KEY, sent_at=sent_at, has_lease=True)
        self.assertEqual(self.possible_runs(), {KEY: True})

    def test_adopted_run_without_a_lease_of_this_scheduler_was_there(self):
        self.poll("w1", [KEY])
        self.hand_over()
        self.assertEqual(self.possible_runs(), {KEY: False})

    def test_run_that_was_adopted_after_its_worker_was_lost_lapses_with_the_lease(self):
        self.list_stranger()
        self.scheduler.worker_refuses("w1", self.now)
        self.hand_over()
        self.now += RESUMED_JOB_WAIT_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.poll_idle()
        self.assertEqual([start.worker for start in self.starts()], ["w2"])
