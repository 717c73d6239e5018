"""Loopback proxy in front of one address, which holds bytes back, delays them or falls silent."""

import asyncio

from standins.store import HOST

CHUNK_BYTES = 65_536
CHECK_SECONDS = 0.01


class Proxy:
    """Proxy of all connections to one address.

    While ``is_held``, nothing passes towards the target, and passes later; ``delay`` is added to
    each chunk towards it.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_held = False
        self.delay = 0.0
        self.silent: set[asyncio.StreamWriter] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence(self) -> None:
        """Let all open connections fall silent for good; new ones work."""
        self.silent |= self.writers

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self.target.split(":")
        while self.is_held:
            await asyncio.sleep(CHECK_SECONDS)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._relay(reader, target_writer, True), self._relay(target_reader, writer, False)
            )
        finally:
            for item in (writer, target_writer):
                item.transport.abort()
                self.writers.discard(item)
                self.silent.discard(item)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_inbound: bool
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if is_inbound and self.delay:
                    await asyncio.sleep(self.delay)
                while is_inbound and self.is_held:
                    await asyncio.sleep(CHECK_SECONDS)
                if writer not in self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.transport.abort()
