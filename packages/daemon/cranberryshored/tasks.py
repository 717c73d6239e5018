"""Ending of background tasks."""

import asyncio
from collections.abc import Iterable


async def end_tasks(tasks: Iterable[asyncio.Task | None]) -> None:
    """Cancel tasks and wait until they have ended, whatever they end with."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
