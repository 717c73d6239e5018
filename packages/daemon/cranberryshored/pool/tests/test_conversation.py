import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import structlog
from result import Err, Ok

from cranberryshore.pool import (
    HeldWorker,
    HoldState,
    PoolConfig,
    Scheduler,
    StartRun,
    WorkerStatus,
)
from cranberryshore.work import Capacity
from cranberryshored.log import part_log
from cranberryshored.pool import LookFailure, StartReply
from cranberryshored.pool.clock import CLOCKS, Clocks, Patience, TokenSource
from cranberryshored.pool.conversation import Conversation

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


class AnsweringCalls:
    def __init__(self, answer_seconds: float = 0.0) -> None:
        self.answer_seconds = answer_seconds
        self.looks = 0
        self.replies: list[StartReply] = []

    async def look(self, worker, look, seconds):
        self.looks += 1
        if not await self.is_answered(seconds):
            return Err(LookFailure.UNANSWERED)
        return Ok(WorkerStatus(1, 0, (), ()))

    async def start_run(self, worker, start, seconds):
        is_answered = await self.is_answered(seconds)
        self.replies.append(StartReply.STARTED if is_answered else StartReply.UNANSWERED)
        return self.replies[-1]

    async def is_answered(self, seconds):
        await asyncio.sleep(min(self.answer_seconds, seconds))
        return seconds >= self.answer_seconds


class ConversationTest(IsolatedAsyncioTestCase):
    def converse(self, calls):
        structlog.configure(wrapper_class=quiet)
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        worker = HeldWorker("w", "w", "z", "s", Capacity(1000, 10), frozenset(), 1)
        scheduler = Scheduler(PoolConfig())
        scheduler.workers["w"] = worker
        conversation = Conversation(
            worker, scheduler, calls, TokenSource("e"), Patience(), lambda: None, part_log("x")
        )
        conversation.start()
        return conversation

    async def test_start_on_a_worker_that_is_slow_to_answer(self):
        # Cause: soak seed 2 on a busy machine, workers answered after more than 60 ms for
        # seconds, so that no start was ever answered in time and every job was refused.
        conversation = self.converse(AnsweringCalls(0.15))
        worker = conversation.worker
        for _ in range(100):
            await asyncio.sleep(0.02)
            if worker.state is HoldState.HELD:
                break
        conversation.begin(StartRun("w", ("j.0.0.0", 1), "", worker.token, 0))
        await asyncio.sleep(0.4)
        self.assertEqual(conversation.calls.replies, [StartReply.STARTED])
        await conversation.close()

    async def test_look_at_a_worker_on_which_nothing_runs(self):
        # Cause: Haneul grown trouble-2, jobs of a scheduler that had left waited 1.4 s, since
        # idle workers were not looked at to show that nothing of the jobs ran there.
        calls = AnsweringCalls()
        conversation = self.converse(calls)
        await asyncio.sleep(0.05)
        self.assertEqual(calls.looks, 1)
        conversation.look_now()
        await asyncio.sleep(0.05)
        self.assertEqual(calls.looks, 2)
        await conversation.close()
