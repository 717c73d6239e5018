"""What follows from each reply to a start."""

from cranberryshore.pool import (
    HoldState,
    PoolConfig,
    QueueSpec,
    StartRun,
    StepSpec,
    WorkRequest,
)
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity
from cranberryshored.pool import StartReply
from cranberryshored.pool.clock import CLOCKS
from cranberryshored.pool.tests.test_worker_channel import ChannelTestCase, DelayedCalls


class ReplyingCalls(DelayedCalls):
    """Replies to each start in the same way."""

    reply = StartReply.STARTED

    async def start_run(self, worker, start, seconds):
        return self.reply


class StartReplyTest(ChannelTestCase):
    async def start(self, reply: StartReply):
        """Start the only task of a job on a worker that replies so, and return the scheduler."""
        calls = ReplyingCalls()
        calls.reply = reply
        channel = self.open_channel(calls)
        scheduler = channel.scheduler
        queue = QueueSpec("q", "h", "/q/", "s", slack_factor=2.0, aim_ms=5000)
        scheduler.config, scheduler.rights = PoolConfig(1, (queue,)), UnlimitedRights()
        await self.wait_for(lambda: channel.worker.state is HoldState.HELD)
        step = StepSpec(1, Capacity(1000, 10), 100)
        scheduler.submit(WorkRequest("j", "q", "", (step,), 5000), "e", CLOCKS.steady())
        (start,) = [item for item in scheduler.take_effects() if isinstance(item, StartRun)]
        await channel._start_run(start)
        await channel.close()
        return scheduler

    async def test_start_that_was_fenced_counts_until_its_lease_has_ended(self):
        scheduler = await self.start(StartReply.FENCED)
        self.assertIs(scheduler.workers["w"].state, HoldState.LOST)
        self.assertEqual(scheduler.workers["w"].runs, {})
        self.assertEqual(scheduler.waiting_tasks(), 1)
        self.assertFalse(scheduler.jobs["j"].has_started)

    async def test_each_reply_that_shows_that_nothing_was_done_withdraws_the_start(self):
        for reply in (
            StartReply.REFUSED,
            StartReply.ATTEMPT_LOW,
            StartReply.LEASE_EXPIRED,
            StartReply.NO_ROOM,
            StartReply.UNHEALTHY,
            StartReply.WORKER_RESTARTED,
        ):
            with self.subTest(reply=reply):
                scheduler = await self.start(reply)
                self.assertEqual(scheduler.workers["w"].runs, {})
                self.assertFalse(scheduler.jobs["j"].has_started)

    async def test_start_may_have_begun_after_each_reply_that_shows_nothing(self):
        for reply in (
            StartReply.CLOSED,
            StartReply.DISCONNECTED,
            StartReply.UNANSWERED,
            StartReply.MALFORMED,
        ):
            with self.subTest(reply=reply):
                scheduler = await self.start(reply)
                worker = scheduler.workers["w"]
                self.assertIs(worker.state, HoldState.SILENT)
                self.assertEqual(list(worker.runs), [("j.0.0.0", 1)])
                self.assertEqual(scheduler.waiting_tasks(), 0)
                self.assertTrue(scheduler.jobs["j"].has_started)
                certain = worker.possible_runs(CLOCKS.steady())
                self.assertEqual(certain, {("j.0.0.0", 1): False})
