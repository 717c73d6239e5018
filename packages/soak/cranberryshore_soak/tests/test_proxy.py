import asyncio
import os
from contextlib import suppress
from unittest import IsolatedAsyncioTestCase, TestCase

from cranberryshore_soak.proxy import FaultProxy, Links
from cranberryshore_soak.socket_owners import Owners, inode_of


class OwnersTest(TestCase):
    def test_row_of_a_closed_connection_from_the_same_port(self):
        # Cause: beside other runs the owner of one connection in hundreds was unknown.
        rest = "0:0 00:0 0  0 0"
        rows = [
            f"0100007F:01BB 0100007F:0050 06 {rest} 0",
            f"0100007F:01BB 0100007F:0051 01 {rest} 77",
        ]
        table = "head" + "".join(f"\n   {n}: {row} 1" for n, row in enumerate(rows))
        self.assertEqual(inode_of(table.encode(), 443), "77")


class ProxyTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.links = Links()
        self.proxy = FaultProxy("server", f"{host}:{port}", self.links, lambda port: "client")
        await self.proxy.start()
        host, port = self.proxy.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def asyncTearDown(self):  # noqa: N802
        self.writer.close()
        await self.proxy.close()
        self.server.close()

    async def echo(self, reader, writer):
        with suppress(ConnectionResetError):
            while data := await reader.read(100):
                writer.write(data)
        writer.close()

    async def ask(self, seconds: float = 2.0) -> bytes:
        self.writer.write(b"ping")
        async with asyncio.timeout(seconds):
            return await self.reader.read(100)

    async def test_carries_bytes(self):
        self.assertEqual(await self.ask(), b"ping")

    async def test_cut_holds_bytes_until_it_ends(self):
        await self.ask()
        cut = self.links.cut("server", "client", is_one_way=True)
        with self.assertRaises(TimeoutError):
            await self.ask(0.1)
        self.links.heal(cut)
        self.assertEqual(await self.reader.read(100), b"ping")

    async def test_reset(self):
        await self.ask()
        (connection,) = self.proxy.connections
        connection.reset()
        with self.assertRaises(ConnectionResetError):
            await self.ask()

    async def test_silence(self):
        await self.ask()
        (connection,) = self.proxy.connections
        connection.is_silent = True
        with self.assertRaises(TimeoutError):
            await self.ask(0.1)

    async def test_owner_of_a_connection(self):
        port = self.writer.get_extra_info("sockname")[1]
        self.assertEqual(Owners({"self": os.getpid()}).owner_of(port), "self")
        self.assertEqual(Owners({}).owner_of(port), "")
