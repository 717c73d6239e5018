"""Replays with a known true effect, including none, which must change no decision."""

import unittest
from pathlib import Path
from unittest.mock import patch

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    InterferenceChanged,
    Scheduler,
    SchedulingPolicy,
)
from cranberryshore.pool.interference import PairEstimator, Separation
from cranberryshore.pool.interference.co_runners import Exposure, WorkerRuns
from cranberryshore.pool.interference.tests.interfering_replay import Scene, on_time_share
from cranberryshore.pool.run import RunEnd
from cranberryshore.settings.interference import InterferenceSettings
from cranberryshore.work.capacity import Capacity

SLOWDOWNS = {("seat", "slot"): 1.5, ("slot", "seat"): 1.5}
DEPLOYED = Path(__file__).parents[6] / "deploy" / "settings.json"
DEMAND = Capacity(1000, 1)


class NoEffectTest(unittest.TestCase):
    """Guards against pairs that count by chance, or because long runs meet more co-runners."""

    def check(self, **parameters):
        for seed in (1, 2, 3):
            scene = Scene(seed=seed, seconds=8.0, **parameters)
            former, present = scene.replay(False), scene.replay(True)
            self.assertEqual(present.pairs, [], seed)
            self.assertEqual(former.starts, present.starts, seed)

    def test_noise(self):
        self.check()

    def test_heavy_tails(self):
        self.check(tail_share=1 / 33)

    def test_one_slow_worker(self):
        self.check(slow_workers={"w003": 3.0}, tail_share=1 / 33)

    def test_one_slow_queue(self):
        self.check(slow_queue="gate", rate=0.5)

    def test_uneven_workers_of_unknown_speeds(self):
        uneven = {f"w{number:03}": 1.4 for number in range(0, 24, 2)}
        self.check(slow_workers=uneven, tail_share=1 / 33)


class EffectTest(unittest.TestCase):
    def test_effect_is_learned_and_used(self):
        for seed in (1, 2):
            scene = Scene(SLOWDOWNS, workers=48, rate=1.0, seed=seed)
            former, present = scene.replay(False), scene.replay(True)
            self.assertTrue(present.pairs, seed)
            at, pairs = present.pairs[0]
            self.assertLess(at, 8.0)
            self.assertLessEqual(pairs, SLOWDOWNS.keys())
            self.assertGreater(on_time_share(present), on_time_share(former))
            self.assertEqual(present.overloads, 0)

    def test_ended_effect_is_forgotten(self):
        # Guards against a separation of tasks that do not slow each other down any more.
        present = Scene(SLOWDOWNS, until=7.0, workers=48, seconds=20.0).replay(True)
        self.assertTrue(present.pairs[0][1])
        self.assertLess(present.pairs[0][0], 7.0)
        self.assertFalse(present.pairs[-1][1])
        self.assertLess(present.pairs[-1][0], 17.0)


class EstimatorTest(unittest.TestCase):
    def test_too_few_samples_do_not_count(self):
        estimator = PairEstimator()
        for number in range(22):
            count = number % 2
            exposure = Exposure({"b": count}, {"b": float(count)})
            estimator.record("w", "b", Exposure({}, {}), 0.0, 1.0)
            estimator.record("w", "a", exposure, 0.5 * count, 1.0)
        estimator.refresh(0.0)
        self.assertEqual(estimator.counted, {})

    def test_adopted_run_beside_another_makes_its_sample_unknown(self):
        # Guards against runs beside another holder's run that count as undisturbed.
        for is_adopted in (False, True):
            worker, runs = (
                HeldWorker("w", "w", "z", "p", DEMAND, frozenset(), 1, registered_born=1),
                WorkerRuns(),
            )
            if is_adopted:
                worker.adopt_run(("x", 1), DEMAND, 0.0)
                worker.runs[("x", 1)].is_adopted = True
            worker.add_run(("t", 1), DEMAND, 1.0)
            runs.run_started(worker, ("t", 1), "a", True, 1.0)
            end = RunEnd(("t", 1), EndKind.DONE, worker.remove_run(("t", 1)))
            self.assertIs(runs.run_ended(worker, end, "a", 2.0) is None, is_adopted)

    def test_co_runners_are_weighted_by_time(self):
        worker, runs = (
            HeldWorker("w", "w", "z", "p", DEMAND, frozenset(), 1, registered_born=1),
            WorkerRuns(),
        )
        for number, key in enumerate((("t", 1), ("u", 1))):
            worker.add_run(key, DEMAND, float(number))
            runs.run_started(worker, key, "ab"[number], True, float(number))
        end = RunEnd(("t", 1), EndKind.DONE, worker.remove_run(("t", 1)))
        exposure = runs.run_ended(worker, end, "a", 4.0)
        self.assertEqual(exposure.initial, {})
        self.assertEqual(exposure.mean, {"a": 0.0, "b": 0.75})


class WiringTest(unittest.TestCase):
    def test_off_by_default_and_on_where_enabled(self):
        self.assertEqual(Scheduler().ender.observers, [])
        self.assertEqual(Scheduler().placer.start_observers, [])
        policy = SchedulingPolicy(interference=InterferenceSettings(is_enabled=True))
        scheduler = Scheduler(policy=policy)
        self.assertIsInstance(scheduler.ender.observers[0], Separation)
        # Its cost is above its bound, so the deployments have it off: docs/design/interference.md.
        self.assertNotIn('"interference"', DEPLOYED.read_text(encoding="utf-8"))

    def test_changes_are_logged_at_most_once_in_five_seconds(self):
        scheduler = Scheduler()
        separation = Separation(scheduler.statistics, [])
        for number in range(40):
            counted = {("a", "b"): 0.4} if number % 2 else {}

            def refresh(estimator, now, counted=counted):
                estimator.counted = counted

            with patch.object(PairEstimator, "refresh", refresh):
                separation.refresh(number * 0.5)
        logged = [item for item in separation.effects if isinstance(item, InterferenceChanged)]
        self.assertLessEqual(len(logged), 4)
        self.assertEqual(logged[0].slowdowns, {"a beside b": 1.49})


if __name__ == "__main__":
    unittest.main()
