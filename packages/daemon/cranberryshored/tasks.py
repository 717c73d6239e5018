"""Starting background tasks with failure logging, and cancelling them."""

import asyncio
from collections.abc import Coroutine, Iterable, Iterator
from contextlib import contextmanager

from structlog.typing import FilteringBoundLogger


def start_task(work: Coroutine, log: FilteringBoundLogger) -> asyncio.Task:
    """Start a background task and log its failure as soon as it occurs.

    Otherwise the exception would surface only when the task is awaited, which happens at
    shutdown. A cancellation that nobody requested, as when pynng passes on one of nng, also counts
    as a failure.

    Parameters
    ----------
    work : coroutine
        Coroutine that the task runs.
    log : logger
        Logger of the component that the task belongs to.
    """

    def report(task: asyncio.Task) -> None:
        if task.cancelled():
            error = None if task.cancelling() else asyncio.CancelledError()
        else:
            error = task.exception()
        if error is not None:
            log.error("Background task failed.", work=name, error=repr(error))

    name = work.__qualname__
    task = asyncio.create_task(work)
    task.add_done_callback(report)
    return task


@contextmanager
def failures_logged(log: FilteringBoundLogger, work: str, **context: object) -> Iterator[None]:
    """Log an unexpected error of one step, so that it does not end the task that repeats it."""
    try:
        yield
    except Exception as error:
        log.error("Unexpected error; going on.", work=work, error=repr(error), **context)


async def cancel_tasks(tasks: Iterable[asyncio.Task | None]) -> None:
    """Cancel tasks and wait until they have ended, ignoring their exceptions."""
    running = [task for task in tasks if task is not None]
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
