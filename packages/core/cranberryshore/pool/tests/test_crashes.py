from unittest import TestCase

from cranberryshore.pool.common_cause import SIMULTANEOUS_SECONDS
from cranberryshore.pool.crashes import (
    MAX_RECORDS,
    PROOF_SECONDS,
    RESEND_SECONDS,
    RETENTION_SECONDS,
    CrashHistory,
)
from cranberryshore.pool.lost_run import LossState

CULPRIT, SOUND, LATER = "j.0.0.0", "k.0.0.0", "l.0.0.0"
SUSPECTED, PROVEN = LossState.SUSPECTED, LossState.PROVEN


class CrashHistoryTest(TestCase):
    def setUp(self):
        self.history = CrashHistory()

    def lose(self, worker: str, *tasks: str, state=PROVEN, now=1.0, born=1, attempt=1) -> None:
        runs = {(task, attempt): True for task in tasks}
        self.history.record(worker, born, runs, state, now)
        self.history.confirm_registered(worker, born, now)

    def test_sole_task_on_a_crashed_worker_is_the_culprit(self):
        self.lose("w1", CULPRIT, SOUND)
        self.assertTrue(self.history.is_suspect(CULPRIT))
        self.assertFalse(self.history.is_culprit(CULPRIT))
        self.lose("w2", CULPRIT, attempt=2)
        self.assertTrue(self.history.is_culprit(CULPRIT))
        self.assertFalse(self.history.is_culprit(SOUND))

    def test_task_that_was_never_alone_is_not_the_culprit(self):
        self.lose("w1", CULPRIT, SOUND)
        self.lose("w2", CULPRIT, SOUND, attempt=2)
        self.assertFalse(self.history.is_culprit(SOUND))
        self.assertTrue(self.history.must_run_alone(SOUND))

    def test_task_that_ended_well_elsewhere_is_not_to_blame(self):
        self.lose("w1", CULPRIT, SOUND)
        self.lose("w2", CULPRIT, SOUND, attempt=2)
        self.history.clear(SOUND)
        self.assertTrue(self.history.is_culprit(CULPRIT))
        self.assertFalse(self.history.is_suspect(SOUND))

    def test_one_worker_lost_twice_in_one_life_counts_once(self):
        self.lose("w1", CULPRIT, attempt=1)
        self.lose("w1", CULPRIT, attempt=2)
        self.assertEqual(self.history.crashed_workers(CULPRIT), 1)
        self.lose("w1", CULPRIT, attempt=3, born=2)
        self.assertEqual(self.history.crashed_workers(CULPRIT), 2)

    def test_lapse_without_proof_uses_up_no_budget(self):
        for number in range(4):
            self.lose(f"w{number}", CULPRIT, state=SUSPECTED, attempt=number, now=float(number))
        self.assertFalse(self.history.is_culprit(CULPRIT))

    def test_worker_that_answers_again_has_not_crashed(self):
        self.lose("w1", CULPRIT, state=SUSPECTED)
        self.history.resolve("w1", 1, 2.0)
        self.assertFalse(self.history.is_suspect(CULPRIT))
        self.lose("w1", CULPRIT, state=SUSPECTED, attempt=2)
        self.history.resolve("w1", 2, 3.0)
        self.lose("w2", CULPRIT, state=SUSPECTED, attempt=3)
        self.history.resolve("w2", None, 3.0)
        self.assertEqual(self.history.crashed_workers(CULPRIT), 2)

    def test_task_with_two_losses_waits_for_proof_for_a_limited_time(self):
        self.lose("w1", CULPRIT, state=SUSPECTED, now=1.0)
        self.assertFalse(self.history.awaits_proof(CULPRIT, 1.1))
        self.lose("w2", CULPRIT, state=SUSPECTED, now=2.0, attempt=2)
        self.assertTrue(self.history.awaits_proof(CULPRIT, 2.0 + 0.9 * PROOF_SECONDS))
        self.assertFalse(self.history.awaits_proof(CULPRIT, 2.1 + PROOF_SECONDS))
        self.lose("w3", CULPRIT, state=SUSPECTED, now=8.0, attempt=3)
        self.assertTrue(self.history.awaits_proof(CULPRIT, 8.0 + 1.5 * PROOF_SECONDS))

    def test_tasks_of_a_lost_rack_are_no_suspects(self):
        for number in range(3):
            now = 1.0 + number * SIMULTANEOUS_SECONDS / 3
            self.lose(f"w{number}", f"t{number}", state=SUSPECTED, now=now)
        self.assertFalse(any(self.history.is_suspect(f"t{number}") for number in range(3)))
        self.lose("w4", CULPRIT, now=5.0)
        self.assertTrue(self.history.is_suspect(CULPRIT))

    def test_another_instance_has_the_same_records(self):
        self.lose("w1", CULPRIT, SOUND, state=SUSPECTED)
        other = CrashHistory()
        other.merge(self.history.take_changes(50.0), 50.0)
        self.lose("w2", CULPRIT, attempt=2)
        self.history.resolve("w1", 2, 2.0)
        other.merge(self.history.take_changes(51.0), 51.0)
        self.assertTrue(other.is_culprit(CULPRIT))
        self.assertEqual(set(other.records(51.0)), set(self.history.records(51.0)))
        self.assertEqual(self.history.take_changes(51.0), ())

    def test_task_that_has_ended_well_is_a_suspect_again_by_the_record_of_a_peer(self):
        self.lose("w1", CULPRIT)
        record = self.history.take_changes(1.0)
        self.history.clear(CULPRIT)
        self.history.merge(record, 2.0)
        self.assertFalse(self.history.is_suspect(CULPRIT))

    def test_older_record_does_not_replace_a_proof(self):
        self.lose("w1", CULPRIT, state=SUSPECTED)
        older = self.history.take_changes(1.0)
        self.history.resolve("w1", None, 2.0)
        self.history.merge(older, 3.0)
        self.assertEqual(self.history.crashed_workers(CULPRIT), 1)

    def test_records_are_bounded(self):
        for number in range(MAX_RECORDS + 5):
            self.history.record("w1", 1, {(f"t{number}", 1): True}, PROVEN, number / 100)
        self.history.discard_outdated(11.0)
        self.assertEqual(len(self.history.records(11.0)), MAX_RECORDS)
        self.lose("w2", CULPRIT, state=SUSPECTED, now=11.0)
        self.assertEqual(self.history.unresolved, {"w2"})
        self.history.discard_outdated(11.1 + RETENTION_SECONDS)
        self.assertEqual((self.history.records(200.0), self.history.unresolved), ((), set()))

    def test_new_scheduler_sends_recent_records_again(self):
        self.lose("w1", SOUND, now=1.0)
        self.lose("w2", CULPRIT, now=1.0 + RESEND_SECONDS)
        (record,) = self.history.recent_records(1.1 + RESEND_SECONDS)
        self.assertEqual(record.task, CULPRIT)
