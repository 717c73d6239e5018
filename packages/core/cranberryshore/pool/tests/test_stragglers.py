from cranberryshore.pool import EndKind, JobEnded, Outcome, StartRun, StopRun
from cranberryshore.pool.tests.test_scheduler import SchedulerTestCase

EXPECTED_SECONDS = 0.1


class LongTaskTest(SchedulerTestCase):
    """A task that takes longer on each worker than its job says."""

    def run_for(self, start: StartRun, seconds: float) -> bool:
        """Let a run go on for a time, and return whether it is stopped."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.04
            self.poll(start.worker, [start.key])
            if self.effects(StopRun):
                self.end(start, EndKind.STOPPED)
                return True
        return False

    def test_task_longer_than_its_estimate_is_stopped_until_its_time_is_over(self):
        (start,) = self.submit(estimate_ms=int(1000 * EXPECTED_SECONDS))
        self.assertTrue(self.run_for(start, 5 * EXPECTED_SECONDS))
        (start,) = self.starts_after_stop()
        self.assertFalse(self.run_for(start, 5 * EXPECTED_SECONDS))
        self.end(start, EndKind.DONE)
        self.assertEqual([end.outcome for end in self.effects(JobEnded)], [Outcome.COMPLETED])

    def test_task_that_hangs_on_a_second_worker_is_never_stopped(self):
        (start,) = self.submit(estimate_ms=int(1000 * EXPECTED_SECONDS))
        self.assertTrue(self.run_for(start, 5 * EXPECTED_SECONDS))
        (start,) = self.starts_after_stop()
        self.assertTrue(self.run_for(start, 8 * EXPECTED_SECONDS))

    def starts_after_stop(self) -> list[StartRun]:
        """Return the next starts, for which the clocks of idle workers are read."""
        starts = self.starts()
        if not starts:
            for name in ("w1", "w2"):
                self.poll(name)
            starts = self.starts()
        return starts
