"""Client of the platform's instance list, which may lag behind the actual state."""

from enum import Enum
from typing import Protocol

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from cranberryshore.messages import decode_json
from cranberryshore.work import Capacity
from cranberryshored.platform.store import HTTP_OK, StoreUnavailable

HTTP_NOT_MODIFIED = 304


class InstanceKind(Enum):
    """Kinds of listed instances."""

    ENTRY = "entry"
    UPSTREAM = "upstream"
    WORKER = "worker"


@attrs.frozen
class ListedInstance:
    """One listed instance.

    Parameters
    ----------
    kind : InstanceKind
        Role of the instance.
    name, zone, rack : str
        Name, availability zone and rack.
    address : str
        IP address and port; for an entry instance, the port for peers.
    incarnation : str
        Identifier that changes when the instance restarts.
    is_leaving : bool
        Whether the instance must receive no new work.
    service : str
        Service of an upstream.
    capacity : Capacity
        Capacity of a worker.
    """

    kind: InstanceKind
    name: str
    zone: str
    address: str
    rack: str = ""
    incarnation: str = ""
    is_leaving: bool = False
    service: str = ""
    capacity: Capacity = Capacity()


@attrs.frozen
class Listing:
    """The instance list at one version."""

    version: int
    instances: tuple[ListedInstance, ...]


class InstanceList(Protocol):
    """Interface through which the daemon reads the instance list."""

    async def start(self) -> None:
        """Open the connection pool."""
        ...

    async def close(self) -> None:
        """Close the connection pool."""
        ...

    async def fetch(self, since: int) -> Result[Listing | None, StoreUnavailable]:
        """Return the list, or ``None`` if its version is still ``since``."""
        ...


@attrs.define
class HttpInstanceList:
    """Client of an instance list with the HTTP interface described in docs/API.md."""

    url: str
    timeout_seconds: float
    session: ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self.session = ClientSession(timeout=ClientTimeout(total=self.timeout_seconds))

    async def close(self) -> None:
        """Close the connection pool."""
        if self.session is not None:
            await self.session.close()

    async def fetch(self, since: int) -> Result[Listing | None, StoreUnavailable]:
        """See :class:`InstanceList`."""
        try:
            async with self.session.get(
                f"{self.url}/v1/instances", params={"since": str(since)}
            ) as response:
                if response.status == HTTP_NOT_MODIFIED:
                    return Ok(None)
                if response.status != HTTP_OK:
                    return Err(StoreUnavailable(f"HTTP status {response.status}"))
                return Ok(decode_json(await response.read(), Listing))
        except (TimeoutError, ClientError, OSError, msgspec.DecodeError) as error:
            return Err(StoreUnavailable(type(error).__name__))
