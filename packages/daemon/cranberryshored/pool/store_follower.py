"""Copies of a part of the store, followed by watches over connections that may fall silent."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshored.platform.listing import PagedStore, join_pages
from cranberryshored.platform.store import (
    KeyListing,
    KeyPage,
    StoreFailure,
    StoreUnavailable,
    WatchCompacted,
    WatchResult,
)
from cranberryshored.pool.clock import now
from cranberryshored.tasks import failures_logged

T = TypeVar("T")

RETRY_SECONDS = 0.25
"""Shortest time between a call to the store that failed and the next one."""

MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS = 0.5, 1.5
"""Limits of the timeout of a call, without the time that a watch waits.

A call that begins just before the end of an outage is repeated when its timeout has passed, well
within the 3 s that the platform allows for a reconnection.
"""

TIMEOUT_FACTOR = 3.0
"""Ratio of the timeout to the latest response time."""


@attrs.define
class CallTimeout:
    """Timeout of calls to the store, from the latest response time and the calls without one.

    Examples
    --------
    >>> timeout = CallTimeout()
    >>> timeout.expired()
    >>> timeout.seconds
    1.5
    >>> timeout.answered(0.4)
    >>> round(timeout.seconds, 1)
    1.2
    """

    seconds: float = MIN_TIMEOUT_SECONDS

    def answered(self, seconds: float) -> None:
        """Record the time of a response."""
        self.seconds = min(max(TIMEOUT_FACTOR * seconds, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)

    def expired(self) -> None:
        """Record that a call was not answered in time; the store may be slow from now on."""
        self.seconds = MAX_TIMEOUT_SECONDS


async def call_in_time(
    call: Awaitable[Result[T, StoreFailure]], seconds: float
) -> Result[T, StoreFailure]:
    """Await a call to the store, which is cancelled and fails when a time has passed."""
    try:
        async with asyncio.timeout(seconds):
            return await call
    except TimeoutError:
        return Err(StoreUnavailable(f"no answer within {seconds:.2f} s"))


@attrs.define(eq=False)
class StoreStatus:
    """Logs the loss and the return of the store, once each for all followers."""

    log: FilteringBoundLogger
    is_unreachable: bool = False

    def failed(self, prefix: str, failure: StoreFailure) -> None:
        """Record a failed call."""
        if not self.is_unreachable:
            self.is_unreachable = True
            self.log.warning(
                "Store does not answer; calling again.", prefix=prefix, error=str(failure)
            )

    def answered(self) -> None:
        """Record a successful call."""
        if self.is_unreachable:
            self.is_unreachable = False
            self.log.info("Store responds again.")


@attrs.define(eq=False)
class StoreFollower:
    """Follows the entries under a prefix.

    The time limit is that of each answer, so a listing may take longer, page by page.

    Parameters
    ----------
    store : PagedStore
        Client that no other calls use: its connection is closed with a call that is not answered,
        so the next call takes a new one, and never one that another call has left silent.
    wait_ms : int
        Longest wait of a watch.
    report : callable
        Called with all entries, and a time at which they were the newest ones, after each response.
    pause : float
        Time in which changes are batched.
    on_page : callable
        Called with each page of a listing that the store has answered.
    timeout : CallTimeout
        Limit of an answer; the longest one until the store has answered.
    revision : int
        Revision of the store as of which the latest report was made.
    """

    store: PagedStore
    prefix: str
    wait_ms: int
    report: Callable[[dict[str, str], float], None]
    status: StoreStatus
    pause: float = 0.0
    on_page: Callable[[], None] = lambda: None
    timeout: CallTimeout = attrs.field(factory=lambda: CallTimeout(MAX_TIMEOUT_SECONDS))
    revision: int = 0

    async def run(self) -> None:
        """Follow the entries until cancelled; after an unexpected error, from a new listing."""
        while True:
            with failures_logged(self.status.log, "follow", prefix=self.prefix):
                await self._follow()
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow(self) -> None:
        while True:
            begun_at = now()
            listing = await join_pages(self._read_page)
            if isinstance(listing, Ok):
                await self._watch(listing.ok_value, begun_at)

    async def _read_page(self, after: str) -> Result[KeyPage, StoreFailure]:
        """Read a page of a listing; after a failure, return when it may be repeated."""
        begun_at = now()
        page = await call_in_time(self.store.list_page(self.prefix, after), self.timeout.seconds)
        if isinstance(page, Err):
            await self._retry_after(begun_at, page.err_value)
        else:
            self.status.answered()
            self.timeout.answered(now() - begun_at)
            self.on_page()
        return page

    def _report(self, entries: dict[str, str], confirmed_at: float) -> None:
        """Report the entries; the next change is reported also if that fails."""
        with failures_logged(self.status.log, "report", prefix=self.prefix):
            self.report(entries, confirmed_at)

    async def _watch(self, listing: KeyListing, listed_at: float) -> None:
        """Report changes after a listing until the store has compacted its change history."""
        entries = {entry.key: entry.value for entry in listing.entries}
        self.revision = listing.revision
        self._report(entries, listed_at)
        wait_ms = self.wait_ms
        while True:
            begun_at = now()
            watched = await call_in_time(
                self.store.watch(self.prefix, self.revision, wait_ms),
                wait_ms / 1000 + self.timeout.seconds,
            )
            if isinstance(watched, Err):
                if isinstance(watched.err_value, WatchCompacted):
                    self.status.log.info(
                        "Store has compacted the changes; listing all entries again.",
                        prefix=self.prefix,
                    )
                    return
                await self._retry_after(begun_at, watched.err_value)
                wait_ms = 0
                continue
            result = watched.ok_value
            seconds = now() - begun_at
            is_whole_wait = not result.changes and seconds >= wait_ms / 1000
            waited_seconds = wait_ms / 1000 if is_whole_wait else 0.0
            self.status.answered()
            if is_whole_wait:
                self.timeout.answered(seconds - waited_seconds)
            self._apply(entries, result)
            self.revision = max(self.revision, result.revision)
            # An empty response is sent when the whole wait has passed without a change.
            self._report(entries, begun_at + waited_seconds)
            if result.changes:
                await asyncio.sleep(self.pause)
            # The response to a change does not tell when it was sent; the next one must not wait.
            wait_ms = 0 if result.changes else self.wait_ms

    @staticmethod
    def _apply(entries: dict[str, str], watched: WatchResult) -> None:
        for change in watched.changes:
            if change.value is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.value

    async def _retry_after(self, begun_at: float, failure: StoreFailure) -> None:
        """Wait until a failed call may be repeated; one that used up its timeout, at once."""
        self.status.failed(self.prefix, failure)
        seconds = now() - begun_at
        if seconds >= self.timeout.seconds:
            self.timeout.expired()
        await asyncio.sleep(max(RETRY_SECONDS - seconds, 0.0))
