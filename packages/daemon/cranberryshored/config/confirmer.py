"""Confirmation of the configuration in force, before a resource is denied."""

import asyncio

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshored.config.follower import ConfigFollower

MAX_CONFIRMATION_AGE_SECONDS = 5.0
"""Age of the confirmation up to which a resource may be denied, less than the 10 s within which a
configuration must be in force."""

RETRY_SECONDS = 0.5
"""Time after a failed read in which none is repeated; requests are then refused at once."""


@attrs.define(eq=False)
class ConfigConfirmer:
    """Confirms that the configuration in force is the newest one, by the store only.

    An instance that follows its peers has no confirmation until it reads the store itself.
    """

    follower: ConfigFollower
    log: FilteringBoundLogger
    retry_at: float = float("-inf")
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def confirm(self) -> bool:
        """Return whether the configuration was the newest one a short time ago.

        The store is read if that is not known; requests that ask meanwhile wait for this read.
        """
        async with self.lock:
            now = asyncio.get_running_loop().time()
            if not self._is_recent() and now >= self.retry_at:
                await self._read()
        return self._is_recent()

    def _is_recent(self) -> bool:
        age = asyncio.get_running_loop().time() - self.follower.confirmed_at
        return age <= MAX_CONFIRMATION_AGE_SECONDS

    async def _read(self) -> None:
        read = await self.follower.read_store()
        if isinstance(read, Err):
            self.retry_at = asyncio.get_running_loop().time() + RETRY_SECONDS
            self.log.warning(
                "Store does not confirm the configuration; unknown services are not denied.",
                error=str(read.err_value),
                revision=self.follower.state.revision,
            )
