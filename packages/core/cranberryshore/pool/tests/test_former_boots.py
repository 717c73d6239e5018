from unittest import TestCase

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    PollWorker,
    ReportedEnd,
    ReportedRun,
    StartRun,
    StepSpec,
    WorkerStatus,
)
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.work import Capacity


class RestartTestCase(LostWorkerTestCase):
    """Workers that answer as another start of their process."""

    def answer(self, name: str, born: int, *running, ended=(), sent_at=None) -> None:
        self.now += 0.01
        sent_at = self.now if sent_at is None else sent_at
        listed = tuple(ReportedRun(*key) for key in running)
        status = WorkerStatus(born, 0, listed, tuple(ended))
        token = self.scheduler.workers[name].token
        self.scheduler.record_status(name, status, token, sent_at, self.now)

    def crashed_workers(self, start: StartRun) -> int:
        """Return the number of crashes under a task, if no worker has left."""
        for born in (1, 2):
            self.scheduler.crashes.confirm_registered(start.worker, born, self.now)
        return self.scheduler.crashes.crashed_workers(start.key[0])


class FormerBootTest(RestartTestCase):
    """What is known of a start of a worker process, after another start of it."""

    def test_late_answer_of_a_former_boot_is_a_crash_of_the_present_one(self):
        sent_at = self.now
        for name in ("w1", "w2"):
            self.answer(name, 2)
            relist(self.scheduler, name)
        (start,) = self.submit()
        self.answer(start.worker, 2, start.key)
        self.fail_polls(start.worker)
        self.answer(start.worker, 1, sent_at=sent_at)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_answer_without_a_boot_is_a_crash(self):
        (start,) = self.submit()
        self.fail_polls(start.worker)
        self.answer(start.worker, 0, start.key)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_run_that_a_later_boot_reports_was_lost_with_the_former_one(self):
        # The worker has restarted before the start, which the scheduler learns only now.
        (start,) = self.submit()
        self.fail_polls(start.worker)
        self.answer(start.worker, 2, start.key)
        self.assertIn(start.key, self.scheduler.workers[start.worker].runs)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_worker_stays_isolated_for_what_its_former_boot_did(self):
        health = self.scheduler.statistics.health
        health.isolate("w1", 60.0, self.now)
        self.answer("w1", 2)
        self.assertGreater(health.allowance("w1", self.now), 0)
        self.assertEqual(health.placement_rank("w1"), 0)

    def test_ends_of_a_restarted_worker_are_not_acknowledged_when_it_is_idle(self):
        worker = self.scheduler.workers["w1"]
        worker.last_seen = worker.acknowledged_end = 7
        self.answer("w1", 2, ended=[ReportedEnd(1, "x.0.0.0", 1, EndKind.DONE)])
        self.assertGreater(worker.last_seen, worker.acknowledged_end)


class RegistrationOfFormerBootTest(RestartTestCase):
    """Registrations and answers of different starts of a worker process."""

    def register(self, *labels: str, born: int) -> None:
        relist(self.scheduler, "w1", labels=labels, born=born)

    def submit_labelled(self) -> list[str]:
        step = StepSpec(1, Capacity(1000, 10), 100, label="a")
        return [start.worker for start in self.submit(steps=(step,))]

    def test_task_is_started_by_the_labels_of_a_former_boot(self):
        self.register("a", born=1)
        self.answer("w1", 2)
        self.assertEqual(self.submit_labelled(), [])
        self.register("a", born=2)
        self.scheduler.tick(self.now)
        self.assertEqual([start.worker for start in self.starts()], ["w1"])

    def test_task_is_started_by_the_labels_of_a_boot_that_has_not_answered(self):
        self.register("a", born=2)
        self.assertIn("w1", [effect.worker for effect in self.effects(PollWorker)])
        self.assertEqual(self.submit_labelled(), [])
        self.answer("w1", 2)
        self.assertEqual([start.worker for start in self.starts()], ["w1"])

    def test_worker_is_polled_again_before_its_first_answer(self):
        worker = HeldWorker("w3", "w3", "z", "s", Capacity(1), frozenset(), 1, registered_born=1)
        self.scheduler.add_worker(worker, self.now)
        self.assertEqual([effect.worker for effect in self.effects(PollWorker)], ["w3"])
        relist(self.scheduler, "w3", born=1)
        self.assertEqual(self.effects(PollWorker), [])


class LateAnswerTest(TestCase):
    def test_ended_run_in_a_late_answer_is_a_run_of_another_scheduler(self):
        worker = HeldWorker(
            "w", "w", "z", "s", Capacity(4000, 1000), frozenset(), 10, registered_born=1
        )
        worker.record_status(WorkerStatus(1, 0, (), ()), 10, 0.0, 0.1)
        key = ("j.0.0.0", 1)
        worker.add_run(key, Capacity(1000, 64), 0.2)
        worker.confirm_start(key, 0.21)
        end = ReportedEnd(1, *key, EndKind.FAILED)
        worker.record_status(WorkerStatus(1, 450, (), (end,)), 10, 0.4, 0.5)
        worker.record_status(WorkerStatus(1, 350, (ReportedRun(*key),), ()), 10, 0.3, 0.6)
        self.assertFalse(worker.strangers)
        self.assertTrue(worker.is_available())
