from unittest import TestCase

import attrs

from cranberryshore.pool import Claim, Group, MemberAddress
from cranberryshore.pool.group import (
    CLAIM_DELAY_SECONDS,
    PEER_TIMEOUT_SECONDS,
    STARTUP_DELAY_SECONDS,
)


def member(number: int, zone: str = "a") -> MemberAddress:
    return MemberAddress(f"e{number}.1", f"10.0.0.{number}:1", zone)


class GroupTest(TestCase):
    def setUp(self):
        self.group = Group(member(1), 0.0)
        self.now = STARTUP_DELAY_SECONDS + 1.0

    def record_contact(self, *numbers: int, follows: str = "", zone: str = "a") -> None:
        for number in numbers:
            self.group.record_contact(member(number, zone), self.now).follows = follows

    def claim_soon(self) -> Claim | None:
        self.group.next_claim(self.now)
        return self.group.next_claim(self.now + CLAIM_DELAY_SECONDS)

    def test_best_ranked_of_a_majority_claims_everything(self):
        self.record_contact(2, 3)
        self.assertEqual(self.claim_soon(), Claim(0))

    def test_more_powerful_machine_claims_first(self):
        self.group = Group(attrs.evolve(member(3), millicores=2000), 0.0)
        self.record_contact(1, 2)
        self.assertEqual(self.claim_soon(), Claim(0))

    def test_worse_ranked_waits(self):
        self.group = Group(member(3), 0.0)
        self.record_contact(1, 2)
        self.assertIsNone(self.claim_soon())

    def test_fresh_instance_waits_for_a_scheduler(self):
        self.now = 0.1
        self.record_contact(2, 3)
        self.assertIsNone(self.claim_soon())

    def test_fresh_majority_does_not_wait(self):
        self.now = 0.1
        self.record_contact(2)
        self.group.list_members((member(1), member(2), member(3)))
        self.assertEqual(self.claim_soon(), Claim(0))

    def test_fresh_instance_waits_where_a_peer_follows_a_scheduler(self):
        self.now = 0.1
        self.record_contact(2, follows="e3.1")
        self.group.list_members((member(1), member(2), member(3)))
        self.assertIsNone(self.claim_soon())

    def test_instance_that_hears_nobody_claims_nothing(self):
        self.group.add_reported_member(member(2), self.now)
        self.group.add_reported_member(member(3), self.now)
        self.assertIsNone(self.claim_soon())

    def test_instance_whose_peers_follow_another_claims_nothing(self):
        # Cause: an instance that had lost only its own path would take all workers away.
        self.record_contact(2, 3, follows="e9.1")
        self.assertIsNone(self.claim_soon())

    def test_minority_claims_its_own_zone(self):
        for number in (5, 6, 7):
            self.group.add_reported_member(member(number, "b"), self.now)
        self.record_contact(2)
        self.assertEqual(self.claim_soon(), Claim(0, "a"))

    def test_registrations_that_have_ended_do_not_count(self):
        for number in (2, 3):
            self.group.add_reported_member(member(number), self.now)
        self.group.list_members((member(1),))
        self.assertEqual(self.claim_soon(), Claim(0))

    def test_own_address_is_no_peer(self):
        # Cause: Haneul trouble-2, an earlier registration of the own address came back as a
        # stronger rival, and the scheduler yielded to itself in a zone cut.
        earlier = attrs.evolve(member(1), incarnation="e1.0")
        self.group.add_reported_member(earlier, self.now)
        self.assertEqual(self.group.members, {})

    def test_stronger_claim_wins(self):
        self.group.claim = Claim(5, "", 10)
        self.group.record_contact(member(2), self.now).claim = Claim(9, "a", 4)
        self.assertFalse(self.group.must_yield(self.now))
        self.group.record_contact(member(3), self.now).claim = Claim(4, "", 14)
        self.assertTrue(self.group.must_yield(self.now))

    def test_silent_scheduler_is_followed_no_more(self):
        self.group.record_contact(member(2), self.now).claim = Claim(9)
        self.assertIsNotNone(self.group.scheduler(self.now))
        self.assertIsNone(self.group.scheduler(self.now + PEER_TIMEOUT_SECONDS + 0.001))

    def test_scheduler_of_another_zone_is_not_followed(self):
        self.group.record_contact(member(2, "b"), self.now).claim = Claim(9, "b")
        self.assertIsNone(self.group.scheduler(self.now))

    def test_new_run_replaces_the_old_one(self):
        self.record_contact(2)
        again = attrs.evolve(member(2), incarnation="e2.2")
        self.group.record_contact(again, self.now)
        self.assertEqual(list(self.group.members), ["e2.2"])
