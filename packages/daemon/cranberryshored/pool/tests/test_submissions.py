"""Tests of the acceptance of submitted jobs."""

import asyncio
import logging
from unittest import IsolatedAsyncioTestCase, mock

import structlog

from cranberryshore.messages import SubmitWork
from cranberryshore.pool import (
    Claim,
    Group,
    MemberAddress,
    Outcome,
    PoolConfig,
    StepSpec,
    WorkRequest,
)
from cranberryshore.pool.stream import StreamPosition
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.submissions import (
    MAX_EARLY_SECONDS,
    MAX_SUBMIT_AGE_SECONDS,
    SubmissionHandler,
)

ENTRY = MemberAddress("e.1", "127.0.0.1:2", "a")
TERM = 7


class SubmissionHandlerTest(IsolatedAsyncioTestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        group = Group(MemberAddress("s.1", "127.0.0.1:1", "a"), 0.0, claim=Claim(TERM))
        self.member = group.record_contact(ENTRY, self.now)
        self.exchange, self.scheduling = mock.Mock(group=group), mock.Mock()
        self.config, self.ends = PoolConfig(3), []
        self.handler = SubmissionHandler(
            self.exchange, self.scheduling, lambda: self.config, self.ends.append, make_logger("x")
        )

    def submit(self, age: float = 0.0, epoch: int = 0, term: int = TERM, job: str = "j") -> None:
        request = WorkRequest(job, "q", "", (StepSpec(1, Capacity(1000), 100),), 5000)
        place = StreamPosition(1, 1, 1)
        message = SubmitWork(place, request, epoch, self.now - age, term)
        self.handler.handle(ENTRY.incarnation, message)

    def submitted(self) -> list[str]:
        return [call.args[0].id for call in self.scheduling.submit.call_args_list]

    def dropped(self) -> list[str]:
        self.assertEqual({end.outcome for end in self.ends} - {Outcome.DROPPED}, set())
        return [end.job for end in self.ends]

    def test_current_job_is_scheduled(self):
        self.submit(MAX_SUBMIT_AGE_SECONDS - 0.01)
        self.assertEqual((self.submitted(), self.dropped()), (["j"], []))

    def test_job_delayed_in_transit_was_started_beside_its_next_scheduler(self):
        # After this time its entry instance may have submitted it to another scheduler.
        self.submit(MAX_SUBMIT_AGE_SECONDS + 0.01)
        self.assertEqual((self.submitted(), self.dropped()), ([], ["j"]))

    def test_job_of_another_epoch_or_claim_is_dropped(self):
        self.submit(term=TERM - 1)
        self.member.epoch = 2
        self.submit(epoch=1, job="k")
        self.assertEqual((self.submitted(), self.dropped()), ([], ["j", "k"]))

    async def test_job_waits_for_the_configuration_of_its_entry_instance(self):
        self.member.config_version = 4
        self.submit()
        self.assertEqual((self.submitted(), self.dropped()), ([], []))
        self.config = PoolConfig(4)
        self.handler.retry()
        self.assertEqual(self.submitted(), ["j"])

    async def test_job_is_scheduled_when_the_configuration_does_not_arrive(self):
        self.member.config_version = 4
        self.submit()
        self.now += MAX_EARLY_SECONDS
        await asyncio.sleep(MAX_EARLY_SECONDS + 0.1)
        self.assertEqual(self.submitted(), ["j"])

    async def test_waiting_job_is_dropped_when_its_entry_instance_has_left(self):
        self.member.config_version = 4
        self.submit()
        self.member.epoch = 1
        self.config = PoolConfig(4)
        self.handler.retry()
        self.assertEqual((self.submitted(), self.dropped()), ([], ["j"]))

    async def test_cancelled_job_does_not_wait_any_more(self):
        self.member.config_version = 4
        self.submit()
        self.handler.cancel("j")
        self.handler.retry()
        self.assertEqual((self.submitted(), self.dropped()), ([], []))
