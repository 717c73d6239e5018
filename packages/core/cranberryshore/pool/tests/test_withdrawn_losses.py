from cranberryshore.pool import CrashHistory, LossState, StartRun
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request

DEADLY, SOUND = "j.0.0.0", "k.0.0.0"


class RefusedStartTest(LostWorkerTestCase):
    """Starts that are refused after their workers were recorded as lost with them."""

    def send_two(self) -> tuple[StartRun, StartRun]:
        """Return two starts that are on their way to the same worker."""
        self.scheduler.workers["w2"].is_draining = True
        self.scheduler.submit(request(count=2), "e", self.now)
        first, second = self.effects(StartRun)
        self.assertEqual(first.worker, second.worker)
        return first, second

    def refuse(self, start: StartRun) -> None:
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)
        self.scheduler.worker_refuses(start.worker, self.now)

    def test_task_whose_start_was_refused_is_a_suspect(self):
        first, second = self.send_two()
        self.refuse(first)
        self.assertTrue(self.scheduler.crashes.is_suspect(second.key[0]))
        self.refuse(second)
        self.assertFalse(self.scheduler.crashes.is_suspect(second.key[0]))
        self.scheduler.worker_replaced(second.worker, self.now)
        self.assertFalse(self.scheduler.crashes.is_suspect(second.key[0]))

    def test_start_that_is_refused_after_the_successor_has_answered_stays_a_loss(self):
        first, second = self.send_two()
        self.refuse(first)
        self.scheduler.worker_replaced(second.worker, self.now)
        self.scheduler.start_rejected(second.worker, second.key, False, self.now)
        self.assertFalse(self.scheduler.crashes.is_suspect(second.key[0]))


class WithdrawnRecordTest(LostWorkerTestCase):
    """Records of losses, one of whose runs has never begun."""

    def setUp(self):
        super().setUp()
        self.history = CrashHistory()

    def test_other_instances_keep_the_record_of_a_start_that_was_refused(self):
        other = CrashHistory()
        self.history.record("w1", 1, {(SOUND, 1): False}, LossState.SUSPECTED, 0.0)
        other.merge(self.history.take_changes(0.0), 0.0)
        self.history.withdraw("w1", 1, (SOUND, 1))
        other.merge(self.history.take_changes(0.1), 0.1)
        self.assertFalse(other.is_suspect(SOUND))

    def test_task_is_not_the_culprit_beside_a_start_that_was_refused(self):
        self.history.record(
            "w1", 1, {(DEADLY, 1): True, (SOUND, 1): False}, LossState.SUSPECTED, 0.0
        )
        self.history.withdraw("w1", 1, (SOUND, 1))
        self.history.resolve("w1", 2, 0.0)
        self.history.confirm_registered("w1", 1, 0.0)
        self.history.record(
            "w2", 1, {(DEADLY, 2): True, ("l.0.0.0", 1): True}, LossState.PROVEN, 5.0
        )
        self.history.confirm_registered("w2", 1, 5.0)
        self.assertTrue(self.history.is_culprit(DEADLY))

    def test_run_that_was_there_is_withdrawn_with_another_one_of_its_attempt(self):
        # Attempts are numbered anew by the next scheduler.
        self.history.record("w1", 1, {(DEADLY, 1): True}, LossState.PROVEN, 0.0)
        self.history.withdraw("w1", 1, (DEADLY, 1))
        self.assertTrue(self.history.is_suspect(DEADLY))
