"""Loopback proxies that delay, reset, cut or silence connections between named parties."""

import asyncio
import socket
import struct
from collections.abc import Callable

import attrs

CHUNK_BYTES = 65_536
POLL_SECONDS = 0.01
"""Time between two looks whether a cut has ended."""

Direction = tuple[str, str]
"""Name of who sends and name of who receives."""


@attrs.define(eq=False)
class Links:
    """What is wrong between which parties now.

    Parameters
    ----------
    cuts : set of Direction
        Directions in which nothing passes; bytes wait until the cut ends.
    delays : dict
        Seconds by which each chunk of a direction is delayed.
    """

    cuts: set[Direction] = attrs.field(factory=set)
    delays: dict[Direction, float] = attrs.field(factory=dict)

    def cut(self, one: str, other: str, is_one_way: bool = False) -> list[Direction]:
        """Cut one direction or both; return what was cut by this call."""
        wanted = [(one, other)] if is_one_way else [(one, other), (other, one)]
        added = [direction for direction in wanted if direction not in self.cuts]
        self.cuts.update(added)
        return added

    def heal(self, directions: list[Direction]) -> None:
        """End cuts."""
        self.cuts.difference_update(directions)

    async def wait_open(self, direction: Direction) -> None:
        """Wait until a chunk may pass."""
        delay = self.delays.get(direction, 0.0)
        if delay:
            await asyncio.sleep(delay)
        while direction in self.cuts:
            await asyncio.sleep(POLL_SECONDS)


@attrs.define(eq=False)
class ProxiedConnection:
    """One connection through a proxy."""

    source: str
    target: str
    writers: tuple[asyncio.StreamWriter, ...]
    is_silent: bool = False

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self.writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                # A linger time of zero makes the kernel send a reset.
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


@attrs.define(eq=False)
class FaultProxy:
    """Accepts connections in place of one party.

    Parameters
    ----------
    name : str
        Name of the party behind the proxy.
    target : str
        Its own IP number and port.
    links : Links
        What is wrong now.
    owner_of : callable
        Returns the name of the party that connects from a local port.
    """

    name: str
    target: str
    links: Links
    owner_of: Callable[[int], str]
    address: str = ""
    server: asyncio.Server | None = None
    connections: set[ProxiedConnection] = attrs.field(factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.links.cuts.clear()
        self.links.delays.clear()
        while self.connections:
            for connection in list(self.connections):
                connection.reset()
            await asyncio.sleep(POLL_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = self.owner_of(writer.get_extra_info("peername")[1])
        host, port = self.target.split(":")
        try:
            await self.links.wait_open((source, self.name))
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            ProxiedConnection(source, self.name, (writer,)).reset()
            return
        connection = ProxiedConnection(source, self.name, (writer, back_writer))
        self.connections.add(connection)
        there = self._pump(reader, back_writer, connection, (source, self.name))
        back = self._pump(back_reader, writer, connection, (self.name, source))
        try:
            await asyncio.gather(there, back)
        finally:
            self.connections.discard(connection)
            connection.reset()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: ProxiedConnection,
        direction: Direction,
    ) -> None:
        """Carry bytes one way until either end has closed."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.links.wait_open(direction)
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
            await self.links.wait_open(direction)
        except OSError:
            connection.reset()
            return
        if not connection.is_silent:
            writer.close()
