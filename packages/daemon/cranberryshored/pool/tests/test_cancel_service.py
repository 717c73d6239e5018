"""Tests of cancels at an instance that does not have the job."""

import asyncio
import logging
from unittest import IsolatedAsyncioTestCase, mock

import structlog

from cranberryshore.messages import CancelNews, CancelNewsNoted, CancelRequest
from cranberryshore.pool import CancelledJobs, Claim, Group, MemberAddress, cancelling
from cranberryshore.pool.cancelling import REPLY_SECONDS, RESEND_SECONDS
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.cancel_service import CancelService
from cranberryshored.pool.clock import CLOCKS, Clocks


class FakeExchange:
    """Exchange of one instance, which delivers messages at once unless their receiver is cut."""

    def __init__(self, pool, own: MemberAddress):
        self.pool, self.own = pool, own
        self.group = Group(own, 0.0)
        self.follows = ""

    def claim_term(self) -> int:
        return self.pool.term

    def send_unnumbered(self, member, message) -> None:
        receiver = member.at.incarnation
        self.pool.sent.append((self.own.incarnation, receiver, message))
        if not {receiver, self.own.incarnation} & self.pool.cut:
            self.pool.services[receiver].handle(self.own.incarnation, message)


class FakePool:
    """Instances ``e0`` to ``e3`` that follow ``e0``, each with its ended jobs."""

    def __init__(self):
        self.cut, self.sent, self.term = set(), [], 1
        self.ended: dict[str, list[str]] = {}
        self.services: dict[str, CancelService] = {}
        for number in range(4):
            own = MemberAddress(f"e{number}", f"10.0.0.{number}:1", "a")
            ended = self.ended[own.incarnation] = []
            self.services[own.incarnation] = CancelService(
                FakeExchange(self, own),
                CancelledJobs(),
                ended.extend,
                Metrics(),
                make_logger("cancelling"),
            )

    def follow(self, scheduler: str, term: int, now: float) -> None:
        self.term = term
        for name, service in self.services.items():
            exchange = service.exchange
            exchange.follows = scheduler
            exchange.group.claim = Claim(term) if name == scheduler else None
        self.hear(now)

    def hear(self, now: float) -> None:
        for service in self.services.values():
            for other in self.services.values():
                name = other.exchange.own.incarnation
                if other is not service and name not in self.cut:
                    service.exchange.group.record_contact(other.exchange.own, now)

    def tick(self) -> None:
        for service in self.services.values():
            service._give_up(CLOCKS.steady())
            service.inform_new_members()
            service._progress()


class CancelServiceTest(IsolatedAsyncioTestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        self.pool = FakePool()
        self.pool.follow("e0", 1, self.now)
        self.pool.tick()

    async def cancel(self, name: str, job: str = "j") -> bool:
        return await self.pool.services[name].cancel(job, 0.02, "caller")

    def begin(self, name: str, job: str = "j") -> asyncio.Task:
        return asyncio.ensure_future(self.pool.services[name].cancel(job, 1.0, "caller"))

    def knowing(self, job: str = "j") -> list[str]:
        return [name for name, service in self.pool.services.items() if job in service.cancelled]

    async def test_cancel_ends_only_the_jobs_of_the_instance_that_was_asked(self):
        for name in ("e1", "e0"):
            with self.subTest(asked=name):
                job = f"j{name}"
                self.assertTrue(await self.cancel(name, job))
                self.assertEqual(self.knowing(job), ["e0", "e1", "e2", "e3"])
                self.assertTrue(all(job in ended for ended in self.pool.ended.values()))

    async def test_cancel_is_acknowledged_while_an_instance_does_not_know_of_it(self):
        # It may have the job, and a scheduler on its side of the cut.
        self.pool.cut = {"e3"}
        self.assertFalse(await self.cancel("e1"))
        self.assertEqual(self.knowing(), ["e0", "e1", "e2"])

    async def test_cancel_is_acknowledged_without_a_scheduler(self):
        self.pool.follow("", 0, self.now)
        self.assertFalse(await self.cancel("e1"))

    async def test_repeated_cancel_is_not_acknowledged_after_a_lost_answer(self):
        self.assertTrue(await self.cancel("e1"))
        for name in ("e1", "e2", "e0"):
            self.assertTrue(await self.cancel(name))

    async def test_repeated_cancel_is_acknowledged_although_the_first_one_was_not(self):
        self.pool.cut = {"e3"}
        self.assertFalse(await self.cancel("e1"))
        self.assertFalse(await self.cancel("e2"))

    async def test_cancel_is_lost_with_its_scheduler(self):
        self.pool.cut = {"e0"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        self.now += 2 * PEER_TIMEOUT_SECONDS
        for service in self.pool.services.values():
            service.exchange.group.members.pop("e0", None)
        self.pool.follow("e2", 2, self.now)
        self.pool.tick()
        self.assertTrue(await asked)
        self.assertEqual(self.knowing(), ["e1", "e2", "e3"])

    async def test_cancel_is_lost_when_the_asked_instance_becomes_the_scheduler(self):
        self.pool.cut = {"e0"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        self.now += 2 * PEER_TIMEOUT_SECONDS
        for service in self.pool.services.values():
            service.exchange.group.members.pop("e0", None)
        self.pool.follow("e1", 2, self.now)
        self.pool.tick()
        self.assertTrue(await asked)

    async def test_repeated_cancel_under_a_new_claim_does_not_await_a_silent_instance(self):
        self.assertTrue(await self.cancel("e1"))
        self.pool.cut = {"e3"}
        self.pool.follow("e0", 2, self.now)
        self.pool.tick()
        self.assertFalse(await self.cancel("e0"))

    async def test_lost_request_is_not_repeated(self):
        self.pool.cut = {"e0"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        self.pool.cut = set()
        self.now += RESEND_SECONDS
        self.pool.hear(self.now)
        self.pool.tick()
        self.assertTrue(await asked)

    async def test_request_of_a_caller_that_has_left_is_given_up(self):
        self.pool.cut = {"e0"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        asked.cancel()
        self.pool.cut = set()
        self.now += RESEND_SECONDS
        self.pool.hear(self.now)
        self.pool.tick()
        self.assertEqual(self.knowing(), ["e0", "e1", "e2", "e3"])

    async def test_waiting_cancel_is_cut_off_at_the_end_of_a_drain(self):
        self.pool.cut = {"e3"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        self.pool.services["e1"].give_up_all()
        self.assertFalse(await asyncio.wait_for(asked, 0.1))
        # Callers keep their connections, and may send further requests over them.
        self.assertFalse(await asyncio.wait_for(self.begin("e1"), 0.3))
        self.pool.cut = set()
        self.now += RESEND_SECONDS
        self.pool.hear(self.now)
        self.pool.tick()
        self.assertTrue(await self.cancel("e1", "k"))

    async def test_requests_are_kept_for_ever(self):
        self.pool.cut = {"e3"}
        self.assertFalse(await self.cancel("e1"))
        self.now += REPLY_SECONDS + 1
        self.pool.tick()
        self.assertEqual(self.pool.services["e1"].asks, {})
        self.pool.tick()
        self.assertEqual(self.pool.services["e0"].spread.owed, [])

    async def test_instance_that_returns_is_not_told(self):
        self.pool.cut = {"e3"}
        self.assertFalse(await self.cancel("e1"))
        self.pool.cut = set()
        self.now += 30.0
        self.pool.hear(self.now)
        self.pool.tick()
        self.assertIn("e3", self.knowing())

    async def test_scheduler_that_has_just_started_does_not_know_of_earlier_cancels(self):
        self.assertTrue(await self.cancel("e1"))
        self.now += 5.0
        for service in self.pool.services.values():
            service.exchange.group.members.pop("e3", None)
        self.pool.tick()
        self.pool.services["e3"].cancelled = CancelledJobs()
        self.pool.follow("e3", 2, self.now)
        self.pool.tick()
        self.assertEqual(self.knowing(), ["e0", "e1", "e2", "e3"])

    async def test_instance_that_starts_without_a_scheduler_claims_without_knowledge(self):
        # Regression (test_cancelled_jobs, seed 3002): it ran a cancelled job of its own caller
        # before its first follower had told it.
        self.assertTrue(await self.cancel("e1"))
        self.now += 5.0
        for service in self.pool.services.values():
            service.exchange.group.members.pop("e3", None)
        self.pool.tick()
        self.pool.services["e3"].cancelled = CancelledJobs()
        self.pool.follow("", 0, self.now)
        self.pool.services["e1"].inform_new_members()
        self.assertIn("j", self.pool.services["e3"].cancelled)

    async def test_scheduler_that_was_cut_off_does_not_know_of_earlier_cancels(self):
        # Regression (test_cancelled_jobs, seed 3021): the others followed it when the cut ended.
        self.assertTrue(await self.cancel("e1"))
        self.pool.services["e3"].cancelled = CancelledJobs()
        self.pool.follow("e3", 2, self.now)
        self.pool.services["e1"].inform_new_members()
        self.assertIn("j", self.pool.services["e3"].cancelled)

    async def test_known_cancel_is_carried_out_again(self):
        # Each follower tells a new scheduler of all cancels.
        self.assertTrue(await self.cancel("e1"))
        ended = len(self.pool.ended["e3"])
        self.pool.follow("e3", 2, self.now)
        self.pool.tick()
        self.assertEqual(len(self.pool.ended["e3"]), ended)

    async def test_full_instance_confirms_what_it_does_not_remember(self):
        self.pool.services["e2"].cancelled.renew("k", self.now)
        with mock.patch.object(cancelling, "MAX_CANCELLED_JOBS", 1):
            self.assertFalse(await self.cancel("e1"))
            self.assertFalse(await self.cancel("e2"))

    async def test_request_is_confirmed_by_an_instance_that_does_not_schedule(self):
        self.pool.services["e2"].handle("e1", CancelRequest(("j",)))
        self.assertNotIn(
            "CancelConfirmed", [type(message).__name__ for _, _, message in self.pool.sent]
        )

    async def test_scheduler_that_left_confirms_for_its_zone(self):
        self.pool.services["e2"].handle("e0", CancelNews(1, ("j",), is_for_zone=True))
        self.assertIn("j", self.pool.services["e2"].cancelled)
        self.assertEqual(self.pool.sent, [])

    async def test_repeated_request_is_spread_again_and_again(self):
        self.pool.cut = {"e3"}
        asked = self.begin("e1")
        await asyncio.sleep(0)
        sent = len(self.pool.sent)
        for _ in range(5):
            self.now += RESEND_SECONDS
            self.pool.hear(self.now)
            self.pool.tick()
        kinds = [type(message) for _, _, message in self.pool.sent[sent:]]
        # The silent instance counts as live for a while, so it gets the batch again.
        self.assertEqual(set(kinds) - {CancelRequest}, {CancelNews})
        self.assertNotIn(CancelNewsNoted, kinds)
        asked.cancel()
