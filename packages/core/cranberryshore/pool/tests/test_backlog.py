from unittest import TestCase, mock

from cranberryshore.pool.backlog import Backlog
from cranberryshore.pool.tests.load_replay import Burst, answered_share, earned_share
from cranberryshore.pool.tests.test_load import SEEDS, replay_load
from cranberryshore.pool.work import Outcome

REMAINING_WORKERS = 14
"""Workers that are left of 24 while a kind of jobs crashes the others."""

MILD_BURST = (Burst(4, 8, 1.15),)


def no_jobs(self, waiting, config, now):
    return []


def replay(**options):
    """Return the earned share, the answered share and the times of the refusals."""
    results = [replay_load(seed, **options)[1] for seed in SEEDS]
    refusals = [
        item.seconds for result in results for item in result if item.outcome is Outcome.REFUSED
    ]
    earned = sum(earned_share(result) for result in results) / len(results)
    return earned, sum(answered_share(result) for result in results) / len(results), refusals


class HopelessJobsTest(TestCase):
    def test_jobs_are_held_to_the_end_without_being_tried(self):
        earned, _, refusals = replay(worker_count=REMAINING_WORKERS)
        with mock.patch.object(Backlog, "find_hopeless_jobs", no_jobs):
            earned_without, _, refusals_without = replay(worker_count=REMAINING_WORKERS)
        self.assertGreaterEqual(earned, earned_without)
        self.assertLess(sum(refusals) / len(refusals), 0.25)
        self.assertGreater(sum(refusals_without) / len(refusals_without), 0.9)

    def test_short_overload_is_served_all_the_same(self):
        earned, answered, _ = replay(bursts=MILD_BURST)
        with mock.patch.object(Backlog, "find_hopeless_jobs", no_jobs):
            earned_without, answered_without, _ = replay(bursts=MILD_BURST)
        self.assertGreaterEqual(earned, earned_without - 0.001)
        self.assertGreaterEqual(answered, answered_without - 0.002)
