from unittest import TestCase

from cranberryshore.identity import Incarnation
from cranberryshore.membership import MemberJoined, MemberLeft, MemberSuspected, PeerTable

OWN, ONE, TWO = (Incarnation("a", f"e{n}", f"{n}" * 16) for n in range(3))


class PeerTableTest(TestCase):
    def setUp(self):
        self.table = PeerTable(OWN)
        self.table.record_heartbeat(ONE, "x", False, 0.0)

    def run_ticks(self, until, heard=()):
        changes, now = [], self.table.last_tick_at or 0.0
        while now < until:
            now += 0.3
            for peer in heard:
                changes += self.table.record_heartbeat(peer, "x", False, now)
            changes += self.table.tick(now)
        return changes

    def test_silent_peer_is_suspected_then_dead(self):
        self.assertEqual(self.run_ticks(2.5), [MemberSuspected(ONE), MemberLeft(ONE)])
        self.assertEqual(self.run_ticks(3.0, (ONE,))[0], MemberJoined(ONE))

    def test_own_pause_does_not_make_peers_suspect(self):
        self.run_ticks(1.0, (ONE,))
        self.assertEqual(self.table.tick(60.0), [])
        self.assertEqual(self.table.record_heartbeat(ONE, "x", False, 60.1), [])

    def test_new_incarnation_replaces_the_old_one(self):
        again = Incarnation("a", "e1", "f" * 16)
        changes = self.table.record_heartbeat(again, "x", False, 0.1)
        self.assertEqual(changes, [MemberLeft(ONE), MemberJoined(again)])

    def test_heartbeat_of_an_earlier_process_does_not_retire_a_live_peer(self):
        # Regression: a replaced process that was resumed retired its live replacement for good at
        # a peer that had not known it, and the peer then closed the replacement's ownership.
        earlier = Incarnation("a", "e1", "0" * 16)
        self.assertEqual(self.table.record_heartbeat(earlier, "x", False, 0.1), [])
        self.assertEqual([peer.incarnation for peer in self.table.live()], [ONE])

    def test_peer_restarted_with_an_earlier_clock_is_accepted_after_the_old_one_is_silent(self):
        again = Incarnation("a", "e1", "0" * 16)
        changes = self.run_ticks(2.5, (again,))
        self.assertIn(MemberJoined(again), changes)
        self.assertEqual([peer.incarnation for peer in self.table.live()], [again])

    def test_peer_that_left_is_not_revived_by_a_late_heartbeat(self):
        self.table.leave(ONE)
        self.assertEqual(self.table.record_heartbeat(ONE, "x", False, 0.2), [])
        self.assertEqual(self.table.live(), [])
