"""Queues of requests, found by the configuration in force."""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import ConfigConfirmation, PoolConfig, QueueSpec
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.tasks import cancel_tasks, start_task

READ_INTERVAL_SECONDS = 0.5
"""Shortest time between two reads of the configuration for unknown queues; while the store does not
answer, requests in between are rejected at once."""

MAX_READ_WAIT_SECONDS = 0.2
"""Longest wait of a request for such a read. Requests for known queues do not wait, so one that has
waited for longer would show a newer configuration than requests that arrived well after it; the
platform allows 250 ms for that."""


class RouteFailure(Enum):
    """Why no queue was found for a request.

    ``UNKNOWN_QUEUE`` claims that the newest configuration has no such queue, and ``UNCONFIRMED``
    makes no claim.
    """

    NO_CONFIGURATION = "no configuration yet"
    UNKNOWN_QUEUE = "no such queue"
    UNCONFIRMED = "no such queue is known, but the configuration may be outdated"


@attrs.define(eq=False)
class Router:
    """Finds queues, and reads the configuration again before it denies one.

    Parameters
    ----------
    config : callable
        Returns the configuration in force.
    read_config : callable
        Reads the configuration from the store, applies it, and records its confirmation.
    reading : asyncio.Task or None
        The read that is under way, or the latest one.
    read_at : float
        Time at which it began.
    """

    config: Callable[[], PoolConfig]
    confirmation: ConfigConfirmation
    read_config: Callable[[], Coroutine[Any, Any, None]]
    metrics: Metrics
    log: FilteringBoundLogger
    reading: asyncio.Task | None = None
    read_at: float = float("-inf")

    async def close(self) -> None:
        """Cancel the read that is under way."""
        await cancel_tasks([self.reading])

    async def find(self, host: str, path: str) -> Result[QueueSpec, RouteFailure]:
        """Return the queue of requests for a host and path."""
        queue = self.config().match_queue(host, path)
        if queue is None and not self._is_confirmed():
            arrived_at = now()
            await self._read_again()
            if now() - arrived_at >= MAX_READ_WAIT_SECONDS:
                return Err(self._deny(host, path, RouteFailure.UNCONFIRMED))
            queue = self.config().match_queue(host, path)
        if queue is not None:
            return Ok(queue)
        failure = RouteFailure.UNKNOWN_QUEUE if self._is_confirmed() else RouteFailure.UNCONFIRMED
        return Err(self._deny(host, path, failure))

    def _is_confirmed(self) -> bool:
        return self.confirmation.is_newest(self.config().version, now())

    async def _read_again(self) -> None:
        """Read the configuration, or wait for the read that is under way."""
        if self.reading is None or self.reading.done():
            if now() - self.read_at < READ_INTERVAL_SECONDS:
                return
            self.read_at = now()
            self.reading = start_task(self.read_config(), self.log)
        # A caller that disconnects must not cancel the read of the others.
        await asyncio.wait([self.reading], timeout=MAX_READ_WAIT_SECONDS)

    def _deny(self, host: str, path: str, failure: RouteFailure) -> RouteFailure:
        version = self.config().version
        if not version:
            return RouteFailure.NO_CONFIGURATION
        self.metrics.denied_requests.labels(failure.name.lower()).inc()
        self.log.info(
            "No queue for a request.",
            host=host,
            path=path,
            answer=failure.value,
            version=version,
            newest=self.confirmation.version,
            confirmed_seconds=round(self.confirmation.age(now()), 2),
        )
        return failure
