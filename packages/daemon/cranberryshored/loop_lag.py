"""Event loop lag: by how much timers, and thus all other callbacks, run late under load."""

import asyncio
from collections.abc import Callable

import attrs

from cranberryshored.tasks import cancel_tasks

MEASUREMENT_INTERVAL_SECONDS = 0.1
"""Interval between measurements; at ten per second they cost 0.1 % of a core."""


@attrs.define(eq=False)
class LoopLag:
    """Measures the lag of the event loop that it is started on.

    Parameters
    ----------
    on_lag : callable, optional
        Called with each measurement, in seconds.
    max_seconds : float
        The largest measurement, in seconds.
    """

    on_lag: Callable[[float], None] | None = None
    max_seconds: float = 0.0
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start measuring."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop measuring."""
        await cancel_tasks([self.task])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + MEASUREMENT_INTERVAL_SECONDS
            await asyncio.sleep(MEASUREMENT_INTERVAL_SECONDS)
            lag = max(loop.time() - due_at, 0.0)
            self.max_seconds = max(self.max_seconds, lag)
            if self.on_lag is not None:
                self.on_lag(lag)
