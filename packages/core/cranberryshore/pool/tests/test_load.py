"""Replays of the worst load, with the decisions of the product against plain ones."""

from unittest import TestCase, mock

import attrs

from cranberryshore.pool import ordering, run_statistics
from cranberryshore.pool.learning import RunTimeModel
from cranberryshore.pool.tests.load_replay import (
    Burst,
    answered_share,
    consortium_replay,
    draw_load,
    earned_share,
)
from cranberryshore.pool.work import Outcome

PER_SECOND = 77.0
CALLER_BUDGET_MS = 2500
BURSTS = (Burst(4, 8, 1.3), Burst(4, 8, 1.7, "slot"))
SEEDS = (1, 2, 3)


def by_arrival(job, now):
    return (0 if job.has_started else 1, job.arrived_at)


def by_latest_start(job, now):
    return (0 if job.has_started else 1, job.latest_start_at)


def play(seed: int, worker_count: int = 24, bursts=BURSTS):
    replay = consortium_replay(worker_count)
    served = replay.play(draw_load(seed, 14, PER_SECOND, bursts))
    return replay, served


def mean_earned(order=None, **options) -> float:
    if order is None:
        return sum(earned_share(play(seed, **options)[1]) for seed in SEEDS) / len(SEEDS)
    with mock.patch.object(ordering, "waiting_sort_key", order):
        return mean_earned(**options)


class OverloadTest(TestCase):
    def test_order_under_a_burst_beats_the_plain_ones(self):
        earned = mean_earned()
        self.assertGreater(earned, mean_earned(by_arrival) + 0.01)
        self.assertGreater(earned, mean_earned(by_latest_start) + 0.01)

    def test_workers_that_stand_still(self):
        def earned(seed: int) -> float:
            replay = consortium_replay()
            for name in ("w01", "w07", "w13"):
                replay.workers[name].slowness = 1000.0
            arrivals = draw_load(seed, 10, 55.0)
            for arrival in arrivals:
                arrival.request = attrs.evolve(arrival.request, budget_ms=CALLER_BUDGET_MS)
            return earned_share(replay.play(arrivals))

        def never(ran_seconds: float, expected_seconds: float) -> bool:
            return False

        stopped = [earned(seed) for seed in SEEDS]
        with mock.patch.object(run_statistics, "is_straggler", never):
            left = [earned(seed) for seed in SEEDS]
        self.assertGreater(sum(stopped), sum(left) + 0.01 * len(SEEDS))

    def test_every_kind_and_size_is_served(self):
        _, served = play(1)
        for kind in ("gate", "seat", "slot"):
            chosen = [item for item in served if item.arrival.kind.name == kind]
            chosen.sort(key=lambda item: item.arrival.worth)
            largest = chosen[-len(chosen) // 10 :]
            self.assertGreaterEqual(answered_share(largest), 0.5 * answered_share(chosen))

    def test_no_worker_over_its_room_and_every_job_answered(self):
        replay, served = play(2, worker_count=19)
        self.assertEqual(replay.overloads, 0)
        self.assertNotIn(None, [item.outcome for item in served])

    def test_nothing_is_refused_while_workers_stand_free(self):
        _, served = play(3, bursts=())
        self.assertNotIn(Outcome.REFUSED, [item.outcome for item in served])


class LearningTest(TestCase):
    def test_line_beats_the_estimate_and_the_mean(self):
        times = RunTimeModel()
        arrivals = [item for item in draw_load(1, 60, 40.0) if item.kind.name == "slot"]
        errors, plain, mean = 0.0, 0.0, 0.0
        for number, arrival in enumerate(arrivals):
            run, estimate = max(arrival.runs) * 1000, arrival.request.steps[0].estimate_ms
            if number > 100:
                errors += abs(times.expected_ms("slot", estimate) - run)
                plain += abs(estimate - run)
                mean += abs(220 - run)
            times.update("slot", run, estimate)
        self.assertLess(errors, 0.9 * plain)
        self.assertLess(errors, 0.95 * mean)
