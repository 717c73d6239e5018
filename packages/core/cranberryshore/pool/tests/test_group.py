from unittest import TestCase

import attrs

from cranberryshore.pool import Claim, Group, MemberAddress
from cranberryshore.pool.group import (
    CLAIM_DELAY_SECONDS,
    PEER_TIMEOUT_SECONDS,
    STARTUP_DELAY_SECONDS,
)


def address(number: int, zone: str = "a") -> MemberAddress:
    return MemberAddress(f"e{number}.1", f"10.0.0.{number}:1", zone)


class GroupTest(TestCase):
    def setUp(self):
        self.group = Group(address(1), 0.0)
        self.now = STARTUP_DELAY_SECONDS + 1.0

    def record_contact(self, *numbers: int, follows: str = "", zone: str = "a") -> None:
        for number in numbers:
            self.group.record_contact(address(number, zone), self.now).follows = follows

    def claim_after_delay(self) -> Claim | None:
        self.group.next_claim(self.now)
        return self.group.next_claim(self.now + CLAIM_DELAY_SECONDS)

    def test_best_ranked_of_a_majority_claims_all_zones(self):
        self.record_contact(2, 3)
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_instance_with_more_cpu_claims_first(self):
        self.group = Group(attrs.evolve(address(3), millicores=2000), 0.0)
        self.record_contact(1, 2)
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_lower_ranked_instance_waits(self):
        self.group = Group(address(3), 0.0)
        self.record_contact(1, 2)
        self.assertIsNone(self.claim_after_delay())

    def test_new_instance_waits_for_a_scheduler(self):
        self.now = 0.1
        self.record_contact(2, 3)
        self.assertIsNone(self.claim_after_delay())

    def test_leaderless_majority_claims_without_startup_delay(self):
        self.now = 0.1
        self.record_contact(2)
        self.group.list_members((address(1), address(2), address(3)))
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_new_instance_waits_if_a_peer_follows_a_scheduler(self):
        self.now = 0.1
        self.record_contact(2, follows="e3.1")
        self.group.list_members((address(1), address(2), address(3)))
        self.assertIsNone(self.claim_after_delay())

    def test_isolated_instance_makes_no_claim(self):
        self.group.add_reported_member(address(2), self.now)
        self.group.add_reported_member(address(3), self.now)
        self.assertIsNone(self.claim_after_delay())

    def test_no_claim_if_peers_follow_another_scheduler(self):
        # An instance that has lost only its own connections must not take over all workers.
        self.record_contact(2, 3, follows="e9.1")
        self.assertIsNone(self.claim_after_delay())

    def test_minority_claims_only_its_own_zone(self):
        for number in (5, 6, 7):
            self.group.add_reported_member(address(number, "b"), self.now)
        self.record_contact(2)
        self.assertEqual(self.claim_after_delay(), Claim(0, "a"))

    def test_zone_scheduler_does_not_keep_other_zones_leaderless(self):
        # Regression: with half of the instances in a zone that has its own scheduler, the other
        # half never had a majority and refused all jobs.
        self.group = Group(address(1, "b"), 0.0)
        self.record_contact(2, 3, follows="e2.1")
        self.record_contact(4, zone="c")
        self.assertIsNone(self.claim_after_delay())
        self.group.members["e2.1"].claim = Claim(9, "a", 2)
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_ended_registrations_do_not_count(self):
        for number in (2, 3):
            self.group.add_reported_member(address(number), self.now)
        self.group.list_members((address(1),))
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_own_address_is_not_a_peer(self):
        # During a zone partition, a stale registration of the own address appeared as a peer with
        # a stronger claim, and the scheduler yielded to itself.
        earlier = attrs.evolve(address(1), incarnation="e1.0")
        self.group.add_reported_member(earlier, self.now)
        self.assertEqual(self.group.members, {})

    def test_stronger_claim_wins(self):
        self.group.claim = Claim(5, "", 10)
        self.group.record_contact(address(2), self.now).claim = Claim(9, "a", 4)
        self.assertFalse(self.group.must_yield(self.now))
        self.group.record_contact(address(3), self.now).claim = Claim(4, "", 14)
        self.assertTrue(self.group.must_yield(self.now))

    def test_silent_scheduler_is_not_followed(self):
        self.group.record_contact(address(2), self.now).claim = Claim(9)
        self.assertIsNotNone(self.group.scheduler(self.now))
        self.assertIsNone(self.group.scheduler(self.now + PEER_TIMEOUT_SECONDS + 0.001))

    def test_scheduler_of_another_zone_is_not_followed(self):
        self.group.record_contact(address(2, "b"), self.now).claim = Claim(9, "b")
        self.assertIsNone(self.group.scheduler(self.now))

    def test_new_incarnation_replaces_the_old_one(self):
        self.record_contact(2)
        again = attrs.evolve(address(2), incarnation="e2.2")
        self.group.record_contact(again, self.now)
        self.assertEqual(list(self.group.members), ["e2.2"])
