import asyncio
import logging
from collections.abc import Callable
from unittest import IsolatedAsyncioTestCase

import structlog
from result import Err, Ok

from cranberryshore.pool import (
    AcknowledgedRights,
    HeldWorker,
    HoldState,
    PoolConfig,
    QueueSpec,
    Scheduler,
    StartRun,
    StepSpec,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.pool import PollFailure, StartReply
from cranberryshored.pool.clock import CLOCKS, BaseTimeout, Clocks, TokenSource
from cranberryshored.pool.worker_channel import WorkerChannel

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


class DelayedCalls:
    def __init__(self, answer_seconds: float = 0.0) -> None:
        self.answer_seconds = answer_seconds
        self.polls = 0
        self.replies: list[StartReply] = []

    async def poll(self, worker, poll, seconds):
        self.polls += 1
        if not await self.is_answered(seconds):
            return Err(PollFailure.UNANSWERED)
        return Ok(WorkerStatus(1, 0, (), ()))

    async def start_run(self, worker, start, seconds):
        is_answered = await self.is_answered(seconds)
        self.replies.append(StartReply.STARTED if is_answered else StartReply.UNANSWERED)
        return self.replies[-1]

    async def is_answered(self, seconds):
        await asyncio.sleep(min(self.answer_seconds, seconds))
        return seconds >= self.answer_seconds


class OrderedCalls(DelayedCalls):
    """Calls that fail in a given order, after a number of answered polls."""

    def __init__(self, answered_polls: int, *failures: StartReply | PollFailure) -> None:
        super().__init__()
        self.answered_polls = answered_polls
        self.failures = list(failures)

    async def poll(self, worker, poll, seconds):
        if self.polls < self.answered_polls:
            return await super().poll(worker, poll, seconds)
        return Err(await self.next_failure(PollFailure))

    async def start_run(self, worker, start, seconds):
        return await self.next_failure(StartReply)

    async def next_failure(self, kind):
        while not self.failures or not isinstance(self.failures[0], kind):
            await asyncio.sleep(0.001)
        return self.failures.pop(0)


class ChannelTestCase(IsolatedAsyncioTestCase):
    def open_channel(self, calls):
        structlog.configure(wrapper_class=quiet)
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        worker = HeldWorker(
            "w", "w", "z", "s", Capacity(1000, 10), frozenset(), 1, registered_born=1
        )
        scheduler = Scheduler(PoolConfig())
        scheduler.workers["w"] = worker
        channel = WorkerChannel(
            worker,
            scheduler,
            calls,
            TokenSource("e"),
            BaseTimeout(),
            lambda: None,
            make_logger("x"),
        )
        channel.start()
        return channel

    async def wait_for(self, is_met: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not is_met():
                await asyncio.sleep(0.01)


class WorkerChannelTest(ChannelTestCase):
    async def test_start_on_a_worker_that_is_slow_to_answer(self):
        # Regression (soak seed 2 on a busy machine): workers took more than 60 ms to respond for
        # several seconds, so every start request timed out and every job was refused.
        channel = self.open_channel(DelayedCalls(0.15))
        worker = channel.worker
        for _ in range(100):
            await asyncio.sleep(0.02)
            if worker.state is HoldState.HELD:
                break
        channel.send_order(StartRun("w", ("j.0.0.0", 1), "", worker.token, 10_000))
        await asyncio.sleep(0.4)
        self.assertEqual(channel.calls.replies, [StartReply.STARTED])
        await channel.close()

    async def test_poll_of_an_idle_worker(self):
        # Regression (client account Haneul, scenario "grown trouble-2"): jobs of a scheduler that
        # had left waited 1.4 s, because idle workers were not polled to confirm that no runs of
        # the jobs remained there.
        calls = DelayedCalls()
        channel = self.open_channel(calls)
        await asyncio.sleep(0.05)
        self.assertEqual(calls.polls, 1)
        channel.poll_now()
        await asyncio.sleep(0.05)
        self.assertEqual(calls.polls, 2)
        await channel.close()

    async def test_worker_is_never_polled_again_after_two_parallel_polls_have_failed(self):
        calls = DelayedCalls()
        channel = self.open_channel(calls)
        worker = channel.worker
        while worker.state is not HoldState.HELD:
            await asyncio.sleep(0.01)
        calls.answer_seconds = float("inf")
        channel.poll_now()
        await asyncio.sleep(0.02)
        channel.poll_now()
        while worker.state is HoldState.HELD:
            await asyncio.sleep(0.01)
        calls.answer_seconds = 0.0
        async with asyncio.timeout(5):
            while worker.state is not HoldState.HELD:
                await asyncio.sleep(0.01)
        await channel.close()

    async def test_error_in_one_poll_ends_the_polling_of_the_worker(self):
        class FailingCalls(DelayedCalls):
            async def poll(self, worker, poll, seconds):
                if not self.polls:
                    self.polls += 1
                    raise KeyError("odd")
                return await super().poll(worker, poll, seconds)

        channel = self.open_channel(FailingCalls())
        async with asyncio.timeout(5):
            while channel.worker.state is not HoldState.HELD:
                await asyncio.sleep(0.01)
        await channel.close()

    async def test_error_in_one_status_ends_the_polling_of_the_worker(self):
        statuses = [WorkerStatus(1, 0, None, ()), WorkerStatus(1, 0, (), ())]

        class FailingCalls(DelayedCalls):
            async def poll(self, worker, poll, seconds):
                return Ok(statuses.pop(0))

        channel = self.open_channel(FailingCalls())
        async with asyncio.timeout(5):
            while channel.worker.state is not HoldState.HELD:
                await asyncio.sleep(0.01)
        await channel.close()

    async def test_refused_start_is_sent_to_the_same_worker_again(self):
        class RefusingCalls(DelayedCalls):
            async def start_run(self, worker, start, seconds):
                return StartReply.REFUSED

        channel = self.open_channel(RefusingCalls())
        worker = channel.worker
        while worker.state is not HoldState.HELD:
            await asyncio.sleep(0.01)
        await channel._start_run(StartRun("w", ("j.0.0.0", 1), "", worker.token, 10_000))
        self.assertIs(worker.state, HoldState.SILENT)
        await channel.close()

    async def test_start_without_room_is_repeated_without_end(self):
        class FullCalls(DelayedCalls):
            starts = 0

            async def start_run(self, worker, start, seconds):
                self.starts += 1
                await asyncio.sleep(0.002)
                return StartReply.NO_ROOM

        calls = FullCalls()
        channel = self.open_channel(calls)
        scheduler = channel.scheduler
        queue = QueueSpec("q", "h", "/q/", "s", slack_factor=2.0, aim_ms=5000)
        scheduler.config, scheduler.rights = PoolConfig(1, (queue,)), AcknowledgedRights("e")

        def apply_effects():
            for effect in scheduler.take_effects():
                if isinstance(effect, StartRun):
                    channel.send_order(effect)

        channel.on_change = apply_effects
        while channel.worker.state is not HoldState.HELD:
            await asyncio.sleep(0.01)
        step = StepSpec(1, Capacity(1000, 10), 100)
        scheduler.submit(WorkRequest("j", "q", "", (step,), 5000), "e", CLOCKS.steady())
        apply_effects()
        await asyncio.sleep(0.3)
        self.assertLessEqual(calls.starts, 10)
        await channel.close()

    async def test_start_whose_lease_has_ended_is_sent_after_a_pause(self):
        channel = self.open_channel(DelayedCalls())
        worker, real = channel.worker, CLOCKS.steady
        while worker.state is not HoldState.HELD:
            await asyncio.sleep(0.01)
        lease_end_ms = worker.lease_end_ms(CLOCKS.steady())
        channel.send_order(StartRun("w", ("j.0.0.0", 1), "", worker.token, lease_end_ms))
        CLOCKS.steady = lambda: real() + 3.0
        await asyncio.sleep(0.05)
        self.assertEqual(channel.calls.replies, [])
        await channel.close()


class RefusedCallsTest(ChannelTestCase):
    """A worker that crashes while the starts of two tasks are on their way to it (issue 41)."""

    async def crashes_after(self, *failures: StartReply | PollFailure) -> list[int]:
        """Return the crashes under each of the tasks, after calls that fail in this order.

        The lease holds, and another process answers at the end.
        """
        channel = self.open_channel(OrderedCalls(2, *failures, PollFailure.WORKER_RESTARTED))
        moment = CLOCKS.steady()
        self.addCleanup(setattr, CLOCKS, "steady", CLOCKS.steady)
        CLOCKS.steady = lambda: moment
        async with asyncio.timeout(5):
            while channel.worker.state is not HoldState.HELD:
                await asyncio.sleep(0.001)
            channel.poll_now()
            while channel.worker.lease_until < moment:
                await asyncio.sleep(0.001)
            self.submit(channel)
            while channel.calls.failures:
                await asyncio.sleep(0.001)
        await channel.close()
        crashes = channel.scheduler.crashes
        crashes.confirm_registered("w", 1, moment)
        return [crashes.crashed_workers(task) for task in ("j.0.0.0", "j.0.0.1")]

    def submit(self, channel: WorkerChannel) -> None:
        """Submit a job of two tasks, and send their starts."""
        scheduler = channel.scheduler
        queue = QueueSpec("q", "h", "/q/", "s", slack_factor=2.0, aim_ms=5000)
        scheduler.config, scheduler.rights = PoolConfig(1, (queue,)), AcknowledgedRights("e")
        step = StepSpec(2, Capacity(500, 5), 100)
        scheduler.submit(WorkRequest("j", "q", "", (step,), 5000), "e", CLOCKS.steady())
        starts = [item for item in scheduler.take_effects() if isinstance(item, StartRun)]
        self.assertEqual(len(starts), 2)
        for start in starts:
            channel.send_order(start)

    async def test_starts_that_were_refused_before_and_after_a_poll_count_as_crashed_under(self):
        refused = StartReply.REFUSED, PollFailure.REFUSED, StartReply.REFUSED
        self.assertEqual(await self.crashes_after(*refused), [0, 0])

    async def test_starts_that_were_refused_after_a_closed_poll_count_as_crashed_under(self):
        refused = StartReply.REFUSED, PollFailure.REFUSED, StartReply.REFUSED
        self.assertEqual(await self.crashes_after(PollFailure.CLOSED, *refused), [0, 0])

    async def test_starts_that_were_closed_with_a_poll_count_as_crashed_under(self):
        closed = PollFailure.CLOSED, StartReply.CLOSED, StartReply.CLOSED
        self.assertEqual(await self.crashes_after(*closed, PollFailure.REFUSED), [0, 0])
