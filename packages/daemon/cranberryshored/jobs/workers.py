"""Sessions with all workers that this instance's owner record names."""

from collections.abc import Awaitable, Callable
from itertools import count

import attrs
from aiohttp import ClientSession
from structlog.typing import FilteringBoundLogger

from cranberryshore.ownership import OwnedWorker
from cranberryshored.metrics import Metrics
from cranberryshored.platform import WorkerEvents, WorkerLink

SILENCE_CHECK_SECONDS = 0.25


@attrs.define(eq=False)
class WorkerLinks:
    """Opens and closes sessions as workers come and go."""

    lost_seconds: float
    events: WorkerEvents
    metrics: Metrics
    log: FilteringBoundLogger
    open_session: Callable[[], Awaitable[ClientSession]]
    session: ClientSession | None = None
    links: dict[str, WorkerLink] = attrs.field(factory=dict)
    checked_at: float = 0.0
    sessions: count = attrs.field(factory=lambda: count(1))

    async def start(self) -> None:
        """Open the connection pool."""
        self.session = await self.open_session()

    async def close(self) -> None:
        """End all sessions."""
        for link in self.links.values():
            await link.close()
        if self.session is not None:
            await self.session.close()

    async def connect(self, worker: OwnedWorker, address: str, owner: str) -> None:
        """Keep a session with a worker, in place of one with an earlier incarnation or owner."""
        old = self.links.get(worker.name)
        if old is not None:
            if (old.worker, old.address, old.owner) == (worker, address, owner):
                return
            await old.close()
        link = WorkerLink(
            worker,
            address,
            owner,
            self.lost_seconds,
            self.events,
            self.session,
            self.metrics,
            self.log,
            lambda: next(self.sessions),
        )
        self.links[worker.name] = link
        await link.start()

    async def disconnect(self, name: str) -> None:
        """End the session with a worker that is gone."""
        link = self.links.pop(name, None)
        if link is not None:
            await link.close()

    def open_link(self, worker: OwnedWorker) -> WorkerLink | None:
        """Return the open session with a worker incarnation, if there is one."""
        link = self.links.get(worker.name)
        if link is None or not link.is_open or link.worker != worker:
            return None
        return link

    def check_silence(self, now: float) -> None:
        """Report workers that have been silent for too long."""
        if now - self.checked_at < SILENCE_CHECK_SECONDS:
            return
        self.checked_at = now
        for link in self.links.values():
            link.check_silence(now)
        self.metrics.open_workers.set(sum(link.is_open for link in self.links.values()))
