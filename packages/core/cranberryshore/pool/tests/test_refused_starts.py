from cranberryshore.pool import LossState, StartRun
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.tests.test_former_boots import RestartTestCase
from cranberryshore.pool.tests.test_scheduler import request


class RefusedStartTestCase(RestartTestCase):
    """Starts that are refused, so that they have never begun, while their worker is lost."""

    def setUp(self):
        super().setUp()
        self.scheduler.workers["w2"].is_draining = True

    def send(self, job_id: str = "j", **options) -> StartRun:
        """Submit a job and return its start on the only worker, which is not answered."""
        self.scheduler.submit(request(job_id, **options), "e", self.now)
        (start,) = self.effects(StartRun)
        return start

    def reject(self, start: StartRun) -> None:
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)

    def lost_tasks(self) -> list[str]:
        return sorted(lost.task for lost in self.scheduler.crashes.records(self.now))


class RefusedAfterClosingTest(RefusedStartTestCase):
    """The host closes a connection, then the start is refused, then a poll."""

    def test_refused_start_is_lost_with_the_runs_at_the_closing(self):
        (running,) = self.submit("k")
        start = self.send()
        self.scheduler.worker_closed(start.worker, self.now)
        self.reject(start)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.assertEqual(self.lost_tasks(), [running.key[0]])

    def test_refused_start_is_lost_with_the_runs_at_the_closing_when_the_address_is_reused(self):
        (running,) = self.submit("k")
        start = self.send()
        self.scheduler.worker_closed(start.worker, self.now)
        self.reject(start)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.lost_tasks(), [running.key[0]])

    def test_refused_start_of_a_suspect_exposes_a_worker(self):
        self.submit("k")
        start = self.send()
        worker = self.scheduler.workers[start.worker]
        worker.isolated_runs.add(start.key)
        self.scheduler.worker_closed(worker.name, self.now)
        self.reject(start)
        self.assertFalse(worker.refused_boot(self.now).is_exposed)

    def test_start_that_was_refused_after_its_lease_has_ended_a_host(self):
        start = self.send()
        self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.reject(start)
        self.answer(start.worker, 2)
        self.assertEqual(self.lost_tasks(), [])

    def test_start_without_a_reply_may_have_ended_its_host(self):
        start = self.send()
        self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.answer(start.worker, 2)
        (lost,) = self.scheduler.crashes.records(self.now)
        self.assertEqual((lost.state, lost.has_lapsed), (LossState.PROVEN, True))
