import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import structlog
from result import Ok

from cranberryshore.pool import HeldWorker, LookAnswer, PoolConfig, Scheduler
from cranberryshore.work import Capacity
from cranberryshored.log import part_log
from cranberryshored.pool.clock import CLOCKS, Clocks, Patience, TokenSource
from cranberryshored.pool.conversation import Conversation

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


class AnsweringCalls:
    def __init__(self) -> None:
        self.looks = 0

    async def look(self, worker, look, seconds):
        self.looks += 1
        return Ok(LookAnswer(1, 0, (), ()))


class IdleWorkerTest(IsolatedAsyncioTestCase):
    async def test_look_at_a_worker_on_which_nothing_runs(self):
        # Cause: Haneul grown trouble-2, jobs of a scheduler that had left waited 1.4 s, since
        # idle workers were not looked at to show that nothing of the jobs ran there.
        structlog.configure(wrapper_class=quiet)
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        worker = HeldWorker("w", "w", "z", "s", Capacity(1000, 10), frozenset(), 1)
        scheduler, calls = Scheduler(PoolConfig()), AnsweringCalls()
        scheduler.workers["w"] = worker
        conversation = Conversation(
            worker, scheduler, calls, TokenSource("e"), Patience(), lambda: None, part_log("x")
        )
        conversation.start()
        await asyncio.sleep(0.05)
        self.assertEqual(calls.looks, 1)
        conversation.look_now()
        await asyncio.sleep(0.05)
        self.assertEqual(calls.looks, 2)
        await conversation.close()
