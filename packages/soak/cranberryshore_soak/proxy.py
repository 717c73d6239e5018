"""Loopback TCP proxies that delay, block, reset or silence connections between endpoints."""

import asyncio
import socket
import struct
from collections.abc import Callable

import attrs

from cranberryshore_soak.socket_owners import Address

CHUNK_BYTES = 65_536
POLL_INTERVAL_SECONDS = 0.01
"""Interval at which a blocked transfer checks whether its direction has been healed."""

Direction = tuple[str, str]
"""Names of the sending and the receiving endpoint."""


@attrs.define(eq=False)
class LinkFaults:
    """Active faults on the links between endpoints.

    Parameters
    ----------
    cuts : set of Direction
        Blocked directions; bytes are held back until the direction is healed.
    delays : dict
        Delay of each chunk in seconds, by direction.
    isolated : set of str
        Endpoints all of whose directions are blocked.
    """

    cuts: set[Direction] = attrs.field(factory=set)
    delays: dict[Direction, float] = attrs.field(factory=dict)
    isolated: set[str] = attrs.field(factory=set)

    def cut(self, one: str, other: str, is_one_way: bool = False) -> list[Direction]:
        """Block ``one`` to ``other``, or both directions; return those not blocked already."""
        wanted = [(one, other)] if is_one_way else [(one, other), (other, one)]
        added = [direction for direction in wanted if direction not in self.cuts]
        self.cuts.update(added)
        return added

    def heal(self, directions: list[Direction]) -> None:
        """Unblock directions."""
        self.cuts.difference_update(directions)

    async def wait_until_passable(self, direction: Direction) -> None:
        """Wait for the delay of a direction, then until it is not blocked."""
        delay = self.delays.get(direction, 0.0)
        if delay:
            await asyncio.sleep(delay)
        while direction in self.cuts or not self.isolated.isdisjoint(direction):
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


@attrs.define(eq=False)
class ProxiedConnection:
    """One connection through a proxy.

    Parameters
    ----------
    source, target : str
        Names of the connecting endpoint and of the one behind the proxy.
    writers : tuple of StreamWriter
        Writers to both ends; only to the connecting end if the target could not be reached.
    is_silent : bool
        Whether data in both directions is discarded while the connection stays open.
    """

    source: str
    target: str
    writers: tuple[asyncio.StreamWriter, ...]
    is_silent: bool = False

    def end_target(self) -> None:
        """End the connection as the target does whose process ends, also behind a blocked link."""
        self._reset(self.writers[1:])

    def reset(self) -> None:
        """Send a TCP reset to both ends."""
        self._reset(self.writers)

    @staticmethod
    def _reset(writers: tuple[asyncio.StreamWriter, ...]) -> None:
        for writer in writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                # With a linger time of zero, closing the socket sends a reset.
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


@attrs.define(eq=False)
class FaultProxy:
    """Proxy in front of one endpoint.

    Parameters
    ----------
    name, target : str
        Name of the endpoint, and its IP address and port.
    find_owner : callable
        Returns the name of the endpoint that opened a connection between two addresses, "" if
        unknown, or ``None`` if it has been closed.
    """

    name: str
    target: str
    link_faults: LinkFaults
    find_owner: Callable[[Address, Address], str | None]
    address: str = ""
    server: asyncio.Server | None = None
    held: socket.socket | None = None
    connections: set[ProxiedConnection] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on a free port and set ``address`` to it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def source_of(self, address: tuple[str, int]) -> str:
        """Return the name of the endpoint that the target sees at an address, or ""."""
        for connection in self.connections:
            if connection.writers[-1].get_extra_info("sockname") == address:
                return connection.source
        return ""

    def refuse(self) -> None:
        """Stop listening and close all connections, as the host of a process does that ends."""
        self._hold_address()
        for connection in list(self.connections):
            connection.end_target()
            connection.writers[0].close()

    def _hold_address(self) -> None:
        """Refuse connections at the address, which no other process can take meanwhile."""
        if not self.server.is_serving():
            return
        self.server.close()
        host, port = self.address.split(":")
        self.held = socket.socket()
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held.bind((host, int(port)))

    def end_target(self) -> None:
        """End all connections as an endpoint does whose process ends; continue to listen."""
        for connection in list(self.connections):
            connection.end_target()

    async def restore(self) -> None:
        """Listen at the same address again, if that was stopped."""
        if self.server.is_serving():
            return
        self.server, self.held = await asyncio.start_server(self._serve, sock=self.held), None

    async def close(self) -> None:
        """Stop listening, heal all links and reset all connections."""
        self.server.close()
        if self.held is not None:
            self.held.close()
        self.link_faults.cuts.clear()
        self.link_faults.delays.clear()
        self.link_faults.isolated.clear()
        while self.connections:
            for connection in list(self.connections):
                connection.reset()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.find_owner(
            writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        )
        if source is None:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            await self.link_faults.wait_until_passable((source, self.name))
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            ProxiedConnection(source, self.name, (writer,)).reset()
            return
        connection = ProxiedConnection(source, self.name, (writer, target_writer))
        self.connections.add(connection)
        forward = self._relay(reader, target_writer, connection, (source, self.name))
        backward = self._relay(target_reader, writer, connection, (self.name, source))
        try:
            await asyncio.gather(forward, backward)
        finally:
            self.connections.discard(connection)
            connection.reset()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: ProxiedConnection,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.link_faults.wait_until_passable(direction)
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
            await self.link_faults.wait_until_passable(direction)
        except OSError:
            connection.reset()
            return
        if not connection.is_silent:
            writer.close()
