from types import SimpleNamespace
from unittest import TestCase

from cranberryshore.pool import RosterHistory, WorkerRegistration
from cranberryshore.work import Capacity
from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.clock import CLOCKS, Clocks


class RostersSinceTest(TestCase):
    def test_roster_adopted_in_the_instant_of_a_submission_does_not_hide_the_one_before(self):
        # The job was submitted under the first roster; both have the same clock reading.
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        CLOCKS.steady = lambda: 100.0
        daemon = SimpleNamespace(roster_changes=[(float("-inf"), 0)], rosters=RosterHistory())
        worker = WorkerRegistration("w", "w", "z", "s", Capacity(1000))
        PoolDaemon._adopt_roster(daemon, 1, (worker,))
        CLOCKS.steady = lambda: 101.0
        PoolDaemon._adopt_roster(daemon, 2, ())
        self.assertEqual(PoolDaemon.rosters_since(daemon, 101.0), (1, 2))
