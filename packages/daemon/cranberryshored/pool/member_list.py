"""Reading of the instances that are registered with the platform."""

import asyncio
from collections.abc import Callable

import attrs

from cranberryshored.pool.clock import now
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.protocols import Registry

MEMBER_LIST_SECONDS = 0.5
"""Interval of reading the registered instances while no scheduler is known."""

SCHEDULER_MEMBER_LIST_SECONDS = 3.0
"""Interval of reading the registered instances on a scheduler; others learn them from its beats."""


@attrs.define(eq=False)
class MemberLister:
    """Reads the registered instances while this instance schedules, or knows no scheduler.

    Parameters
    ----------
    is_urgent : callable
        Returns whether a scheduler waits for an instance that may have ended.
    """

    registry: Registry
    exchange: PeerExchange
    is_urgent: Callable[[], bool]

    async def run(self) -> None:
        """Read the registered instances whenever that is due."""
        while True:
            await self._read()
            interval = SCHEDULER_MEMBER_LIST_SECONDS if self.exchange.follows else 0.0
            waited = 0.0
            while not waited or not self._is_due(waited, interval):
                await asyncio.sleep(MEMBER_LIST_SECONDS)
                waited += MEMBER_LIST_SECONDS

    async def _read(self) -> None:
        group, begun_at = self.exchange.group, now()
        listed = await self.registry.list_members()
        if listed is None:
            return
        group.list_members(listed)
        group.listed_at = begun_at
        for item in listed:
            group.add_reported_member(item, now())

    def _is_due(self, waited: float, interval: float) -> bool:
        """Return whether to read again; the scheduler's beats list the members to its followers."""
        if self.exchange.group.claim is None:
            return not self.exchange.follows
        return waited >= interval or self.is_urgent()
