from unittest import TestCase

from cranberryshore.pool import CrashHistory, LossState
from cranberryshore.pool.common_cause import MIN_SIMULTANEOUS_WORKERS

TASK = "j.0.0.0"


class CommonCauseTest(TestCase):
    """Waves of crashes, each of which hits the task on another worker."""

    def setUp(self):
        self.history = CrashHistory()

    def crash(self, worker: str, task: str, now: float, is_exposed: bool = False) -> None:
        born = int(now)
        self.history.record(
            worker, born, {(task, born): True}, LossState.PROVEN, now, is_exposed=is_exposed
        )
        self.history.confirm_registered(worker, born, now)

    def crash_in_wave(self, now: float, is_exposed: bool = False) -> None:
        self.crash("w0", TASK, now, is_exposed)
        for number in range(MIN_SIMULTANEOUS_WORKERS):
            self.crash(f"v{number}", f"k.0.0.{number}", now + 0.01)

    def test_job_failed_for_workers_that_crashed_in_separate_waves(self):
        self.crash_in_wave(1.0)
        self.crash_in_wave(5.0, is_exposed=True)
        self.assertEqual(self.history.crashed_workers(TASK), 0)
        self.assertFalse(self.history.is_culprit(TASK))

    def test_job_failed_for_a_wave_and_a_crash_by_itself(self):
        self.crash_in_wave(1.0)
        self.crash("w1", TASK, 5.0)
        self.assertEqual(self.history.crashed_workers(TASK), 1)

    def test_culprits_that_run_apart_at_the_same_time_are_let_go(self):
        for moment in (1.0, 5.0):
            for number in range(MIN_SIMULTANEOUS_WORKERS):
                self.crash(f"w{number}", f"j.0.0.{number}", moment, is_exposed=True)
        self.assertTrue(self.history.is_culprit(TASK))
