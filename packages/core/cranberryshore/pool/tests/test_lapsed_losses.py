from cranberryshore.pool import CrashHistory, EndKind, LossState, LostRun
from cranberryshore.pool.crashes import MAX_UNCLEAR_LOSSES, PROOF_SECONDS
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.tests.test_former_boots import RestartTestCase

TASK = "j.0.0.0"


class LapsedRunTest(RestartTestCase):
    """Workers whose hosts end with them: they return when the leases of their runs are over."""

    def lapse(self, name: str) -> None:
        self.fail_polls(name)
        self.now += LEASE_EXPIRY_SECONDS + 0.1
        self.scheduler.tick(self.now)

    def records(self) -> list[LostRun]:
        return list(self.scheduler.crashes.records(self.now))

    def test_end_of_a_host_under_a_task_leaves_no_record(self):
        (start,) = self.submit()
        self.lapse(start.worker)
        self.answer(start.worker, 2)
        (lost,) = self.records()
        self.assertEqual((lost.task, lost.born, lost.state), (TASK, 1, LossState.PROVEN))
        self.assertTrue(lost.has_lapsed)

    def test_end_of_a_host_whose_address_another_worker_has_leaves_no_record(self):
        (start,) = self.submit()
        self.lapse(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual([lost.has_lapsed for lost in self.records()], [True])

    def test_worker_that_answers_again_after_a_lapse_counts_as_ended_later(self):
        (start,) = self.submit()
        self.lapse(start.worker)
        self.answer(start.worker, 1)
        self.answer(start.worker, 2)
        self.assertEqual(self.records(), [])

    def test_task_that_was_done_elsewhere_after_a_lapse_is_recorded(self):
        (start,) = self.submit()
        self.lapse(start.worker)
        (again,) = self.starts_after_polls(start.worker)
        self.end(again, EndKind.DONE)
        self.answer(start.worker, 2)
        self.assertEqual(self.records(), [])

    def test_task_is_blamed_or_isolated_for_one_lapse_on_a_worker_that_has_restarted(self):
        (start,) = self.submit()
        self.lapse(start.worker)
        self.answer(start.worker, 2)
        self.assertEqual(self.crashed_workers(start), 0)
        self.assertFalse(self.scheduler.crashes.is_suspect(TASK))


class LapsedRecordTest(RestartTestCase):
    """Records of runs that had lapsed before the end of their workers was known."""

    def setUp(self):
        super().setUp()
        self.crashes = CrashHistory()

    def lose_lapsed(self, count: int) -> None:
        for number in range(count):
            self.crashes.record_lapsed(f"w{number}", 1, [(TASK, number)], float(number))

    def test_task_waits_after_a_number_of_lapsed_losses(self):
        self.lose_lapsed(MAX_UNCLEAR_LOSSES - 1)
        self.assertTrue(self.crashes.is_suspect(TASK))
        self.assertFalse(self.crashes.awaits_proof(TASK, MAX_UNCLEAR_LOSSES))
        self.lose_lapsed(MAX_UNCLEAR_LOSSES)
        self.assertTrue(self.crashes.awaits_proof(TASK, MAX_UNCLEAR_LOSSES + PROOF_SECONDS))
        self.assertFalse(self.crashes.is_culprit(TASK))

    def test_refusal_that_was_noticed_is_kept_when_another_instance_knows_the_lapse(self):
        self.lose_lapsed(1)
        self.crashes.merge([LostRun(TASK, 0, "w0", 1, state=LossState.PROVEN)], 1.0)
        (lost,) = self.crashes.records(1.0)
        self.assertFalse(lost.has_lapsed)
        self.assertTrue(self.crashes.is_suspect(TASK))
