from cranberryshore.pool import EndKind, StopRun
from cranberryshore.pool.tests.test_scheduler import SchedulerTestCase

EXPECTED_SECONDS = 0.1


class SilentWorkerTest(SchedulerTestCase):
    """Workers that answer no poll for a while, with runs that go on afterwards."""

    def setUp(self):
        super().setUp()
        (self.start,) = self.submit(estimate_ms=int(EXPECTED_SECONDS * 1000))
        self.answer(0.05)

    def answer(self, seconds: float) -> list[StopRun]:
        """Let the worker answer after a time, and return the stops that follow."""
        self.now += seconds
        self.poll(self.start.worker, [self.start.key])
        return self.effects(StopRun)

    def answer_often(self, seconds: float) -> list[StopRun]:
        """Let the worker answer each poll in a time, and return the stops that follow."""
        return [stop for _ in range(round(seconds / 0.05)) for stop in self.answer(0.04)]

    def be_silent(self, seconds: float, failures: int) -> None:
        for number in range(failures):
            self.now += seconds / failures
            self.scheduler.record_poll_failure(self.start.worker, number + 1, self.now)

    def test_run_of_a_worker_that_was_silent_is_stopped_as_a_straggler(self):
        self.be_silent(0.5, failures=2)
        self.assertEqual(self.answer(0.0), [])
        health = self.scheduler.statistics.health
        self.assertGreater(health.allowance(self.start.worker, self.now), 1)

    def test_run_of_a_worker_that_has_missed_one_poll_is_stopped_as_a_straggler(self):
        self.be_silent(0.4, failures=1)
        self.assertEqual(self.answer(0.0), [])

    def test_run_that_hangs_after_a_silence_is_never_stopped(self):
        self.be_silent(0.5, failures=2)
        self.assertEqual(self.answer_often(0.2), [])
        self.assertEqual([stop.key for stop in self.answer_often(0.25)][:1], [self.start.key])

    def test_silence_before_a_run_counts_for_it(self):
        self.end(self.start, EndKind.DONE)
        self.be_silent(0.5, failures=1)
        (self.start,) = self.submit("k", estimate_ms=int(EXPECTED_SECONDS * 1000))
        self.assertEqual(self.answer_often(0.35), [])
        self.assertNotEqual(self.answer_often(0.15), [])

    def test_silence_counts_as_run_time(self):
        for number in range(5):
            self.be_silent(0.5, failures=2)
            self.end(self.start, EndKind.DONE)
            (self.start,) = self.submit(f"k{number}", estimate_ms=int(EXPECTED_SECONDS * 1000))
            record = self.scheduler.statistics.health.record_for(self.start.worker)
            self.assertEqual(record.run_ratio, 1.0)
        self.assertEqual(self.scheduler.statistics.run_times.regressions, {})
