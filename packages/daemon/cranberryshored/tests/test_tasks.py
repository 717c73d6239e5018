import asyncio
from unittest import IsolatedAsyncioTestCase

from cranberryshored.tasks import cancel_tasks, start_task


class RecordingLog:
    def __init__(self):
        self.errors = []

    def error(self, message, **fields):
        self.errors.append((message, fields["error"]))


class StartTaskTest(IsolatedAsyncioTestCase):
    async def test_failure_is_logged(self):
        # Guards against a background task that fails without a log record. In soak seed 1031 an
        # instance received nothing from its peers, and its log could not have shown such a failure.
        async def fail() -> None:
            raise ValueError("no")

        log = RecordingLog()
        task = start_task(fail(), log)
        await asyncio.sleep(0.01)
        self.assertEqual(log.errors, [("Background task failed.", "ValueError('no')")])
        await cancel_tasks([task])

    async def test_cancelled_task_is_not_logged(self):
        log = RecordingLog()
        task = start_task(asyncio.sleep(10), log)
        await cancel_tasks([task])
        self.assertEqual(log.errors, [])

    async def test_unrequested_cancellation_is_logged(self):
        # Regression: a background task that ended by a cancellation of its own left no log record.
        async def end() -> None:
            raise asyncio.CancelledError

        log = RecordingLog()
        await asyncio.gather(start_task(end(), log), return_exceptions=True)
        self.assertEqual(log.errors, [("Background task failed.", "CancelledError()")])
