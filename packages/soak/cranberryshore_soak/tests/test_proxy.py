import asyncio
import os
from contextlib import suppress
from unittest import IsolatedAsyncioTestCase, TestCase

from cranberryshore_soak.proxy import FaultProxy, LinkFaults
from cranberryshore_soak.socket_owners import SocketOwners, find_socket_inode


class SocketOwnersTest(TestCase):
    def test_ignores_closed_connection_on_the_same_port(self):
        # Guards against finding the row of a closed connection that used the same port before. With
        # other runs on the machine, this left the owner of one connection in hundreds unknown.
        rest = "0:0 00:0 0  0 0"
        rows = [
            f"0100007F:01BB 0100007F:0050 06 {rest} 0",
            f"0100007F:01BB 0100007F:0051 01 {rest} 77",
        ]
        table = "head" + "".join(f"\n   {n}: {row} 1" for n, row in enumerate(rows))
        self.assertEqual(find_socket_inode(table.encode(), 443), "77")


class ProxyTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.link_faults = LinkFaults()
        self.proxy = FaultProxy("server", f"{host}:{port}", self.link_faults, lambda port: "client")
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

    async def test_forwards_bytes(self):
        self.assertEqual(await self.ask(), b"ping")

    async def test_cut_delays_bytes_until_healed(self):
        await self.ask()
        cut = self.link_faults.cut("server", "client", is_one_way=True)
        with self.assertRaises(TimeoutError):
            await self.ask(0.1)
        self.link_faults.heal(cut)
        self.assertEqual(await self.reader.read(100), b"ping")

    async def test_reset(self):
        await self.ask()
        (connection,) = self.proxy.connections
        connection.reset()
        with self.assertRaises(ConnectionResetError):
            await self.ask()

    async def test_silent_connection_discards_bytes(self):
        await self.ask()
        (connection,) = self.proxy.connections
        connection.is_silent = True
        with self.assertRaises(TimeoutError):
            await self.ask(0.1)

    async def test_find_owner(self):
        port = self.writer.get_extra_info("sockname")[1]
        self.assertEqual(SocketOwners({"self": os.getpid()}).find_owner(port), "self")
        self.assertEqual(SocketOwners({}).find_owner(port), "")
