from cranberryshore.pool import EndKind, StartRun, UnsuccessfulRun
from cranberryshore.pool.tests.test_withdrawn_starts import RefusedStartTestCase


class NeverBeganTest(RefusedStartTestCase):
    """What is counted for a start that has never begun."""

    def task(self):
        (task,) = self.scheduler.jobs["j"].tasks
        return task

    def test_worker_that_refused_a_start_is_avoided_by_the_task(self):
        self.reject(self.send())
        self.assertEqual(self.task().avoided_workers, set())

    def test_refused_starts_count_as_failed_attempts(self):
        start = self.send()
        for _ in range(4):
            self.reject(start)
            (start,) = self.effects(StartRun)
        self.reject(start)
        self.assertEqual((self.task().failures, self.task().stragglers), (0, 0))
        self.assertEqual(self.task().attempt, 5)
        self.assertIn("j", self.scheduler.jobs)

    def test_refused_probe_of_an_isolated_worker_is_its_last_one(self):
        health = self.scheduler.statistics.health
        health.isolate("w1", 1.0, self.now - 2.0)
        start = self.send()
        self.assertEqual(health.allowance("w1", self.now), 0)
        self.reject(start)
        self.assertEqual(health.allowance("w1", self.now), 1)
        self.assertEqual(health.record_for("w1").failed_jobs, 0)

    def test_refused_start_is_learned_as_a_run(self):
        self.reject(self.send())
        health = self.scheduler.statistics.health
        self.assertEqual(health.success_rate, 1.0)
        self.assertEqual(health.record_for("w1").run_ratio, 1.0)
        (end,) = self.effects(UnsuccessfulRun)
        self.assertIs(end.kind, EndKind.NEVER_BEGAN)

    def test_run_that_was_only_requested_fails_its_task_when_another_process_answers(self):
        start = self.send()
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual((self.task().failures, self.scheduler.waiting_tasks()), (0, 1))
        self.assertEqual(self.crashed_workers(start), 0)
        (end,) = self.effects(UnsuccessfulRun)
        self.assertIs(end.kind, EndKind.VANISHED)

    def test_run_that_was_only_requested_is_not_awaited_after_a_later_boot_has_answered(self):
        start = self.send()
        self.answer(start.worker, 2)
        self.assertEqual(self.scheduler.waiting_tasks(), 0)
        self.scheduler.start_unanswered(start.worker, 9, self.now)
        self.answer(start.worker, 2)
        self.assertEqual(self.crashed_workers(start), 0)
        self.assertEqual(self.scheduler.crashes.records(self.now), ())
