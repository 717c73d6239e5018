import asyncio
from unittest import IsolatedAsyncioTestCase

from cranberryshored.tasks import cancel_tasks, start_task


class RecordingLog:
    def __init__(self):
        self.errors = []

    def error(self, sentence, **fields):
        self.errors.append((sentence, fields["error"]))


class StartTaskTest(IsolatedAsyncioTestCase):
    async def test_failure_is_logged(self):
        # Cause: an instance that heard nobody (soak seed 1031) would have said nothing if one of
        # its loops had failed.
        async def fail() -> None:
            raise ValueError("no")

        log = RecordingLog()
        task = start_task(fail(), log)
        await asyncio.sleep(0.01)
        self.assertEqual(log.errors, [("Background task failed.", "ValueError('no')")])
        await cancel_tasks([task])

    async def test_cancelling_is_no_failure(self):
        log = RecordingLog()
        task = start_task(asyncio.sleep(10), log)
        await cancel_tasks([task])
        self.assertEqual(log.errors, [])
