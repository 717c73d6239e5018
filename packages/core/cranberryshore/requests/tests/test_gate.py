from unittest import TestCase

from cranberryshore.dispatch import GrantLoans, RequestLoans
from cranberryshore.errors import ErrorType
from cranberryshore.placement import Assignment
from cranberryshore.requests import GateSettings, RequestGate, Ticket, TicketDecided
from cranberryshore.work import Capacity


class GateTestCase(TestCase):
    def setUp(self):
        self.gate = RequestGate(GateSettings(queue_limit=3))
        self.gate.set_upstreams({"u1": 1, "u2": 1})
        self.gate.assign(Assignment("me", {"u1": "me", "u2": "me"}))
        self.numbers = iter(range(100))

    def admit(self, urgent=False, deadline=9.0, now=0.0):
        ticket = Ticket(next(self.numbers), "team", urgent, now, deadline)
        return ticket, self.gate.admit(ticket, now)


class GateTest(GateTestCase):
    def test_slots_are_never_exceeded_and_urgent_goes_first(self):
        first = [self.admit()[0] for _ in range(2)]
        self.assertEqual({ticket.upstream for ticket in first}, {"u1", "u2"})
        ordinary, effects = self.admit()
        self.assertTrue(ordinary.is_waiting)
        self.assertTrue(any(isinstance(effect, RequestLoans) for effect in effects))
        urgent, _ = self.admit(urgent=True)
        effects = self.gate.finish("u1", 0.1, 5.0, True)
        self.assertIn(TicketDecided(urgent), effects)
        self.assertTrue(ordinary.is_waiting)

    def test_queue_is_bounded_and_refusal_has_retry_delay(self):
        tickets = [self.admit()[0] for _ in range(6)]
        self.assertIs(tickets[-1].refusal.type, ErrorType.QUEUE_FULL)
        self.assertGreater(tickets[-1].refusal.retry_after_ms, 0)

    def test_passed_deadline_is_answered_at_once(self):
        for _ in range(2):
            self.admit()
        late, _ = self.admit(deadline=0.5)
        self.gate.tick(0.6)
        self.assertIs(late.refusal.type, ErrorType.DEADLINE_PASSED)

    def test_failed_upstream_is_avoided_for_a_while(self):
        ticket, _ = self.admit()
        self.gate.finish(ticket.upstream, 0.0, 5.0, False)
        others = {self.admit(now=0.1)[0].upstream}
        self.assertNotIn(ticket.upstream, others)

    def test_idle_instance_lends_to_a_peer_that_asks(self):
        self.gate.pool.add_loan_request("peer", Capacity(slots=1), 2, 0.0)
        effects = self.gate.advance(0.0)
        self.assertEqual([type(effect) for effect in effects], [GrantLoans])
        self.assertTrue(self.admit()[0].is_waiting)


class ServiceTimeTest(GateTestCase):
    """Service times that are learned from requests, some of which have no end."""

    def setUp(self):
        super().setUp()
        for _ in range(50):
            ticket, _ = self.admit()
            self.gate.finish(ticket.upstream, 0.0, 400.0, True)

    def service_times(self) -> list[float]:
        return [self.gate.service_ms, *(item.service_ms for item in self.gate.records.values())]

    def release(self, *least_ms: float) -> list[float]:
        """Release the slot of a request, and return the changes of the service times."""
        before = self.service_times()
        ticket, _ = self.admit()
        self.gate.release(ticket.upstream, 0.0, *least_ms)
        self.assertEqual(self.gate.free_slots(), 2)
        return [after - time for after, time in zip(self.service_times(), before, strict=True)]

    def test_request_that_was_never_sent_counts_as_one_of_no_time(self):
        self.assertEqual(self.release(), [0.0, 0.0, 0.0])

    def test_request_that_was_broken_off_counts_as_a_short_one(self):
        self.assertEqual(self.release(5.0), [0.0, 0.0, 0.0])

    def test_request_that_was_broken_off_late_counts_for_nothing(self):
        changes = self.release(900.0)
        self.assertGreater(changes[0], 0.0)
        self.assertGreater(max(changes[1:]), 0.0)

    def test_slot_of_a_request_that_was_never_sent_is_kept(self):
        first, _ = self.admit()
        self.admit()
        waiting, _ = self.admit()
        self.gate.release(first.upstream, 0.0)
        self.assertEqual(waiting.upstream, first.upstream)
