from itertools import product
from unittest import TestCase

from cranberryshore.pool import HeldWorker, ReportedRun, WorkerStatus
from cranberryshore.pool.held_worker import (
    CLOSING_SECONDS,
    LEASE_EXPIRY_SECONDS,
    LEASE_MARGIN_SECONDS,
    LEASE_SECONDS,
)
from cranberryshore.pool.run import RunState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.stopping import RunStopper
from cranberryshore.pool.worker_status import RunKey
from cranberryshore.work import Capacity

KEY, OTHER, FOREIGN = ("j.0.0.0", 1), ("j.0.0.1", 1), ("x.0.0.0", 1)
ONE_CORE = Capacity(1000, 64)
CERTAIN, POSSIBLE = {KEY: True}, {KEY: False}


class CertainRunTestCase(TestCase):
    """A held worker whose lease was extended by its latest answer."""

    def setUp(self):
        total = Capacity(4000, 1000)
        self.worker = HeldWorker("w", "w", "z", "s", total, frozenset(), 10, registered_born=1)
        self.stopper = RunStopper({"w": self.worker}, RunRegistry(), RunStatistics(), [])
        self.now = 0.0
        self.answer()

    def answer(self, *running: RunKey, is_lease_extended: bool = True) -> None:
        """Let the worker answer a poll."""
        sent_at, self.now = self.now, self.now + 0.01
        lease_until = float("-inf")
        if is_lease_extended:
            self.worker.lease_extended_at, lease_until = sent_at, sent_at + LEASE_SECONDS
        status = WorkerStatus(1, 0, tuple(ReportedRun(*key) for key in running), ())
        self.worker.record_status(status, self.worker.token, sent_at, self.now, lease_until)

    def request(self, key: RunKey = KEY) -> None:
        """Send the start of a run."""
        self.now += 0.01
        self.worker.add_run(key, ONE_CORE, self.now)

    def start(self) -> None:
        """Send the start of a run, and let the worker confirm it."""
        self.request()
        self.now += 0.01
        self.worker.confirm_start(KEY, self.now)

    def close(self) -> None:
        """Let the host close the connection of a poll."""
        self.now += 0.01
        self.worker.record_closing(self.now)
        RunStatistics.record_poll_failure(self.worker)

    def possible_runs(self) -> dict[RunKey, bool]:
        return self.worker.possible_runs(self.now)

    def refused_runs(self) -> dict[RunKey, bool]:
        return self.worker.refused_boot(self.now).runs


class CertainRunTest(CertainRunTestCase):
    """Runs that are certainly active, if the process lives."""

    def test_confirmed_or_listed_run_is_not_certain(self):
        self.start()
        self.assertEqual(self.possible_runs(), CERTAIN)
        self.worker.remove_run(KEY)
        self.request()
        self.answer(KEY)
        self.assertEqual(self.possible_runs(), CERTAIN)

    def test_start_without_an_answer_is_certain(self):
        self.request()
        self.assertEqual(self.possible_runs(), POSSIBLE)

    def test_run_that_is_being_stopped_is_certain(self):
        self.start()
        self.stopper.stop("w", KEY, self.now)
        self.assertEqual(self.possible_runs(), POSSIBLE)

    def test_run_that_was_to_be_stopped_before_its_start_was_confirmed_is_certain(self):
        self.request()
        self.stopper.stop("w", KEY, self.now)
        self.worker.confirm_start(KEY, self.now)
        self.assertEqual(self.possible_runs(), POSSIBLE)

    def test_run_since_a_failed_poll_is_certain(self):
        self.start()
        RunStatistics.record_poll_failure(self.worker)
        self.assertEqual(self.possible_runs(), POSSIBLE)
        RunStatistics.record_answer(self.worker, self.now)
        self.answer(KEY)
        self.assertEqual(self.possible_runs(), CERTAIN)

    def test_run_near_the_end_of_its_lease_is_certain(self):
        self.start()
        self.now = LEASE_SECONDS - LEASE_MARGIN_SECONDS
        self.assertEqual(self.possible_runs(), CERTAIN)
        self.now += 0.001
        self.assertEqual(self.possible_runs(), POSSIBLE)

    def test_run_whose_lease_has_expired_is_possible(self):
        self.start()
        self.now = self.worker.lease_extended_at + LEASE_EXPIRY_SECONDS
        self.assertEqual(self.possible_runs(), {})

    def test_run_of_another_holder_is_certain_before_its_lease_is_extended(self):
        self.now += LEASE_SECONDS
        self.answer(FOREIGN, is_lease_extended=False)
        self.worker.lease_extended_at = self.now
        self.assertEqual(self.possible_runs(), {FOREIGN: False})
        self.worker.adopt_run(FOREIGN, ONE_CORE, self.now)
        self.assertEqual(self.possible_runs(), {FOREIGN: False})
        self.answer(FOREIGN)
        self.assertEqual(self.possible_runs(), {FOREIGN: True})


class RefusedConnectionTest(CertainRunTestCase):
    """Runs that were certainly active when the process has ended, if connections are refused."""

    def test_run_is_certain_although_no_connection_was_closed(self):
        self.start()
        self.assertEqual(self.refused_runs(), POSSIBLE)

    def test_run_is_not_certain_although_a_connection_was_closed_just_before(self):
        self.start()
        self.close()
        self.now += CLOSING_SECONDS
        self.assertEqual(self.refused_runs(), CERTAIN)

    def test_run_is_not_certain_after_two_connections_were_closed(self):
        self.start()
        self.close()
        self.close()
        self.assertEqual(self.refused_runs(), CERTAIN)

    def test_run_is_certain_although_a_connection_was_closed_long_before(self):
        self.start()
        self.close()
        self.now += CLOSING_SECONDS + 0.001
        self.assertEqual(self.refused_runs(), POSSIBLE)

    def test_run_is_certain_for_a_connection_that_was_closed_before_an_answer(self):
        self.start()
        self.close()
        self.answer(KEY)
        self.assertEqual(self.refused_runs(), POSSIBLE)

    def test_start_without_an_answer_is_certain_for_a_closed_connection(self):
        self.request()
        self.close()
        self.assertEqual(self.refused_runs(), POSSIBLE)

    def test_start_after_a_connection_was_closed_is_possible(self):
        self.close()
        self.request()
        self.assertEqual(self.refused_runs(), {})


class RunStateTest(CertainRunTestCase):
    def test_run_is_running_before_its_start_is_confirmed(self):
        for events in product(("request", "confirm", "list", "stop", "fail", "adopt"), repeat=4):
            with self.subTest(events):
                self.setUp()
                for event in events:
                    self.now += 0.01
                    self.apply(event)
                    for run in self.worker.runs.values():
                        is_confirmed = run.start_confirmed_at <= self.now
                        self.assertTrue(is_confirmed or run.state is not RunState.RUNNING)

    def apply(self, event: str) -> None:
        if event == "request" and KEY not in self.worker.runs:
            self.request()
        elif event == "confirm":
            self.worker.confirm_start(KEY, self.now)
        elif event == "list":
            self.answer(KEY)
        elif event == "stop":
            self.stopper.stop("w", KEY, self.now)
        elif event == "fail":
            RunStatistics.record_poll_failure(self.worker)
        elif event == "adopt" and KEY in self.worker.strangers:
            self.worker.adopt_run(KEY, ONE_CORE, self.now)
