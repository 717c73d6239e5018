"""Replays of the load that the rules on common causes are for."""

from random import Random
from unittest import TestCase

from cranberryshore.pool import Outcome
from cranberryshore.pool.tests.crash_replay import generate_jobs, make_crash_replay

BUDGET_MS = 20_000
MAX_STARTS = 5
"""After three workers have crashed under a task, it may be started twice more."""


class CrashLoadTest(TestCase):
    def test_jobs_failed_in_waves_of_crashes_on_a_pool_with_idle_workers(self):
        for share, jobs_per_second in ((0.3, 8.0), (0.3, 20.0), (0.2, 20.0)):
            replay = make_crash_replay(24, seed=1)
            replay.play_waves(share, 1.8, 30.0)
            replay.play(generate_jobs(Random(2), "s", jobs_per_second, 30.0, BUDGET_MS), 55.0)
            self.assertGreater(len(replay.crashed_at), 50)
            self.assertEqual(replay.failed, {}, (share, jobs_per_second))

    def test_culprits_excuse_each_other_on_a_large_pool(self):
        replay = make_crash_replay(540, seed=1)
        deadly = generate_jobs(Random(2), "d", 12.0, 6.0, BUDGET_MS)
        replay.deadly = {arrival.request.id for arrival in deadly}
        sound = generate_jobs(Random(3), "s", 30.0, 6.0, BUDGET_MS)
        outcomes = replay.play(deadly + sound, 30.0)
        self.assertEqual(replay.failed.keys(), replay.deadly)
        self.assertLessEqual(max(replay.starts.values()), MAX_STARTS)
        completed = [item for item in outcomes if item.outcome is Outcome.COMPLETED]
        self.assertEqual(len(completed), len(sound))
