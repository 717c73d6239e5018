from unittest import TestCase

from cranberryshore.pool import AcknowledgedRights, RosterHistory, WorkerRegistration
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS
from cranberryshore.pool.roster import MAX_REMEMBERED_ROSTERS
from cranberryshore.pool.start_rights import (
    RUN_END_SECONDS,
    RUN_RIGHT_SECONDS,
    START_RIGHT_SECONDS,
)
from cranberryshore.work import Capacity


def registration(name: str) -> WorkerRegistration:
    return WorkerRegistration(name, name, "z", "s", Capacity(1000, 10), born=1)


class AcknowledgedRightsTest(TestCase):
    def setUp(self):
        self.rights = AcknowledgedRights("own", since=10.0)

    def test_right_ends_before_the_entry_instance_turns_to_another_scheduler(self):
        # The entry instance has received the heartbeat after it was sent.
        self.rights.acknowledge("e", 11.0)
        self.assertTrue(self.rights.may_start("e", 11.0 + START_RIGHT_SECONDS - 0.01))
        self.assertFalse(self.rights.may_start("e", 11.0 + START_RIGHT_SECONDS))
        self.assertLess(START_RIGHT_SECONDS, PEER_TIMEOUT_SECONDS)

    def test_runs_have_ended_when_a_resumed_job_has_waited(self):
        self.assertLess(RUN_END_SECONDS, RESUMED_JOB_WAIT_SECONDS)

    def test_delayed_acknowledgement_does_not_extend_the_right(self):
        self.rights.acknowledge("e", 12.0)
        self.rights.acknowledge("e", 11.0)
        self.assertEqual(self.rights.lease_limit("e"), 12.0 + RUN_RIGHT_SECONDS)

    def test_acknowledgement_of_an_earlier_claim_is_void(self):
        self.rights.acknowledge("e", 9.9)
        self.assertFalse(self.rights.may_start("e", 10.0))

    def test_revoked_right(self):
        self.rights.acknowledge("e", 11.0)
        self.rights.revoke("e")
        self.assertFalse(self.rights.may_start("e", 11.0))
        self.assertLess(self.rights.lease_limit("e"), 0.0)

    def test_own_jobs_are_always_current(self):
        self.assertTrue(self.rights.may_start("own", 1e9))
        self.assertIsNone(self.rights.usable_workers("own"))

    def test_only_workers_known_to_the_entry_instance_are_usable(self):
        self.rights.rosters.record(5, [registration("a")])
        self.rights.rosters.record(6, [registration("a"), registration("b")])
        self.assertEqual(self.rights.usable_workers("e"), frozenset())
        self.rights.record_roster("e", 5)
        self.assertEqual(self.rights.usable_workers("e"), {"a"})
        self.rights.record_roster("e", 6)
        self.rights.record_roster("e", 5)
        self.assertEqual(self.rights.usable_workers("e"), {"a", "b"})
        self.rights.record_roster("e", 7)
        self.assertEqual(self.rights.usable_workers("e"), frozenset())


class RosterHistoryTest(TestCase):
    def test_workers_of_several_rosters(self):
        history = RosterHistory()
        history.record(1, [registration("a")])
        history.record(2, [registration("b")])
        self.assertEqual(history.names_in_any((1, 2)), {"a", "b"})
        self.assertEqual(history.registrations.keys(), {"a", "b"})

    def test_version_with_two_contents_is_unknown(self):
        history = RosterHistory()
        history.record(1, [registration("a")])
        history.record(1, [registration("b")])
        history.record(1, [registration("a")])
        self.assertIsNone(history.names_in_any((1,)))

    def test_old_rosters_are_forgotten(self):
        history = RosterHistory()
        for version in range(1, MAX_REMEMBERED_ROSTERS + 2):
            history.record(version, [registration(f"w{version}")])
        self.assertIsNone(history.names(1))
        self.assertNotIn("w1", history.registrations)
        self.assertEqual(history.names(2), {"w2"})
