"""Background tasks: started so that a failure is logged, and ended."""

import asyncio
from collections.abc import Coroutine, Iterable

from structlog.typing import FilteringBoundLogger


def start_task(work: Coroutine, log: FilteringBoundLogger) -> asyncio.Task:
    """Start a background task; if it fails, that is logged at once.

    Without this a failure is known only when somebody waits for the task, which is at the end of
    the process.

    Parameters
    ----------
    work : coroutine
        What the task does.
    log : logger
        Log of the part that the task belongs to.
    """

    def report(task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.error("Background task failed.", work=name, error=repr(task.exception()))

    name = work.__qualname__
    task = asyncio.create_task(work)
    task.add_done_callback(report)
    return task


async def cancel_tasks(tasks: Iterable[asyncio.Task | None]) -> None:
    """Cancel tasks and wait until they have ended, whatever they end with."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
