from collections.abc import Callable

from cranberryshore.pool import EndKind, JobEnded, StartRun, WorkerStatus
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.scheduler import ADOPTION_WINDOW_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request


class UnprovenLossTest(LostWorkerTestCase):
    """Workers whose processes have ended, but not provably under a task."""

    def lapse(self, name: str) -> None:
        """Let a worker be silent until its lease has expired."""
        self.fail_polls(name)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)

    def restart(self, name: str) -> None:
        """Let a worker answer with a later start."""
        self.now += 0.01
        worker = self.scheduler.workers[name]
        status = WorkerStatus(worker.born + 1, 0, (), ())
        self.scheduler.record_status(name, status, worker.token, self.now, self.now)

    def lose_twice(self, lose: Callable[[str], None]) -> None:
        """Lose two workers under the task of a job, which is started again after the first."""
        (start,) = self.submit()
        lose(start.worker)
        (start,) = self.starts_after_polls(start.worker)
        lose(start.worker)

    def assert_not_failed(self) -> None:
        self.assertEqual(self.effects(JobEnded), [])

    def test_job_failed_for_runs_that_had_lapsed_before_their_workers_restarted(self):
        def lose(name: str) -> None:
            self.lapse(name)
            self.now += 1.0
            self.restart(name)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_runs_that_had_lapsed_before_another_process_answered(self):
        def lose(name: str) -> None:
            self.lapse(name)
            self.now += 1.0
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_runs_that_had_lapsed_before_connections_were_refused(self):
        def lose(name: str) -> None:
            self.lapse(name)
            self.scheduler.worker_refuses(name, self.now)
            self.now += 1.0
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_workers_that_left_unseen(self):
        def lose(name: str) -> None:
            self.crash(name)
            self.now += 1.0
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_starts_that_were_never_answered(self):
        self.scheduler.submit(request(), "e", self.now)
        for _ in range(2):
            (start,) = self.effects(StartRun)
            self.scheduler.start_unanswered(start.worker, 9, self.now)
            self.crash(start.worker)
            self.now += 1.0
            self.scheduler.worker_replaced(start.worker, self.now)
            self.poll_idle(start.worker)
        self.assert_not_failed()

    def test_job_failed_for_runs_of_another_scheduler_whose_leases_are_unknown(self):
        for name in ("w1", "w2"):
            self.poll(name, [("j.0.0.0", 1)])
            self.now += ADOPTION_WINDOW_SECONDS
            self.crash(name)
            self.scheduler.worker_replaced(name, self.now)
        self.scheduler.submit(request(), "e", self.now)
        self.assert_not_failed()

    def test_job_failed_for_runs_that_were_being_stopped(self):
        for _ in range(2):
            self.poll_idle()
            (start,) = self.submit()
            self.scheduler.cancel("j", "e", self.now)
            self.crash(start.worker)
            self.scheduler.worker_replaced(start.worker, self.now)
        self.scheduler.submit(request(), "e", self.now)
        self.assert_not_failed()

    def test_job_failed_after_it_had_ended_well_on_a_worker_that_crashed_later(self):
        starts = self.submit(count=2, millicores=2000)
        self.end(starts[0], EndKind.DONE)
        self.crash(starts[0].worker)
        self.scheduler.worker_replaced(starts[0].worker, self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(starts[0].key[0]), 0)
