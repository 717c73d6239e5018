from unittest import TestCase

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    HoldState,
    ReportedEnd,
    ReportedRun,
    WorkerStatus,
)
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.tests.registrations import registration_of
from cranberryshore.work import Capacity

KEY = ("j.0.0.0", 1)
ONE_CORE = Capacity(1000, 64)


def status(*running, ended=(), born=1) -> WorkerStatus:
    return WorkerStatus(born, 0, tuple(ReportedRun(*key) for key in running), tuple(ended))


class HeldWorkerTest(TestCase):
    def setUp(self):
        total = Capacity(4000, 1000)
        self.worker = HeldWorker("w", "w", "z", "s", total, frozenset(), 10, registered_born=1)

    def poll(self, listed: WorkerStatus, poll_sent_at: float, now: float, token: int = 10):
        return self.worker.record_status(listed, token, poll_sent_at, now)

    def test_worker_is_not_available_before_the_first_poll(self):
        self.assertFalse(self.worker.is_available())
        self.poll(status(), 0.0, 0.1)
        self.assertTrue(self.worker.is_available())

    def test_foreign_run_blocks_lease_and_placement(self):
        self.poll(status(KEY), 0.0, 0.1)
        self.assertFalse(self.worker.is_available())
        self.assertIsNone(self.worker.lease_end_ms(0.2))

    def test_capacity_is_freed_when_the_end_is_reported(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 0.2)
        self.assertEqual(self.worker.room.millicores, 3000)
        self.worker.confirm_start(KEY, 0.21)
        ends = self.poll(status(ended=[ReportedEnd(1, *KEY, EndKind.DONE)]), 0.3, 0.4)
        self.assertEqual([end.kind for end in ends], [EndKind.DONE])
        self.assertEqual(self.worker.room.millicores, 4000)

    def test_start_that_overtakes_a_poll_is_not_missing(self):
        # The response to a start can arrive before that of a poll that was processed earlier.
        self.poll(status(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 0.2)
        self.worker.confirm_start(KEY, 0.25)
        self.assertEqual(self.poll(status(), 0.21, 0.3), [])

    def test_unanswered_start_never_began_after_a_poll_with_a_higher_token(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 0.2)
        self.assertEqual(self.poll(status(), 0.3, 0.4), [])
        self.worker.raise_token(11)
        ends = self.poll(status(), 0.5, 0.6, token=11)
        self.assertEqual([end.kind for end in ends], [EndKind.NEVER_BEGAN])

    def test_runs_started_after_a_restart_are_kept(self):
        # A run was discarded when the next poll showed that the worker had restarted before the
        # run, so its task was started a second time.
        self.poll(status(born=1), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 1.0)
        self.worker.confirm_start(KEY, 1.1)
        self.assertEqual(self.poll(status(KEY, born=2), 1.2, 1.3), [])
        self.assertIn(KEY, self.worker.runs)

    def test_runs_before_a_restart_have_vanished(self):
        self.poll(status(born=1), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 1.0)
        self.worker.confirm_start(KEY, 1.1)
        ends = self.poll(status(born=2), 1.2, 1.3)
        self.assertEqual([end.kind for end in ends], [EndKind.VANISHED])

    def test_silent_worker_keeps_its_runs_until_the_lease_expires(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 1.0)
        self.worker.mark_silent()
        self.assertEqual(self.worker.remove_expired_runs(1.0 + LEASE_EXPIRY_SECONDS - 0.01), [])
        self.assertIsNone(self.worker.lease_end_ms(1.5))
        ends = self.worker.remove_expired_runs(1.0 + LEASE_EXPIRY_SECONDS)
        self.assertEqual([end.kind for end in ends], [EndKind.LAPSED])

    def test_adopted_run_lasts_as_long_as_the_lease_of_its_previous_holder(self):
        # Regression: a run counted as expired as soon as the worker that had just been taken over
        # did not respond.
        self.poll(status(KEY), 0.0, 0.1)
        self.worker.adopt_run(KEY, ONE_CORE, 0.1)
        self.worker.mark_silent()
        self.assertEqual(self.worker.remove_expired_runs(0.1 + LEASE_EXPIRY_SECONDS - 0.01), [])
        self.assertEqual(len(self.worker.remove_expired_runs(0.1 + LEASE_EXPIRY_SECONDS)), 1)

    def test_worker_is_not_available_before_it_has_seen_the_raised_token(self):
        # Regression: a start with a token that the worker had not seen could arrive after another
        # holder had acquired the worker with a lower one.
        self.poll(status(), 0.0, 0.1)
        self.worker.raise_token(11)
        self.worker.mark_silent()
        self.poll(status(), 0.2, 0.3, token=10)
        self.assertFalse(self.worker.is_available())
        self.poll(status(), 0.4, 0.5, token=11)
        self.assertTrue(self.worker.is_available())

    def test_lease_allows_for_a_slow_clock_of_the_worker(self):
        # Regression: a start that arrived late on a worker that had been idle was accepted after
        # the end of its lease.
        self.poll(status(), 0.0, 0.0)
        self.assertEqual(self.worker.lease_end_ms(10.0), 10_000 + 1000 - 200)

    def test_lease_ends_by_its_limit(self):
        self.poll(status(), 0.0, 0.0)
        self.assertEqual(self.worker.lease_end_ms(0.0, limit_at=0.4), 400)
        self.assertIsNone(self.worker.lease_end_ms(0.5, limit_at=0.4))

    def test_late_response_to_an_earlier_poll_does_not_undo_a_verification(self):
        # Regression: a resumed job waited until all leases had ended if two polls overtook.
        self.poll(status(), 0.2, 0.3)
        self.poll(status(), 0.1, 0.4)
        self.assertEqual(self.worker.polled_at, 0.2)

    def test_unlisted_worker_is_not_available(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.unlist(0.2)
        self.assertFalse(self.worker.is_available())
        self.worker.relist(registration_of(self.worker))
        self.assertTrue(self.worker.is_available())

    def test_ends_are_processed_once(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE_CORE, 0.2)
        listed = status(ended=[ReportedEnd(1, *KEY, EndKind.DONE)])
        self.assertEqual(len(self.poll(listed, 0.3, 0.4)), 1)
        self.assertEqual(self.poll(listed, 0.5, 0.6), [])
        self.assertEqual(self.worker.room.millicores, 4000)

    def test_lost_worker_is_not_available(self):
        self.poll(status(), 0.0, 0.1)
        self.worker.mark_lost(0.2)
        self.assertIs(self.worker.state, HoldState.LOST)
        self.assertFalse(self.worker.is_available())
