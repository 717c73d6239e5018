import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import structlog
from result import Err, Ok

from cranberryshore.pool import HeldWorker, HoldState, Scheduler, StartRun, WorkerStatus
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.pool import PollFailure, StartReply
from cranberryshored.pool.clock import (
    CLOCKS,
    TOKEN_INSTANCE_BITS,
    BaseTimeout,
    Clocks,
    TokenSource,
)
from cranberryshored.pool.worker_channel import TAKEOVER_TOKEN_RETRIES, WorkerChannel

WORKER_COUNT = 100
TAKEOVER_SECONDS = 1.5
"""Time between two take-overs."""

DIFFERENCE_SECONDS = 2.0
"""Difference of the clocks of the two instances that take over in turn."""

TAKEOVERS = (("10.0.0.1:1", 0.0), ("10.0.0.2:1", -DIFFERENCE_SECONDS))
"""Instances that take over in turn, with the errors of their clocks."""


class FencingCalls:
    """Workers that obey the highest token which they have seen."""

    def __init__(self):
        self.highest = {}

    async def poll(self, worker, poll, seconds):
        if poll.token < self.highest.get(worker.name, 0):
            return Err(PollFailure.FENCED)
        self.highest[worker.name] = poll.token
        return Ok(WorkerStatus(1, 0, (), ()))

    async def start_run(self, worker, start, seconds):
        return StartReply.UNANSWERED


class TakeoverTokenTest(IsolatedAsyncioTestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.unix, self.calls = 1_700_000_000.0, FencingCalls()
        self.addCleanup(setattr, CLOCKS, "unix", Clocks().unix)
        CLOCKS.unix = lambda: self.unix

    def open_channel(self, scheduler: Scheduler, name: str, tokens: TokenSource) -> WorkerChannel:
        worker = HeldWorker(
            name, name, "z", "s", Capacity(1), frozenset(), tokens.next(), registered_born=1
        )
        scheduler.workers[name] = worker
        log = make_logger("x")
        return WorkerChannel(
            worker, scheduler, self.calls, tokens, BaseTimeout(), lambda: None, log
        )

    async def take_over(
        self, instance: str, clock_error: float, count: int = WORKER_COUNT
    ) -> list[int]:
        """Take over workers from a new process; return how many are held after each poll."""
        self.unix += clock_error
        tokens, scheduler = TokenSource(instance), Scheduler()
        numbers = range(WORKER_COUNT - count, WORKER_COUNT)
        channels = [self.open_channel(scheduler, f"w{number}", tokens) for number in numbers]
        held = []
        for _ in range(1 + TAKEOVER_TOKEN_RETRIES):
            waiting = [item for item in channels if item.worker.state is HoldState.ACQUIRING]
            await asyncio.gather(*(channel._poll(0) for channel in waiting))
            held.append(sum(item.worker.state is HoldState.HELD for item in channels))
        self.unix += TAKEOVER_SECONDS - clock_error
        return held

    def seconds_ahead(self) -> float:
        """Return how far the highest token is ahead of the correct clock."""
        return max(self.calls.highest.values()) / (1000 << TOKEN_INSTANCE_BITS) - self.unix

    async def test_take_overs_of_many_workers_move_their_tokens_far_ahead(self):
        for number in range(12):
            instance, error = TAKEOVERS[number % 2]
            self.assertEqual((await self.take_over(instance, error))[-1], WORKER_COUNT)
        self.assertLess(self.seconds_ahead(), 2 * DIFFERENCE_SECONDS + 1.0)

    async def test_few_workers_are_lost_after_take_overs_of_many(self):
        # Each of the two had to advance the tokens of all workers by as many seconds as there are.
        for instance, error in TAKEOVERS * 3:
            await self.take_over(instance, error)
        self.assertEqual((await self.take_over("10.0.0.3:1", 0.0, count=2))[-1], 2)

    async def test_token_of_another_instance_is_repeated(self):
        tokens = [TokenSource(instance) for instance in ("10.0.0.1:1", "10.0.0.2:1")]
        high = tokens[0].next(tokens[1].next() + (5000 << TOKEN_INSTANCE_BITS))
        higher = tokens[1].next(high)
        self.assertGreater(higher, high)
        mask = (1 << TOKEN_INSTANCE_BITS) - 1
        self.assertEqual(higher & mask, tokens[1].instance_bits)
        self.assertLess(tokens[1].next(), high)

    async def test_unanswered_start_gives_a_worker_the_token_of_another_instance(self):
        tokens = TokenSource("10.0.0.1:1")
        channel = self.open_channel(Scheduler(), "w", tokens)
        worker = channel.worker
        worker.raise_token(tokens.advance(worker.token, 5.0))
        before = worker.token
        await channel._start_run(StartRun("w", ("j.0.0.0", 1), "", before, 10_000))
        self.assertGreater(worker.token, before)
        mask = (1 << TOKEN_INSTANCE_BITS) - 1
        self.assertEqual(worker.token & mask, tokens.instance_bits)
