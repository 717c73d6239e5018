"""Tests of the knowledge that a cancel needs before it is acknowledged."""

from unittest import TestCase, mock

from cranberryshore.pool import (
    CancelledJobs,
    CancelSpread,
    Claim,
    Group,
    MemberAddress,
    OwedReply,
    cancelling,
)
from cranberryshore.pool.cancelling import (
    MAX_JOBS_PER_BATCH,
    REPLY_SECONDS,
    RESEND_SECONDS,
    RETENTION_SECONDS,
)
from cranberryshore.pool.group import MEMBER_EXPIRY_SECONDS, PEER_TIMEOUT_SECONDS


def address(number: int, zone: str = "a", life: int = 1) -> MemberAddress:
    return MemberAddress(f"e{number}.{life}", f"10.0.0.{number}:1", zone)


class CancelledJobsTest(TestCase):
    def setUp(self):
        self.cancelled = CancelledJobs()

    def test_job_is_forgotten_after_the_retention(self):
        self.cancelled.renew("j", 0.0)
        self.cancelled.renew("k", RETENTION_SECONDS - 0.1)
        self.assertIn("j", self.cancelled)
        self.cancelled.renew("l", RETENTION_SECONDS)
        self.assertNotIn("j", self.cancelled)
        self.assertIn("k", self.cancelled)

    def test_repeated_cancel_prolongs_the_retention(self):
        # A cancel that is acknowledged again must hold for as long as the first one.
        for repeat in (self.cancelled.renew, self.cancelled.note):
            with self.subTest(repeat=repeat.__name__):
                self.cancelled = CancelledJobs()
                self.cancelled.renew("j", 0.0)
                getattr(self.cancelled, repeat.__name__)("j", RETENTION_SECONDS - 1)
                self.cancelled.renew("k", RETENTION_SECONDS + 1)
                self.assertIn("j", self.cancelled)

    def test_job_that_does_not_fit_is_not_accepted(self):
        # Forgetting another one instead would break the acknowledgement given for it.
        with mock.patch.object(cancelling, "MAX_CANCELLED_JOBS", 2):
            self.assertEqual([self.cancelled.renew(job, 0.0) for job in "abc"], [1, 2, None])
            self.assertEqual(self.cancelled.renew("a", 0.0), 3)
        self.assertNotIn("c", self.cancelled)

    def test_jobs_are_passed_on_in_the_order_of_their_numbers(self):
        for number in range(MAX_JOBS_PER_BATCH + 5):
            self.cancelled.renew(f"j{number}", 0.0)
        number, jobs = self.cancelled.after(0, MAX_JOBS_PER_BATCH)
        self.assertEqual((number, jobs[0]), (MAX_JOBS_PER_BATCH, "j0"))
        number, jobs = self.cancelled.after(number, MAX_JOBS_PER_BATCH)
        self.assertEqual((number, len(jobs)), (MAX_JOBS_PER_BATCH + 5, 5))


class SpreadTestCase(TestCase):
    claim = Claim(1)

    def setUp(self):
        self.now = 100.0
        self.group = Group(address(1), 0.0, claim=self.claim)
        self.cancelled = CancelledJobs()
        self.spread = CancelSpread(self.cancelled, self.group, self.claim.term)

    def hear(self, *members: MemberAddress, claim: Claim | None = None) -> None:
        for member in members:
            self.group.record_contact(member, self.now).claim = claim
        self.spread.observe(self.now)

    def cancel(self, job: str = "j") -> int:
        number = self.cancelled.renew(job, self.now)
        self.spread.owe(OwedReply("e1.1", (job,), 0, number, self.now))
        return number

    def list_members(self, *members: MemberAddress) -> None:
        self.group.list_members(members)
        self.group.listed_at = self.now
        for member in members:
            self.group.add_reported_member(member, self.now)
        self.spread.observe(self.now)

    def sent(self) -> list[tuple[str, tuple[str, ...]]]:
        return [(batch.receiver, batch.jobs) for batch in self.spread.due(self.now)]

    def settled(self) -> list[tuple[str, ...]]:
        self.spread.observe(self.now)
        return [reply.jobs for reply in self.spread.settle()]


class CancelSpreadTest(SpreadTestCase):
    def test_cancel_is_confirmed_before_an_instance_knows_of_it(self):
        self.hear(address(2), address(3))
        number = self.cancel()
        self.assertEqual(self.sent(), [("e2.1", ("j",)), ("e3.1", ("j",))])
        self.spread.confirm("e2.1", number)
        self.assertEqual((self.settled(), self.spread.missing(number)), ([], ["e3.1"]))
        self.spread.confirm("e3.1", number)
        self.assertEqual(self.settled(), [("j",)])

    def test_instance_alone_confirms_at_once(self):
        self.cancel()
        self.assertEqual(self.settled(), [("j",)])

    def test_silent_instance_that_is_registered_is_not_awaited(self):
        # It may be cut off, with the job and a scheduler on its side.
        self.hear(address(2))
        self.now += PEER_TIMEOUT_SECONDS
        self.list_members(address(1), address(2))
        self.cancel()
        self.now += 5.0
        self.assertEqual(self.settled(), [])

    def test_silent_instance_is_forgotten_without_a_new_list(self):
        # The list was read before the instance fell silent, or the store does not answer.
        self.list_members(address(1), address(3))
        self.now += 0.1
        self.hear(address(2))
        self.cancel()
        self.now += MEMBER_EXPIRY_SECONDS + 1
        self.assertIn(
            "e2.1", [m.at.incarnation for m in self.group.remove_expired_members(self.now)]
        )
        self.assertEqual(self.settled(), [])

    def test_ended_instance_is_awaited_for_ever(self):
        self.hear(address(2))
        self.cancel()
        self.now += PEER_TIMEOUT_SECONDS
        self.assertEqual(self.settled(), [])
        self.assertTrue(self.spread.awaits_silent(self.now))
        self.list_members(address(1))
        self.assertEqual(self.settled(), [("j",)])

    def test_replaced_instance_is_awaited_for_ever(self):
        self.hear(address(2))
        self.cancel()
        self.now += PEER_TIMEOUT_SECONDS
        self.hear(address(2, life=2))
        self.sent()
        self.assertEqual(self.spread.missing(1), ["e2.2"])
        self.spread.confirm("e2.2", 1)
        self.assertEqual(self.settled(), [("j",)])

    def test_live_instance_that_has_no_registration_is_not_awaited(self):
        self.hear(address(2))
        self.list_members(address(1))
        self.cancel()
        self.assertEqual(self.settled(), [])

    def test_new_instance_does_not_learn_of_earlier_cancels(self):
        self.cancel()
        self.assertEqual(self.settled(), [("j",)])
        self.now += 5.0
        self.hear(address(2))
        self.assertEqual(self.sent(), [("e2.1", ("j",))])

    def test_instance_that_returns_does_not_learn_of_cancels(self):
        self.hear(address(2))
        self.now += 2.0
        self.cancel()
        self.assertEqual(self.sent(), [])
        self.hear(address(2))
        self.assertEqual(self.sent(), [("e2.1", ("j",))])

    def test_lost_batch_is_not_sent_again(self):
        self.hear(address(2))
        self.cancel()
        self.assertEqual(len(self.sent()), 1)
        self.now += RESEND_SECONDS / 2
        self.cancel("k")
        self.assertEqual(self.sent(), [])
        self.now += RESEND_SECONDS
        self.assertEqual(self.sent(), [("e2.1", ("j", "k"))])

    def test_repeated_cancel_is_confirmed_from_an_earlier_one(self):
        # The instances must remember the job for longer than the first cancel asked for.
        self.hear(address(2))
        self.spread.confirm("e2.1", self.cancel())
        self.assertEqual(self.settled(), [("j",)])
        self.cancel()
        self.assertEqual(self.settled(), [])
        self.assertEqual(self.sent(), [("e2.1", ("j",))])

    def test_repeated_request_is_recognised_until_it_is_confirmed(self):
        self.hear(address(2))
        number = self.cancel()
        self.assertTrue(self.spread.is_owed("e1.1", ("j",)))
        self.spread.confirm("e2.1", number)
        self.settled()
        self.assertFalse(self.spread.is_owed("e1.1", ("j",)))

    def test_confirmation_that_is_not_possible_expires(self):
        self.hear(address(2))
        self.cancel()
        self.assertEqual(self.spread.expire(self.now + REPLY_SECONDS), [])
        self.assertEqual(len(self.spread.expire(self.now + REPLY_SECONDS + 0.1)), 1)
        self.assertEqual(self.spread.owed, [])


class DividedSpreadTest(SpreadTestCase):
    claim = Claim(1, zone="a", is_divided=True)

    def setUp(self):
        super().setUp()
        self.group.is_large = True

    def hear_pool(self) -> None:
        self.hear(address(2), address(4, "b"), address(6, "c"))
        self.hear(address(3, "b"), claim=Claim(2, zone="b", is_divided=True))
        self.hear(address(5, "c"), claim=Claim(3, zone="c", is_divided=True))

    def test_jobs_go_to_the_own_zone_and_to_the_schedulers(self):
        self.hear_pool()
        self.cancel()
        batches = {batch.receiver: batch.is_for_zone for batch in self.spread.due(self.now)}
        self.assertEqual(batches, {"e2.1": False, "e3.1": True, "e5.1": True})

    def test_cancel_is_confirmed_before_another_zone_knows_of_it(self):
        self.hear_pool()
        number = self.cancel()
        self.spread.confirm("e2.1", number)
        self.spread.confirm("e3.1", number)
        self.assertEqual(self.settled(), [])
        self.assertEqual(self.spread.missing(number), ["zone c"])
        self.spread.confirm("e5.1", number)
        self.assertEqual(self.settled(), [("j",)])

    def test_zone_without_a_scheduler_is_not_awaited(self):
        self.hear(address(2), address(4, "b"))
        number = self.cancel()
        self.spread.confirm("e2.1", number)
        self.assertEqual((self.settled(), self.spread.missing(number)), ([], ["zone b"]))
        self.hear(address(4, "b"), claim=Claim(2, zone="b", is_divided=True))
        self.spread.confirm("e4.1", number)
        self.assertEqual(self.settled(), [("j",)])

    def test_schedulers_wait_for_each_other(self):
        self.hear_pool()
        self.spread.owe(OwedReply("e3.1", (), 7, self.cancelled.note("j", self.now), self.now))
        self.assertEqual(self.settled(), [])
        self.spread.confirm("e2.1", 1)
        self.assertEqual(self.settled(), [()])
