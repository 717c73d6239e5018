from unittest import TestCase

from cranberryshore.pool import WorkerRegistration
from cranberryshore.work import Capacity
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.roster_keeper import RosterKeeper


class RostersSinceTest(TestCase):
    def test_roster_adopted_in_the_instant_of_a_submission_does_not_hide_the_one_before(self):
        # The job was submitted under the first roster; both have the same clock reading.
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        CLOCKS.steady = lambda: 100.0
        rosters = RosterKeeper("e.1")
        worker = WorkerRegistration("w", "w", "z", "s", Capacity(1000), born=1)
        rosters.adopt(1, (worker,))
        CLOCKS.steady = lambda: 101.0
        rosters.adopt(2, ())
        self.assertEqual(rosters.versions_since(101.0), (1, 2))
