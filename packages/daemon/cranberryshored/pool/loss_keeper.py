"""Copy of the records of lost runs in the store, for a restart of all instances."""

import asyncio
from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import CrashHistory, LostRun
from cranberryshore.pool.crashes import RETENTION_SECONDS
from cranberryshored.pool.clock import now
from cranberryshored.pool.protocols import Registry
from cranberryshored.tasks import cancel_tasks, start_task

SAVE_SECONDS = 0.5
"""Interval of writes, in which further losses are batched."""

MAX_RETRY_SECONDS = 4.0
"""Longest pause between calls that fail, which doubles with each one."""


@attrs.define(eq=False)
class LossKeeper:
    """Saves the records of a scheduler, and loads those of earlier ones when it begins.

    Calls that fail are repeated for as long as records count.

    Parameters
    ----------
    publisher : str
        Incarnation of this instance.
    on_loaded : callable
        Called when records were loaded or received.
    is_changed : bool
        Whether there are records that have not been saved.
    changed_at : float
        Time of the latest change of a record.
    """

    publisher: str
    crashes: CrashHistory
    registry: Registry
    on_loaded: Callable[[], None]
    log: FilteringBoundLogger
    is_changed: bool = False
    changed_at: float = float("-inf")
    saving: asyncio.Task | None = None
    loading: asyncio.Task | None = None

    def save_soon(self) -> None:
        """Save the records, with others that change meanwhile."""
        self.is_changed, self.changed_at = True, now()
        if self.saving is None or self.saving.done():
            self.saving = start_task(self._save(), self.log)

    def load_soon(self) -> None:
        """Load the records of earlier schedulers, if the store responds."""
        if self.loading is None or self.loading.done():
            self.loading = start_task(self._load(), self.log)

    def merge(self, lost_runs: tuple[LostRun, ...]) -> None:
        """Take over the records that a peer has sent."""
        self.crashes.merge(lost_runs, now())
        self.crashes.discard_outdated(now())
        self.on_loaded()

    async def close(self) -> None:
        """Stop."""
        await cancel_tasks([self.saving, self.loading])

    async def _save(self) -> None:
        seconds = SAVE_SECONDS
        while self.is_changed and now() <= self.changed_at + RETENTION_SECONDS:
            self.is_changed = False
            is_saved = await self.registry.save_losses(self.publisher, self.crashes.records(now()))
            self.is_changed |= not is_saved
            seconds = SAVE_SECONDS if is_saved else seconds
            await asyncio.sleep(seconds)
            seconds = min(2 * seconds, MAX_RETRY_SECONDS)

    async def _load(self) -> None:
        seconds, begun_at = SAVE_SECONDS, now()
        while (lost_runs := await self.registry.load_losses()) is None:
            if now() > begun_at + RETENTION_SECONDS:
                return
            await asyncio.sleep(seconds)
            seconds = min(2 * seconds, MAX_RETRY_SECONDS)
        if lost_runs:
            self.crashes.merge(lost_runs, now())
            self.on_loaded()
