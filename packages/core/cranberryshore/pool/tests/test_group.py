from unittest import TestCase

import attrs

from cranberryshore.pool import Claim, Group, MemberAddress, WorkerRegistration
from cranberryshore.pool.group import (
    CANDIDATE_COUNT,
    CLAIM_DELAY_SECONDS,
    OTHERS_PER_ROUND,
    PEER_TIMEOUT_SECONDS,
    SMALL_GROUP_SIZE,
    STARTUP_DELAY_SECONDS,
    ZONE_CANDIDATE_COUNT,
)
from cranberryshore.work import Capacity


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
        self.assertEqual(self.claim_after_delay(), Claim(0, zone="a"))

    def test_zone_scheduler_does_not_keep_other_zones_leaderless(self):
        # Regression: with half of the instances in a zone that has its own scheduler, the other
        # half never had a majority and refused all jobs.
        self.group = Group(address(1, "b"), 0.0)
        self.record_contact(2, 3, follows="e2.1")
        self.record_contact(4, zone="c")
        self.assertIsNone(self.claim_after_delay())
        self.group.members["e2.1"].claim = Claim(9, zone="a", held=2)
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_ended_registrations_do_not_count(self):
        for number in (2, 3):
            self.group.add_reported_member(address(number), self.now)
        self.group.list_members((address(1),))
        self.assertEqual(self.claim_after_delay(), Claim(0))

    def test_minority_by_a_list_that_is_older_than_the_others_claims_all_zones(self):
        # A follower does not read the list of registered instances.
        self.group.list_members((address(1), address(2)))
        self.record_contact(2)
        for number in (5, 6, 7):
            self.record_contact(number, zone="b")
        self.now += PEER_TIMEOUT_SECONDS
        self.record_contact(2)
        self.assertEqual(self.claim_after_delay(), Claim(0, zone="a"))

    def test_own_address_is_not_a_peer(self):
        # During a zone partition, a stale registration of the own address appeared as a peer with
        # a stronger claim, and the scheduler yielded to itself.
        earlier = attrs.evolve(address(1), incarnation="e1.0")
        self.group.add_reported_member(earlier, self.now)
        self.assertEqual(self.group.members, {})

    def test_stronger_claim_wins(self):
        self.group.claim = Claim(5, zone="", held=10)
        self.group.record_contact(address(2), self.now).claim = Claim(9, zone="a", held=4)
        self.assertFalse(self.group.must_yield(self.now))
        self.group.record_contact(address(3), self.now).claim = Claim(4, zone="", held=14)
        self.assertTrue(self.group.must_yield(self.now))

    def test_silent_scheduler_is_not_followed(self):
        self.group.record_contact(address(2), self.now).claim = Claim(9)
        self.assertIsNotNone(self.group.scheduler(self.now))
        self.assertIsNone(self.group.scheduler(self.now + PEER_TIMEOUT_SECONDS + 0.001))

    def test_scheduler_of_another_zone_is_not_followed(self):
        self.group.record_contact(address(2, "b"), self.now).claim = Claim(9, zone="b")
        self.assertIsNone(self.group.scheduler(self.now))

    def test_new_incarnation_replaces_the_old_one(self):
        self.record_contact(2)
        again = attrs.evolve(address(2), incarnation="e2.2")
        self.group.record_contact(again, self.now)
        self.assertEqual(list(self.group.members), ["e2.2"])

    def test_live_peer_is_not_replaced_by_an_earlier_incarnation(self):
        again = attrs.evolve(address(2), incarnation="e2.10")
        self.group.record_contact(again, self.now)
        earlier = attrs.evolve(address(2), incarnation="e2.f")
        self.assertTrue(self.group.is_replaced(earlier, self.now))
        self.assertFalse(self.group.is_replaced(again, self.now))
        self.assertFalse(self.group.is_replaced(attrs.evolve(again, incarnation="e2.11"), self.now))
        self.assertFalse(self.group.is_replaced(address(3), self.now))

    def test_restarted_peer_whose_clock_was_set_back_is_ignored_for_good(self):
        self.group.record_contact(attrs.evolve(address(2), incarnation="e2.10"), self.now)
        self.assertFalse(self.group.is_replaced(address(2), self.now + PEER_TIMEOUT_SECONDS))


class PossibleSchedulersTest(TestCase):
    """Heartbeats of an instance without a scheduler, in a group of 97."""

    def setUp(self):
        self.group = Group(address(96, "z4"), 0.0)
        for number in range(96):
            self.group.record_contact(address(number, f"z{number % 5}"), 0.0)
        self.now = 100.0

    def chosen(self, since: float, round_number: int = 0) -> set[str]:
        members = self.group.possible_schedulers(since, round_number, self.now)
        return {member.at.incarnation for member in members}

    def best(self, count: int) -> set[str]:
        ranked = sorted(self.group.members.values(), key=lambda member: member.at.rank())
        return {member.at.incarnation for member in ranked[:count]}

    def test_all_instances_sent_heartbeats_to_all_after_the_loss_of_a_scheduler(self):
        limit = CANDIDATE_COUNT + ZONE_CANDIDATE_COUNT + OTHERS_PER_ROUND
        self.assertLessEqual(len(self.chosen(self.now)), limit)
        self.assertLessEqual(self.best(CANDIDATE_COUNT), self.chosen(self.now))

    def test_all_get_them_in_turn(self):
        rounds = [self.chosen(self.now, number) for number in range(48)]
        self.assertEqual(set().union(*rounds), set(self.group.members))

    def test_members_that_do_not_respond_are_replaced_by_the_next_ones(self):
        since = self.now - PEER_TIMEOUT_SECONDS
        responding = address(11, "z1")
        self.group.record_contact(responding, self.now)
        best = self.best(CANDIDATE_COUNT)
        self.assertIn(responding.incarnation, self.chosen(since, 20))
        self.assertFalse(best & self.chosen(since, 20) - {responding.incarnation})

    def test_members_of_the_own_zone_and_schedulers_are_included(self):
        self.group.members["e50.1"].claim = Claim(1, zone="z0")
        in_zone = {name for name, member in self.group.members.items() if member.at.zone == "z4"}
        chosen = self.chosen(self.now)
        self.assertIn("e50.1", chosen)
        self.assertGreaterEqual(len(chosen & in_zone), ZONE_CANDIDATE_COUNT)

    def test_small_group_sends_to_all(self):
        for number in range(SMALL_GROUP_SIZE, 96):
            del self.group.members[f"e{number}.1"]
        self.assertEqual(self.chosen(0.0), set(self.group.members))


class DivisionTest(TestCase):
    """A group of 97 instances in five zones."""

    def setUp(self):
        self.members = tuple(address(number, f"z{number % 5}") for number in range(97))
        self.group = Group(self.members[14], 0.0)
        self.now = STARTUP_DELAY_SECONDS + 1.0

    def list_members(self, count: int) -> None:
        self.group.list_members(self.members[:count])

    def hear(self, *zones: str) -> None:
        for item in self.members:
            if item.zone in zones and item != self.group.own:
                self.group.record_contact(item, self.now)

    def claim_after_delay(self) -> Claim | None:
        self.group.next_claim(self.now)
        return self.group.next_claim(self.now + CLAIM_DELAY_SECONDS)

    def test_large_group_is_divided_until_it_is_much_smaller(self):
        sizes = (59, 60, 45, 44, 59)
        divided = []
        for size in sizes:
            self.list_members(size)
            divided.append(self.group.is_divided)
        self.assertEqual(divided, [False, True, True, False, False])

    def test_best_ranked_instance_of_a_zone_claims_the_zone(self):
        self.list_members(97)
        self.hear("z0", "z1", "z4")
        self.assertEqual(self.claim_after_delay(), Claim(0, zone="z4", is_divided=True))

    def test_claim_of_the_zone_is_stronger_than_one_of_all_zones(self):
        self.list_members(97)
        self.hear("z4")
        self.group.members["e9.1"].claim = Claim(1, zone="z4", held=10, is_divided=True)
        self.group.members["e19.1"].claim = Claim(2, zone="", held=270)
        self.assertEqual(self.group.scheduler(self.now).at.incarnation, "e9.1")

    def test_followers_learn_from_claims_that_the_pool_is_divided_or_uneven(self):
        self.group.learn_division(Claim(1, zone="z0", is_divided=True))
        self.assertTrue(self.group.is_divided)
        self.group.learn_division(Claim(2, zone="z1", is_uneven=True))
        self.group.learn_division(Claim(1, zone="z0", is_divided=True))
        self.assertFalse(self.group.is_divided)
        self.group.learn_division(Claim(3))
        self.assertTrue(self.group.is_divided)

    def test_expired_registrations_of_a_zone_do_not_end_the_division(self):
        self.list_members(97)
        self.group.claim = Claim(1, zone="z4", is_divided=True)
        workers = [WorkerRegistration("w", "w", "z0", "s", Capacity(1000), born=1)]
        self.assertFalse(self.group.compare_workers(workers, is_first=False))
        self.assertTrue(self.group.compare_workers(workers, is_first=True))

    def test_evacuated_zone_counts_as_one_without_workers(self):
        self.list_members(97)
        zones = ("z0", "z1", "z2", "z3", "z4")
        workers = [WorkerRegistration(f"w{z}", "w", z, "s", Capacity(1000), born=1) for z in zones]
        self.group.claim = Claim(1, zone="z4", is_divided=True)
        self.group.evacuated = frozenset({"z0"})
        # Only the scheduler of the evacuated zone gives up its claim, and claims all zones.
        self.assertFalse(self.group.compare_workers(workers, is_first=False))
        self.group.evacuated = frozenset({"z4"})
        self.assertTrue(self.group.compare_workers(workers, is_first=False))
        self.assertFalse(self.group.is_divided)

    def test_instance_of_an_evacuated_zone_waits_for_no_scheduler_of_another_zone(self):
        # They keep their claims, so waiting for them left its callers without a scheduler.
        self.list_members(97)
        self.hear("z0", "z1")
        for member in self.group.members.values():
            member.at = attrs.evolve(member.at, millicores=9000)
            member.claim = Claim(1, zone=member.at.zone, is_divided=True)
        self.group.is_uneven = True
        self.assertIsNone(self.claim_after_delay())
        self.group.leaderless_since, self.group.evacuated = None, frozenset({"z4"})
        self.assertEqual(self.claim_after_delay(), Claim(0, is_uneven=True))

    def test_pool_is_divided_again_when_the_evacuation_is_revoked(self):
        self.list_members(97)
        self.hear("z0", "z1", "z2", "z3", "z4")
        zones = ("z0", "z1", "z2", "z3", "z4")
        workers = [WorkerRegistration(f"w{z}", "w", z, "s", Capacity(1000), born=1) for z in zones]
        self.group.claim, self.group.evacuated = Claim(1), frozenset({"z4"})
        self.group.compare_workers(workers, is_first=False)
        self.assertEqual((self.group.is_divided, self.group.claim.is_uneven), (False, True))
        self.group.evacuated = frozenset()
        self.group.compare_workers(workers, is_first=False)
        self.assertEqual((self.group.is_divided, self.group.claim.is_uneven), (True, False))

    def test_successor_is_in_the_own_zone(self):
        self.list_members(97)
        self.hear("z0", "z4")
        self.assertEqual(self.group.successor(self.now).at.zone, "z4")
        self.assertEqual(self.group.claim_of_successor(), Claim(0, zone="z4", is_divided=True))
