import attrs

from cranberryshore.pool import Departure, WorkerListing
from cranberryshore.pool.crashes import MAX_UNCLEAR_LOSSES, RETENTION_SECONDS, Entry
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS, DepartureCheck
from cranberryshore.pool.held_worker import (
    LEASE_EXPIRY_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
)
from cranberryshore.pool.tests.test_departures import LOST, LOST_AT, WORKER
from cranberryshore.pool.tests.test_former_boots import RestartTestCase


class LossReviewTestCase(RestartTestCase):
    """Losses of workers while the store answers all the while."""

    def pass_time(self, seconds: float) -> None:
        """Let time pass in which the registrations are read, and no worker leaves."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 0.5, end)
            self.list_workers(born=1)
        self.scheduler.tick(self.now)


class ClosedConnectionTest(LossReviewTestCase):
    """Connections that are closed some time before the process of the worker ends."""

    def close_and_lapse(self, name: str) -> None:
        """Close a connection, as a cut does, and let the lease end behind the cut."""
        self.list_workers()
        self.scheduler.worker_closed(name, self.now)
        self.fail_polls(name)
        self.pass_time(LEASE_EXPIRY_SECONDS + 0.1)

    def test_run_that_lapsed_after_a_closed_connection_counts_when_another_process_answers(self):
        (start,) = self.submit()
        self.close_and_lapse(start.worker)
        self.assertEqual(self.scheduler.workers[start.worker].runs, {})
        self.pass_time(3.0)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_run_that_lapsed_after_a_closed_connection_counts_when_calls_are_refused(self):
        (start,) = self.submit()
        self.close_and_lapse(start.worker)
        self.pass_time(3.0)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.answer(start.worker, 2)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_run_that_may_have_ended_while_polls_failed_counts(self):
        # The end of the run, 0.1 s long, would have been reported behind the cut.
        (start,) = self.submit(estimate_ms=100)
        self.list_workers()
        self.fail_polls(start.worker)
        self.now += LEASE_SECONDS - LEASE_MARGIN_SECONDS - 0.1
        self.crash(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.crashed_workers(start), 0)


class SecondLossTest(LossReviewTestCase):
    """Workers that were recorded as lost, have answered, and are lost again."""

    def lose_for_a_moment(self, name: str, key) -> None:
        """Let a worker refuse calls behind a partition, and answer before its lease ends."""
        self.list_workers()
        self.scheduler.worker_closed(name, self.now)
        self.fail_polls(name)
        self.scheduler.worker_refuses(name, self.now)
        self.now += 0.3
        self.answer(name, 1, key)

    def extend_lease(self, name: str) -> None:
        worker = self.scheduler.workers[name]
        worker.lease_extended_at = self.now
        worker.lease_until = self.now + LEASE_SECONDS

    def test_crash_under_a_run_is_not_recorded_since_its_worker_was_suspected_before(self):
        (start,) = self.submit(estimate_ms=900)
        self.lose_for_a_moment(start.worker, start.key)
        self.extend_lease(start.worker)
        self.pass_time(0.1)
        self.crash(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertTrue(self.scheduler.crashes.is_suspect(start.key[0]))
        self.assertEqual(self.crashed_workers(start), 1)

    def test_refuted_loss_of_a_run_proves_that_it_ran_at_a_later_loss(self):
        (start,) = self.submit(estimate_ms=900)
        self.lose_for_a_moment(start.worker, start.key)
        self.extend_lease(start.worker)
        self.list_workers()
        self.fail_polls(start.worker)
        self.now += LEASE_SECONDS - LEASE_MARGIN_SECONDS + 0.1
        self.list_workers()
        certain = self.scheduler.workers[start.worker].possible_runs(self.now)
        self.assertEqual(certain, {start.key: False})
        self.scheduler.worker_replaced(start.worker, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_second_loss_of_a_boot_is_never_judged(self):
        (start,) = self.submit()
        self.list_workers()
        self.scheduler.worker_closed(start.worker, self.now)
        self.fail_polls(start.worker)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.scheduler.cancel("j", "e", self.now)
        other = next(name for name in ("w1", "w2") if name != start.worker)
        self.scheduler.unlist(other, self.now)
        # The same process answers again, and crashes later under another task.
        self.answer(start.worker, 1)
        (later,) = self.submit("k")
        self.assertEqual(later.worker, start.worker)
        self.crash(later.worker)
        self.scheduler.worker_replaced(later.worker, self.now)
        self.assertEqual(self.crashed_workers(later), 1)

    def test_judged_losses_are_kept_after_their_records_are_discarded(self):
        (start,) = self.submit()
        self.crash(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.now += RETENTION_SECONDS + 1.0
        self.scheduler.tick(self.now)
        self.list_workers()
        self.assertEqual(self.scheduler.crashes.records(self.now), ())
        self.assertEqual(self.scheduler.crashes.entries, {})


class SilentCrashTest(LossReviewTestCase):
    """Workers that crash without a closed connection or a refusal, since their host is gone."""

    def test_task_that_ends_hosts_without_a_trace_is_started_without_a_bound(self):
        (start,) = self.submit(budget_ms=120_000)
        lost = 0
        for _ in range(2 * MAX_UNCLEAR_LOSSES):
            self.fail_polls(start.worker)
            # Its host is back after 3 s, when the lease is over.
            self.pass_time(3.0)
            for worker in self.scheduler.workers.values():
                born = worker.born + (worker.name == start.worker)
                self.answer(worker.name, born)
                worker.registered_born = worker.born
            lost += 1
            self.list_workers()
            self.scheduler.tick(self.now)
            starts = self.starts()
            if not starts:
                break
            (start,) = starts
        self.assertLessEqual(lost, MAX_UNCLEAR_LOSSES)


class DepartureReviewTest(RestartTestCase):
    def test_loss_in_a_store_outage_counts_for_the_next_scheduler(self):
        first, second = DepartureCheck(), DepartureCheck()
        for at in (LOST_AT - 2.0, LOST_AT - 1.1):
            first.record(WorkerListing((WORKER,), frozenset(), at, at))
        # The store falls silent before the worker gives notice, and returns seconds later.
        is_answering = first.is_answering(LOST_AT)
        loss = Entry(attrs.evolve(LOST, was_store_answering=is_answering), LOST_AT)
        after = WorkerListing((WORKER,), frozenset(), LOST_AT + 4.0, LOST_AT + 4.0)
        first.record(after)
        second.record(after)
        self.assertIs(first.judge(loss), Departure.UNKNOWN)
        self.assertIs(second.judge(loss), Departure.UNKNOWN)
