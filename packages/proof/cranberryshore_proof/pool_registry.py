"""Access of simulated instances to the pool's data: layout of the model store, and a substitute."""

import asyncio
from typing import Protocol

import attrs
from result import Ok, Result

from cranberryshore.bounds import Rejection
from cranberryshore.messages import decode_json
from cranberryshore.pool import (
    LostRun,
    MemberAddress,
    PoolConfig,
    WorkerListing,
    WorkerRegistration,
)
from cranberryshore.pool.evacuation import ZoneEvacuations
from cranberryshored.pool.registry import StoreLayout

CONFIG_KEY, EVACUATIONS_PREFIX = "op/config", "op/evacuate/"
WORKERS_PREFIX, MEMBERS_PREFIX = "workers/", "members/"


def _decode_config(text: str) -> Result[PoolConfig, Rejection]:
    return Ok(decode_json(text.encode(), PoolConfig))


def _decode_worker(_name: str, text: str) -> Result[WorkerRegistration, Rejection]:
    return Ok(decode_json(text.encode(), WorkerRegistration))


LAYOUT = StoreLayout(
    CONFIG_KEY,
    WORKERS_PREFIX,
    MEMBERS_PREFIX,
    _decode_config,
    _decode_worker,
    evacuations_prefix=EVACUATIONS_PREFIX,
)


class EvacuationState(Protocol):
    """Evacuations as they are in the store."""

    present: ZoneEvacuations


class PoolData(Protocol):
    """The pool's data, as simulated instances find them in the store.

    Parameters
    ----------
    losses : dict
        Records of lost runs, by the scheduler that has saved them.
    registered : dict
        Instances with the time of their latest renewal, by address.
    """

    config: PoolConfig
    evacuations: EvacuationState
    losses: dict
    registered: dict

    def now(self) -> float:
        """Return the virtual time in seconds."""
        ...

    def roster(self) -> tuple[WorkerRegistration, ...]:
        """Return the registrations of the workers."""
        ...

    def is_store_unreachable(self, address: str) -> bool:
        """Return whether the store is out of reach of an instance, or rejects it."""
        ...


@attrs.define(eq=False)
class FakeRegistry:
    """Replaces one instance's access to the pool's data in the store."""

    data: PoolData
    node: str
    member: MemberAddress | None = None

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def _is_store_unreachable(self) -> bool:
        return self.data.is_store_unreachable(self.node)

    async def follow_config(self, on_config, on_evacuations=None) -> None:
        """See :class:`Registry`."""
        while True:
            if not self._is_store_unreachable():
                if on_evacuations is not None:
                    on_evacuations(self.data.evacuations.present, self.data.now())
                on_config(self.data.config, self.data.now())
            await asyncio.sleep(0.05)

    async def read_config(self, on_config) -> None:
        """See :class:`Registry`."""
        if not self._is_store_unreachable():
            on_config(self.data.config, self.data.now())

    async def follow_workers(self, on_workers, known, on_page=lambda: None) -> None:
        """See :class:`Registry`."""
        while True:
            if not self._is_store_unreachable():
                now = self.data.now()
                on_workers(WorkerListing(self.data.roster(), frozenset(), now, now))
            await asyncio.sleep(0.5)

    async def keep_registered(self, member: MemberAddress) -> None:
        """See :class:`Registry`."""
        self.member = member
        while True:
            if not self._is_store_unreachable():
                self.data.registered[member.address] = (member, self.data.now())
            await asyncio.sleep(1.0)

    async def unregister(self) -> None:
        """Do nothing: the registration expires."""

    async def save_losses(self, publisher: str, lost_runs: tuple[LostRun, ...]) -> bool:
        """See :class:`Registry`."""
        if self._is_store_unreachable():
            return False
        self.data.losses[publisher] = lost_runs
        return True

    async def load_losses(self) -> tuple[LostRun, ...] | None:
        """See :class:`Registry`."""
        if self._is_store_unreachable():
            return None
        return tuple(lost for saved in self.data.losses.values() for lost in saved)

    async def list_members(self) -> tuple[MemberAddress, ...] | None:
        """See :class:`Registry`."""
        if self._is_store_unreachable():
            return None
        # A registration expires 3 s after its latest renewal.
        limit = self.data.now() - 3.0
        return tuple(item for item, at in self.data.registered.values() if at >= limit)
