"""Sessions with all workers in the owner record of this instance."""

from collections.abc import Awaitable, Callable
from itertools import count

import attrs
from aiohttp import ClientSession
from structlog.typing import FilteringBoundLogger

from cranberryshore.ownership import OwnedWorker
from cranberryshored.metrics import Metrics
from cranberryshored.platform import WorkerEvents, WorkerLink

SILENCE_CHECK_INTERVAL_SECONDS = 0.25


@attrs.define(eq=False)
class WorkerLinks:
    """Opens and closes sessions as workers join and leave."""

    silence_timeout_seconds: float
    events: WorkerEvents
    metrics: Metrics
    log: FilteringBoundLogger
    open_http_session: Callable[[], Awaitable[ClientSession]]
    session: ClientSession | None = None
    links: dict[str, WorkerLink] = attrs.field(factory=dict)
    checked_at: float = 0.0
    session_numbers: count = attrs.field(factory=lambda: count(1))

    async def start(self) -> None:
        """Open the connection pool."""
        self.session = await self.open_http_session()

    async def close(self) -> None:
        """Close all sessions and the connection pool."""
        for link in self.links.values():
            await link.close()
        if self.session is not None:
            await self.session.close()

    async def connect(self, worker: OwnedWorker, address: str, owner: str) -> None:
        """Open a session with a worker, replacing one for another incarnation, address or owner."""
        old = self.links.get(worker.name)
        if old is not None:
            if (old.worker, old.address, old.owner) == (worker, address, owner):
                return
            await old.close()
        link = WorkerLink(
            worker,
            address,
            owner,
            self.silence_timeout_seconds,
            self.events,
            self.session,
            self.metrics,
            self.log,
            lambda: next(self.session_numbers),
        )
        self.links[worker.name] = link
        await link.start()

    async def disconnect(self, name: str) -> None:
        """Close the session with a worker that has left."""
        link = self.links.pop(name, None)
        if link is not None:
            await link.close()

    def open_link(self, worker: OwnedWorker) -> WorkerLink | None:
        """Return the open session with a worker incarnation, if any."""
        link = self.links.get(worker.name)
        if link is None or not link.is_open or link.worker != worker:
            return None
        return link

    def check_silence(self, now: float) -> None:
        """Let each session check whether its worker has been silent for too long.

        After a pause of this process, no worker counts as silent for more than half of the
        timeout: its messages may be waiting to be read.
        """
        gap = now - self.checked_at
        if gap < SILENCE_CHECK_INTERVAL_SECONDS:
            return
        self.checked_at = now
        max_silence = self.silence_timeout_seconds / 2
        for link in self.links.values():
            if gap > max_silence:
                link.last_received_at = max(link.last_received_at, now - max_silence)
            link.check_silence(now)
        self.metrics.open_workers.set(sum(link.is_open for link in self.links.values()))
