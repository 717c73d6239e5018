from cranberryshore.pool import LossState, LostRun, PollWorker
from cranberryshore.pool.crashes import RETENTION_SECONDS
from cranberryshore.pool.tests.test_former_boots import RestartTestCase

TASK = "j.0.0.0"


class LateEvidenceTest(RestartTestCase):
    """Records and answers that are older than what is known of a worker."""

    def receive(self, age_seconds: float) -> None:
        """Receive the record of a loss that a former scheduler has suspected."""
        lost = LostRun(
            TASK, 1, "w1", 1, was_running=True, was_registered=True, age_seconds=age_seconds
        )
        self.scheduler.crashes.merge([lost], self.now)
        self.scheduler.losses_changed(self.now)

    def states(self) -> list[LossState]:
        return [lost.state for lost in self.scheduler.crashes.records(self.now)]

    def test_later_end_proves_a_loss_after_which_the_process_has_answered(self):
        self.now += 5.0
        self.answer("w1", 1)
        self.receive(age_seconds=2.0)
        self.scheduler.worker_replaced("w1", self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(TASK), 0)

    def test_later_boot_proves_a_loss_after_which_the_former_one_has_answered(self):
        self.now += 5.0
        self.answer("w1", 1)
        self.answer("w1", 2)
        self.receive(age_seconds=2.0)
        self.answer("w1", 2)
        self.assertEqual(self.scheduler.crashes.crashed_workers(TASK), 0)

    def test_record_of_a_refuted_loss_lends_its_evidence_to_a_later_one(self):
        (start,) = self.submit()
        self.now += 5.0
        self.answer(start.worker, 1, start.key)
        self.scheduler.workers[start.worker].lease_extended_at = self.now
        self.fail_polls(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.states(), [LossState.PROVEN])
        self.receive(age_seconds=2.0)
        self.scheduler.crashes.confirm_registered(start.worker, 1, self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(TASK), 0)

    def test_loss_since_the_latest_answer_is_refuted_without_a_new_one(self):
        self.answer("w1", 1)
        self.now += 5.0
        self.receive(age_seconds=2.0)
        self.assertEqual(self.states(), [LossState.SUSPECTED])
        self.assertIn("w1", [effect.worker for effect in self.effects(PollWorker)])
        self.scheduler.worker_replaced("w1", self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(TASK), 1)

    def test_answer_to_a_poll_from_before_the_loss_refutes_it(self):
        (start,) = self.submit()
        sent_at = self.now
        self.now += 0.1
        self.list_workers()
        self.scheduler.worker_closed(start.worker, self.now)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.answer(start.worker, 1, start.key, sent_at=sent_at)
        self.assertEqual(self.states(), [LossState.SUSPECTED])
        self.assertIn(start.worker, [effect.worker for effect in self.effects(PollWorker)])
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.crashed_workers(start), 1)

    def test_answer_to_a_later_poll_does_not_refute_a_loss(self):
        (start,) = self.submit()
        self.scheduler.worker_closed(start.worker, self.now)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.answer(start.worker, 1, start.key)
        self.assertEqual(self.states(), [LossState.REFUTED])

    def test_answers_of_former_boots_are_kept_without_end(self):
        self.answer("w1", 2)
        self.now += RETENTION_SECONDS + 1.0
        self.answer("w1", 3)
        self.scheduler.tick(self.now)
        self.assertEqual(set(self.scheduler.crashes.heard), {("w1", 3)})
