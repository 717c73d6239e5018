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
