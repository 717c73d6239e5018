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
from cranberryshore.work import Capacity

KEY = ("j.0.0.0", 1)
ONE = Capacity(1000, 64)


def answer(*running, ended=(), born=1) -> WorkerStatus:
    return WorkerStatus(born, 0, tuple(ReportedRun(*key) for key in running), tuple(ended))


class HeldWorkerTest(TestCase):
    def setUp(self):
        total = Capacity(4000, 1000)
        self.worker = HeldWorker("w", "w", "z", "s", total, frozenset(), 10)

    def look(self, listed: WorkerStatus, poll_sent_at: float, now: float, token: int = 10):
        return self.worker.record_status(listed, token, poll_sent_at, now)

    def test_nothing_is_placed_before_the_first_look(self):
        self.assertFalse(self.worker.is_available())
        self.look(answer(), 0.0, 0.1)
        self.assertTrue(self.worker.is_available())

    def test_run_of_another_holder_blocks_lease_and_room(self):
        self.look(answer(KEY), 0.0, 0.1)
        self.assertFalse(self.worker.is_available())
        self.assertIsNone(self.worker.lease_end_ms(0.2))

    def test_room_is_free_only_once_the_end_is_listed(self):
        self.look(answer(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 0.2)
        self.assertEqual(self.worker.room.millicores, 3000)
        self.worker.confirm_start(KEY, 0.21)
        ends = self.look(answer(ended=[ReportedEnd(1, *KEY, EndKind.DONE)]), 0.3, 0.4)
        self.assertEqual([end.kind for end in ends], [EndKind.DONE])
        self.assertEqual(self.worker.room.millicores, 4000)

    def test_start_that_overtakes_a_look_is_not_missing(self):
        # Cause: the start's answer may come before that of a look which the worker saw first.
        self.look(answer(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 0.2)
        self.worker.confirm_start(KEY, 0.25)
        self.assertEqual(self.look(answer(), 0.21, 0.3), [])

    def test_unanswered_start_never_began_after_a_look_with_a_higher_token(self):
        self.look(answer(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 0.2)
        self.assertEqual(self.look(answer(), 0.3, 0.4), [])
        self.worker.raise_token(11)
        ends = self.look(answer(), 0.5, 0.6, token=11)
        self.assertEqual([end.kind for end in ends], [EndKind.NEVER_BEGAN])

    def test_runs_of_a_new_life_are_kept(self):
        # Cause: pool_play seed 3, the account of a run was dropped when the look that followed
        # it showed that the worker had restarted, so its task was started a second time.
        self.look(answer(born=1), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 1.0)
        self.worker.confirm_start(KEY, 1.1)
        self.assertEqual(self.look(answer(KEY, born=2), 1.2, 1.3), [])
        self.assertIn(KEY, self.worker.runs)

    def test_runs_of_the_earlier_life_are_over(self):
        self.look(answer(born=1), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 1.0)
        self.worker.confirm_start(KEY, 1.1)
        ends = self.look(answer(born=2), 1.2, 1.3)
        self.assertEqual([end.kind for end in ends], [EndKind.VANISHED])

    def test_silent_worker_keeps_its_runs_until_the_lease_has_run_out(self):
        self.look(answer(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 1.0)
        self.worker.mark_silent()
        self.assertEqual(self.worker.remove_expired_runs(1.0 + LEASE_EXPIRY_SECONDS - 0.01), [])
        self.assertIsNone(self.worker.lease_end_ms(1.5))
        ends = self.worker.remove_expired_runs(1.0 + LEASE_EXPIRY_SECONDS)
        self.assertEqual([end.kind for end in ends], [EndKind.LAPSED])

    def test_ends_are_counted_once(self):
        self.look(answer(), 0.0, 0.1)
        self.worker.add_run(KEY, ONE, 0.2)
        listed = answer(ended=[ReportedEnd(1, *KEY, EndKind.DONE)])
        self.assertEqual(len(self.look(listed, 0.3, 0.4)), 1)
        self.assertEqual(self.look(listed, 0.5, 0.6), [])
        self.assertEqual(self.worker.room.millicores, 4000)

    def test_worker_of_another_holder_is_not_used(self):
        self.look(answer(), 0.0, 0.1)
        self.worker.mark_lost(0.2)
        self.assertIs(self.worker.state, HoldState.LOST)
        self.assertFalse(self.worker.is_available())
