"""Tests of the load policies, which compare them with simpler ones on replayed overloads."""

from unittest import TestCase, mock

import attrs

from cranberryshore.pool import ordering, run_statistics
from cranberryshore.pool.learning import RunTimeModel
from cranberryshore.pool.tests.load_replay import (
    Burst,
    answered_share,
    earned_share,
    generate_load,
    make_replay,
)
from cranberryshore.pool.work import Outcome

JOBS_PER_SECOND = 77.0
SHORT_CALLER_TIMEOUT_MS = 2500
BURSTS = (Burst(4, 8, 1.3), Burst(4, 8, 1.7, "slot"))
SEEDS = (1, 2, 3)


def arrival_order(job, now):
    return (0 if job.has_started else 1, job.arrived_at)


def latest_start_order(job, now):
    return (0 if job.has_started else 1, job.latest_start_at)


def replay_load(seed: int, worker_count: int = 24, bursts=BURSTS):
    replay = make_replay(worker_count)
    outcomes = replay.simulate(generate_load(seed, 14, JOBS_PER_SECOND, bursts))
    return replay, outcomes


def mean_earned_share(order=None, **options) -> float:
    if order is None:
        return sum(earned_share(replay_load(seed, **options)[1]) for seed in SEEDS) / len(SEEDS)
    with mock.patch.object(ordering, "waiting_sort_key", order):
        return mean_earned_share(**options)


class OverloadTest(TestCase):
    def test_placement_order_outperforms_simple_orders_in_bursts(self):
        earned = mean_earned_share()
        self.assertGreater(earned, mean_earned_share(arrival_order) + 0.01)
        self.assertGreater(earned, mean_earned_share(latest_start_order) + 0.01)

    def test_stopping_stragglers_improves_earnings(self):
        def earned(seed: int) -> float:
            replay = make_replay()
            for name in ("w01", "w07", "w13"):
                replay.workers[name].slowdown = 1000.0
            arrivals = generate_load(seed, 10, 55.0)
            for arrival in arrivals:
                arrival.request = attrs.evolve(arrival.request, budget_ms=SHORT_CALLER_TIMEOUT_MS)
            return earned_share(replay.simulate(arrivals))

        def never(ran_seconds: float, expected_seconds: float, earlier_stragglers: int) -> bool:
            return False

        stopped = [earned(seed) for seed in SEEDS]
        with mock.patch.object(run_statistics, "is_straggler", never):
            left = [earned(seed) for seed in SEEDS]
        self.assertGreater(sum(stopped), sum(left) + 0.01 * len(SEEDS))

    def test_large_jobs_of_every_kind_are_answered(self):
        _, outcomes = replay_load(1)
        for kind in ("gate", "seat", "slot"):
            chosen = [item for item in outcomes if item.arrival.kind.name == kind]
            chosen.sort(key=lambda item: item.arrival.answer_value)
            largest = chosen[-len(chosen) // 10 :]
            self.assertGreaterEqual(answered_share(largest), 0.5 * answered_share(chosen))

    def test_no_worker_is_overloaded_and_every_job_ends(self):
        replay, outcomes = replay_load(2, worker_count=19)
        self.assertEqual(replay.overloads, 0)
        self.assertNotIn(None, [item.outcome for item in outcomes])

    def test_no_job_is_refused_while_workers_are_idle(self):
        _, outcomes = replay_load(3, bursts=())
        self.assertNotIn(Outcome.REFUSED, [item.outcome for item in outcomes])


class LearningTest(TestCase):
    def test_regression_outperforms_estimate_and_mean(self):
        times = RunTimeModel()
        arrivals = [item for item in generate_load(1, 60, 40.0) if item.kind.name == "slot"]
        model_errors, estimate_errors, mean_errors = 0.0, 0.0, 0.0
        for number, arrival in enumerate(arrivals):
            run, estimate = max(arrival.runs) * 1000, arrival.request.steps[0].estimate_ms
            if number > 100:
                model_errors += abs(times.expected_ms("slot", estimate) - run)
                estimate_errors += abs(estimate - run)
                mean_errors += abs(220 - run)  # close to the mean longest run time
            times.update("slot", run, estimate)
        self.assertLess(model_errors, 0.9 * estimate_errors)
        self.assertLess(model_errors, 0.95 * mean_errors)
