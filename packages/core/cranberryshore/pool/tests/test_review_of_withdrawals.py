from unittest import TestCase

from cranberryshore.pool import CrashHistory, LossState, StartRun
from cranberryshore.pool.crashes import MAX_LOST_WORKERS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request

DEADLY, SOUND, OTHER = "j.0.0.0", "k.0.0.0", "l.0.0.0"


class MergedWithdrawalTest(TestCase):
    """Starts that turn out to be refused after other instances have the record of the loss."""

    def setUp(self):
        self.history, self.other = CrashHistory(), CrashHistory()

    def send(self) -> None:
        self.other.merge(self.history.take_changes(0.0), 0.0)

    def send_back(self) -> None:
        self.history.merge(self.other.records(0.0), 0.0)

    def lose(self) -> None:
        """Lose a worker on which a deadly task runs while a sound one is on its way to it."""
        runs = {(DEADLY, 1): True, (SOUND, 1): False}
        self.history.record("w1", 1, runs, LossState.SUSPECTED, 0.0)
        self.send()

    def prove(self, history: CrashHistory) -> None:
        history.resolve("w1", None, 0.0)
        history.confirm_registered("w1", 1, 0.0)

    def lose_another(self, history: CrashHistory) -> None:
        runs = {(DEADLY, 2): True, (OTHER, 1): True}
        history.record("w2", 1, runs, LossState.PROVEN, 5.0)
        history.confirm_registered("w2", 1, 5.0)

    def test_culprit_beside_a_refused_start_is_let_go_by_the_next_scheduler(self):
        self.lose()
        self.history.withdraw("w1", 1, (SOUND, 1))
        self.prove(self.history)
        self.lose_another(self.history)
        self.send()
        self.assertTrue(self.history.is_culprit(DEADLY))
        self.assertTrue(self.other.is_culprit(DEADLY))

    def test_task_is_a_suspect_at_other_instances_that_had_the_proof_before_the_refusal(self):
        self.lose()
        self.prove(self.history)
        self.send()
        self.history.withdraw("w1", 1, (SOUND, 1))
        self.send()
        self.assertFalse(self.history.is_suspect(SOUND))
        self.assertFalse(self.other.is_suspect(SOUND))

    def test_task_is_a_suspect_again_for_a_proof_by_another_instance(self):
        self.lose()
        self.history.withdraw("w1", 1, (SOUND, 1))
        self.prove(self.other)
        self.send_back()
        self.assertFalse(self.history.is_suspect(SOUND))

    def test_task_is_a_suspect_again_for_a_later_copy_of_its_own_record(self):
        self.lose()
        self.prove(self.history)
        self.send()
        self.history.withdraw("w1", 1, (SOUND, 1))
        self.send_back()
        self.assertFalse(self.history.is_suspect(SOUND))

    def test_job_failed_for_a_record_that_kept_the_company_of_an_earlier_loss(self):
        # The other instance has missed that the loss behind a partition was refuted.
        late = CrashHistory()
        self.other.record("w1", 1, {(SOUND, 1): False}, LossState.SUSPECTED, 0.0)
        late.merge(self.other.take_changes(0.0), 0.0)
        late.resolve("w1", 1, 0.1)
        runs = {(SOUND, 1): True, (DEADLY, 1): True}
        self.history.record("w1", 1, runs, LossState.PROVEN, 5.0)
        self.history.confirm_registered("w1", 1, 5.0)
        runs = {(SOUND, 2): True, (OTHER, 1): True}
        self.history.record("w2", 1, runs, LossState.PROVEN, 6.0)
        self.history.confirm_registered("w2", 1, 6.0)
        late.merge(self.history.take_changes(6.0), 6.0)
        self.assertFalse(self.history.is_culprit(SOUND))
        self.assertFalse(late.is_culprit(SOUND))


class LaterBootTest(LostWorkerTestCase):
    """Starts under a former attempt number, rejected by a later start of the lost worker."""

    def setUp(self):
        super().setUp()
        self.history = self.scheduler.crashes

    def crash_beside(self, worker: str, beside: str) -> None:
        """Record a crash under a task, beside one whose start was not answered."""
        runs = {(SOUND, 1): True, (beside, 1): False}
        self.history.record(worker, 1, runs, LossState.PROVEN, self.now)
        self.history.confirm_registered(worker, 1, self.now)

    def reject_on_later_boot(self, task: str) -> None:
        """Let the next scheduler number the starts of a task anew."""
        self.scheduler.workers["w1"].born = 2
        self.scheduler.start_rejected("w1", (task, 1), False, self.now, is_paused=True)

    def test_job_failed_for_a_start_that_a_later_boot_rejected(self):
        self.crash_beside("w1", DEADLY)
        self.crash_beside("w2", OTHER)
        self.assertFalse(self.history.is_culprit(SOUND))
        self.reject_on_later_boot(DEADLY)
        self.assertFalse(self.history.is_culprit(SOUND))

    def test_loss_is_withdrawn_for_a_start_that_a_later_boot_rejected(self):
        self.crash_beside("w1", DEADLY)
        self.reject_on_later_boot(DEADLY)
        self.assertTrue(self.history.is_suspect(DEADLY))

    def test_lapsed_losses_are_withdrawn_for_a_start_that_a_later_boot_rejected(self):
        for worker in ("w1", "w2"):
            self.history.record_lapsed(worker, 1, [(DEADLY, 1)], self.now)
        self.assertTrue(self.history.must_run_alone(DEADLY))
        self.reject_on_later_boot(DEADLY)
        self.assertTrue(self.history.must_run_alone(DEADLY))


class RefusedExposureTest(LostWorkerTestCase):
    """What else is entered when a worker is lost with a start that turns out to be refused."""

    def test_suspects_wait_for_a_worker_whose_suspect_never_began(self):
        (start,) = self.submit()
        self.crash(start.worker)
        self.poll_idle(start.worker)
        (again,) = self.effects(StartRun)
        self.scheduler.worker_refuses(again.worker, self.now)
        self.scheduler.start_rejected(again.worker, again.key, False, self.now)
        workers = self.scheduler.workers.values()
        self.assertTrue(self.scheduler.placer.isolation.may_start(workers, "s", self.now))

    def test_queue_is_confined_for_starts_that_were_refused(self):
        for number in range(3, 17):
            self.add_worker(f"w{number}")
            self.poll(f"w{number}")
        self.poll_idle()
        self.scheduler.submit(request(count=MAX_LOST_WORKERS, millicores=2000), "e", self.now)
        for start in self.effects(StartRun):
            self.scheduler.worker_refuses(start.worker, self.now)
            self.scheduler.start_rejected(start.worker, start.key, False, self.now)
            self.now += 0.2
        isolation, workers = self.scheduler.placer.isolation, self.scheduler.workers.values()
        self.assertIsNone(isolation.confined_workers("q", "s", workers, self.now))

    def test_job_counts_as_started_for_a_start_that_was_refused_after_the_successor_answered(self):
        self.scheduler.submit(request(), "e", self.now)
        (start,) = self.effects(StartRun)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)
        self.assertFalse(self.scheduler.jobs["j"].has_started)
