"""Callers that cancel jobs at any instance: running ones, again, and before they are submitted."""

import asyncio
import time
from collections.abc import Mapping
from random import Random

import attrs
from aiohttp import ClientError, TCPConnector

from cranberryshore.pool import QueueSpec
from cranberryshore_platform.tests import platform_api
from cranberryshore_soak.history import CANCEL_TIMEOUT_SECONDS, History
from cranberryshore_soak.processes import DaemonProcess
from cranberryshored.platform.session import single_try_session

CANCELLED_SHARE = 0.08
"""Share of the jobs that a caller cancels."""

EARLY_SHARE = 0.3
"""Share of these that are cancelled before they are submitted, so that DELETE may overtake POST."""

MAX_DELAY_SECONDS = 1.5
MAX_ATTEMPTS = 3
RETRY_SECONDS = 0.5

STOP_SECONDS = 0.3
"""Time in which the last runs of a cancelled job end: 50 ms, and the lag of a busy machine."""

ACKNOWLEDGED_STATUSES = {200, 410}


@attrs.define(eq=False)
class Canceller:
    """Cancels some of the jobs, and records which cancels were acknowledged.

    Parameters
    ----------
    daemons : mapping
        Instances by name. The one that is asked need not be the one that has the job.
    """

    queue: QueueSpec
    history: History
    random: Random
    daemons: Mapping[str, DaemonProcess]
    share: float = CANCELLED_SHARE
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def is_chosen(self) -> bool:
        """Return whether the next job will be cancelled."""
        return self.random.random() < self.share

    def cancel_soon(self, job: str) -> None:
        """Cancel a job at once or after a while."""
        is_early = self.random.random() < EARLY_SHARE
        delay = 0.0 if is_early else self.random.uniform(0.0, MAX_DELAY_SECONDS)
        task = asyncio.create_task(self._cancel(job, delay))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Wait for the cancels under way."""
        await asyncio.gather(*self.tasks)

    async def _cancel(self, job: str, delay: float) -> None:
        await asyncio.sleep(delay)
        async with single_try_session(TCPConnector(limit=1)) as session:
            for _ in range(MAX_ATTEMPTS):
                daemon = self.daemons[self.random.choice(sorted(self.daemons))]
                asked_at = time.monotonic()
                try:
                    status = await platform_api.cancel(session, daemon.front, self.queue, job)
                except (ClientError, OSError, TimeoutError) as error:
                    self.history.record_event(
                        f"{daemon.name} does not answer a cancel of {job}: {error!r}"
                    )
                    status = 0
                if status in ACKNOWLEDGED_STATUSES:
                    self.history.job_cancelled(job, daemon.name, asked_at)
                    await asyncio.sleep(CANCEL_TIMEOUT_SECONDS + STOP_SECONDS)
                    self.history.check_cancelled_runs(job)
                    return
                await asyncio.sleep(RETRY_SECONDS)
