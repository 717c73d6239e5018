import logging
from unittest import TestCase

import structlog

from cranberryshore_proof.checks import INVARIANTS
from cranberryshore_proof.faults import Fault, FaultKind
from cranberryshore_proof.history import History, JobHistory, ObservedAnswer, ObservedTaskStart
from cranberryshore_proof.simulation import run_history

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=quiet)


class HistoriesTest(TestCase):
    def assert_held(self, outcome):
        violations = [
            violation for verdict in outcome.verdicts.values() for violation in verdict.violations
        ]
        self.assertEqual(violations, [])
        self.assertTrue(outcome.history.starts)

    def test_drawn_histories(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assert_held(run_history(seed))

    def test_same_seed_gives_the_same_history(self):
        one, two = run_history(3), run_history(3)
        self.assertEqual(one.history.starts, two.history.starts)
        self.assertEqual(one.history.jobs, two.history.jobs)

    def test_replaced_worker_is_not_forgotten(self):
        # Cause: seed 20033, the owner's record forgot a replaced worker.
        self.assert_held(run_history(20033))

    def test_closed_owner_starts_nothing_under_its_next_incarnation(self):
        # Cause: seed 150038.
        self.assert_held(run_history(150038))

    def test_instance_woken_from_a_pause_asks_for_leaving_upstreams(self):
        # Cause: seed 140012.
        self.assert_held(run_history(140012))

    def test_instance_sampled_in_the_moment_of_its_start(self):
        self.assert_held(run_history(520018))

    def test_two_faults_at_once(self):
        for one in (FaultKind.KILL_ENTRY, FaultKind.FREEZE_ENTRY, FaultKind.CUT_ZONE):
            for other in (FaultKind.STORE_DOWN, FaultKind.KILL_WORKER):
                faults = (Fault(one, 3.0, 4.0, 1, 2), Fault(other, 3.1, 4.0, 1, 0))
                with self.subTest(one=one, other=other):
                    self.assert_held(run_history(7, faults))


class ChecksTest(TestCase):
    def test_each_check_sees_a_violation_in_its_own_history(self):
        start = ObservedTaskStart(1.0, "w", "o", "id", 0)
        told = ObservedAnswer(2.0, "failed", None, "not_run", "owner_lost", True, "id")
        part = ObservedAnswer(3.0, "complete", ("id/0/x",), None, None, True, "id")
        history = History(
            jobs=[JobHistory("id", "desk", ("x", "y"), answers=[told, part])],
            starts=[start, start],
        )
        violated = {name for name, check in INVARIANTS.items() if check(history).violations}
        self.assertEqual(
            violated,
            {
                "task-starts-once",
                "answer-complete-or-failed",
                "whole-answer-to-its-own-caller",
                "not-run-is-true",
            },
        )
