from collections.abc import Callable

import attrs

from cranberryshore.pool import (
    EndKind,
    FailureCause,
    JobEnded,
    LossState,
    ReportedRun,
    StartRun,
    WorkerListing,
    WorkerStatus,
)
from cranberryshore.pool.crashes import MAX_UNCLEAR_LOSSES
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS
from cranberryshore.pool.held_worker import (
    LEASE_EXPIRY_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
)
from cranberryshore.pool.takeover import ADOPTION_WINDOW_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import registration, request


class UnprovenLossTest(LostWorkerTestCase):
    """Workers whose processes have ended, but not provably under a task."""

    def lapse(self, name: str) -> None:
        """Let a worker be silent until its lease has expired."""
        self.list_workers()
        self.fail_polls(name)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.list_workers()
        self.scheduler.tick(self.now)

    def list_later(self) -> None:
        """Read the registrations of all workers, none of which leaves, a second later."""
        self.list_workers()
        self.now += HIDDEN_CHANGE_SECONDS
        self.list_workers()

    def restart(self, name: str) -> None:
        """Let a worker answer with a later start."""
        self.now += 0.01
        worker = self.scheduler.workers[name]
        status = WorkerStatus(worker.born + 1, 0, (), ())
        self.scheduler.record_status(name, status, worker.token, self.now, self.now)

    def lose_twice(self, lose: Callable[[str], None], estimate_ms: int = 100) -> None:
        """Lose two workers under the task of a job, which is started again after the first."""
        (start,) = self.submit(estimate_ms=estimate_ms)
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
            self.list_later()

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_runs_that_had_lapsed_before_another_process_answered(self):
        def lose(name: str) -> None:
            self.lapse(name)
            self.now += 1.0
            self.scheduler.worker_replaced(name, self.now)
            self.list_later()

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_runs_that_had_lapsed_before_connections_were_refused(self):
        def lose(name: str) -> None:
            self.lapse(name)
            self.scheduler.worker_refuses(name, self.now)
            self.list_later()
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_job_failed_for_workers_behind_a_partition_that_resets_connections(self):
        # Their processes end later, behind the partition.
        def lose(name: str) -> None:
            self.list_workers()
            self.fail_polls(name)
            self.scheduler.worker_refuses(name, self.now)
            self.now += LEASE_EXPIRY_SECONDS + 0.01
            self.scheduler.tick(self.now)
            self.list_later()
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_connection_that_was_closed_before_a_later_answer_proves_nothing(self):
        (start,) = self.submit()
        self.scheduler.worker_closed(start.worker, self.now)
        self.poll(start.worker, [start.key])
        self.assertIsNone(self.scheduler.workers[start.worker].closed_boot)

    def test_job_failed_for_workers_that_left_unseen(self):
        def lose(name: str) -> None:
            self.refuse(name)
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

    def test_job_failed_for_workers_that_had_announced_to_leave(self):
        def lose(name: str) -> None:
            self.list_workers()
            self.refuse(name)
            self.list_workers(is_draining=True)
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()
        self.assertFalse(self.scheduler.crashes.is_suspect("j.0.0.0"))

    def test_job_failed_for_workers_whose_announcement_was_read_after_the_proof(self):
        # The store has carried it out late.
        def lose(name: str) -> None:
            self.crash(name)
            self.scheduler.worker_replaced(name, self.now)
            self.now += 0.3
            workers = [registration(other) for other in self.scheduler.workers]
            leaving = [
                attrs.evolve(worker, born=1, is_draining=worker.name == name) for worker in workers
            ]
            listing = WorkerListing(tuple(leaving), frozenset(), self.now, self.now)
            self.scheduler.workers_listed(listing, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()
        self.assertEqual(self.scheduler.crashes.crashed_workers("j.0.0.0"), 0)

    def test_job_failed_after_a_refusal_that_came_when_the_lease_was_nearly_over(self):
        def lose(name: str) -> None:
            self.list_workers()
            self.now += LEASE_SECONDS - LEASE_MARGIN_SECONDS
            self.crash(name)
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose)
        self.assert_not_failed()

    def test_lease_that_a_poll_has_extended_shows_that_a_run_was_there(self):
        def lose(name: str) -> None:
            self.list_workers()
            worker = self.scheduler.workers[name]
            status = WorkerStatus(1, 0, tuple(ReportedRun(*key) for key in worker.runs), ())
            sent_at, self.now = self.now + 0.8, self.now + 0.9
            lease_until = sent_at + LEASE_SECONDS
            self.scheduler.record_status(name, status, 1, sent_at, self.now, lease_until)
            self.crash(name)
            self.scheduler.worker_replaced(name, self.now)

        self.lose_twice(lose, estimate_ms=900)
        (end,) = self.effects(JobEnded)
        self.assertIs(end.failure.cause, FailureCause.WORKERS_CRASHED)

    def test_task_that_four_workers_were_lost_under_without_proof_waits(self):
        history = self.scheduler.crashes
        for number in range(MAX_UNCLEAR_LOSSES):
            self.assertFalse(history.awaits_proof("j.0.0.0", self.now))
            history.record(f"w{number}", 1, {("j.0.0.0", number): False}, LossState.PROVEN, 0.0)
        self.assertTrue(history.awaits_proof("j.0.0.0", self.now))
        self.assertFalse(history.is_culprit("j.0.0.0"))

    def test_runs_on_workers_that_were_lost_together_are_not_to_blame(self):
        history = self.scheduler.crashes
        for moment in (0.0, 10.0):
            for name in ("w1", "w2", "w3"):
                runs = {("j.0.0.0" if name == "w1" else name, 1): True, (f"k{name}", 1): True}
                history.record(name, int(moment), runs, LossState.PROVEN, moment)
                history.confirm_registered(name, int(moment), moment)
        for task in [lost.task for lost in history.records(0.0) if lost.task != "j.0.0.0"]:
            history.clear(task)
        self.assertFalse(history.is_culprit("j.0.0.0"))
