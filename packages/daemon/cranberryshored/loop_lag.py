"""How late an event loop runs its timers: on a busy machine all else is late by as much."""

import asyncio
from collections.abc import Callable

import attrs

from cranberryshored.tasks import cancel_tasks

PERIOD_SECONDS = 0.1
"""Time between two measurements: ten a second cost a thousandth of a core."""


@attrs.define(eq=False)
class LoopLag:
    """Measures the loop that it is started on.

    Parameters
    ----------
    on_lag : callable, optional
        Told of each measurement, in seconds.
    worst : float
        The largest measurement, in seconds.
    """

    on_lag: Callable[[float], None] | None = None
    worst: float = 0.0
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to measure."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        await cancel_tasks([self.task])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            planned = loop.time() + PERIOD_SECONDS
            await asyncio.sleep(PERIOD_SECONDS)
            lag = max(loop.time() - planned, 0.0)
            self.worst = max(self.worst, lag)
            if self.on_lag is not None:
                self.on_lag(lag)
