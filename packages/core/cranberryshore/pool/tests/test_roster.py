"""Tests of the differences between rosters."""

from unittest import TestCase

import attrs

from cranberryshore.pool import RosterHistory, WorkerRegistration
from cranberryshore.pool.roster import MAX_REMEMBERED_ROSTERS, apply_differences
from cranberryshore.work import Capacity


def registration(name: str) -> WorkerRegistration:
    return WorkerRegistration(name, f"{name}:1", "a", "s", Capacity(1000), born=1)


FIRST = tuple(registration(name) for name in ("w1", "w2", "w3"))
SECOND = (FIRST[0], attrs.evolve(FIRST[1], is_draining=True), registration("w4"))


class DifferencesTest(TestCase):
    def setUp(self):
        self.history = RosterHistory()
        self.history.record(1, FIRST)
        self.history.record(2, SECOND)

    def test_differences_restore_the_later_roster(self):
        changed, removed = self.history.differences(1, 2)
        self.assertEqual((changed, removed), (SECOND[1:], ("w3",)))
        self.assertEqual(apply_differences(FIRST, changed, removed), SECOND)

    def test_whole_roster_differs_from_the_empty_one(self):
        self.assertEqual(self.history.differences(0, 1), (FIRST, ()))

    def test_unknown_and_ambiguous_rosters_have_no_differences(self):
        self.assertIsNone(self.history.differences(9, 2))
        self.history.record(1, SECOND)
        self.assertIsNone(self.history.differences(1, 2))

    def test_forgotten_roster_has_no_differences(self):
        for version in range(3, 3 + MAX_REMEMBERED_ROSTERS):
            self.history.record(version, SECOND)
        self.assertIsNone(self.history.differences(1, 2))
        self.assertLessEqual(len(self.history.entries_by_version), MAX_REMEMBERED_ROSTERS)

    def test_capacity_from_before_it_shrunk_is_forgotten(self):
        small = tuple(attrs.evolve(entry, capacity=Capacity(200, 9)) for entry in FIRST)
        self.history.record(3, small)
        self.assertEqual(self.history.largest, {"s": Capacity(1000, 9)})
