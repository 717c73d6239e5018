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

    def test_random_histories(self):
        for seed in range(6):
            with self.subTest(seed=seed):
                self.assert_held(run_history(seed))

    def test_same_seed_gives_the_same_history(self):
        one, two = run_history(3), run_history(3)
        self.assertEqual(one.history.starts, two.history.starts)
        self.assertEqual(one.history.jobs, two.history.jobs)

    def test_owner_record_keeps_replaced_workers(self):
        # Regression: the owner's record in the store dropped a replaced worker, so a peer that
        # closed the owner answered *not run* for a job that had run there.
        self.assert_held(run_history(20033))

    def test_new_incarnation_does_not_start_tasks_of_a_closed_owner(self):
        # Regression: after the store reported an owner as closed, its queued jobs were started
        # under the next incarnation, although they had been answered as *not run*.
        self.assert_held(run_history(150038))

    def test_unfrozen_instance_does_not_use_leaving_upstreams(self):
        # Regression: after a freeze, an instance forwarded requests to an upstream that had begun
        # to leave, because it did not read the instance list first.
        self.assert_held(run_history(140012))

    def test_instance_sampled_while_it_starts(self):
        self.assert_held(run_history(520018))

    def test_two_simultaneous_faults(self):
        for one in (FaultKind.KILL_ENTRY, FaultKind.FREEZE_ENTRY, FaultKind.CUT_ZONE):
            for other in (FaultKind.STORE_DOWN, FaultKind.KILL_WORKER):
                faults = (Fault(one, 3.0, 4.0, 1, 2), Fault(other, 3.1, 4.0, 1, 0))
                with self.subTest(one=one, other=other):
                    self.assert_held(run_history(7, faults))


class ChecksTest(TestCase):
    def test_checks_detect_violations(self):
        start = ObservedTaskStart(1.0, "w", "o", "id", 0)
        false_refusal = ObservedAnswer(2.0, "failed", None, "not_run", "owner_lost", True, "id")
        part = ObservedAnswer(3.0, "complete", ("id/0/x",), None, None, True, "id")
        history = History(
            jobs=[JobHistory("id", "desk", ("x", "y"), answers=[false_refusal, part])],
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
