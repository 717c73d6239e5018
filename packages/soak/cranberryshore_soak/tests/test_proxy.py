import asyncio
import os
import socket
import time
from contextlib import suppress
from unittest import IsolatedAsyncioTestCase

from cranberryshore_soak.proxy import FaultProxy, LinkFaults
from cranberryshore_soak.socket_owners import SocketOwners, find_socket_inode

LOOKUPS = 100
MAX_LOOKUP_SECONDS = 0.001
"""A copy of the table of all sockets takes at least 7 ms."""


class SocketOwnersTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.owners = SocketOwners({"self": os.getpid()})
        self.servers = [await self.start_server() for _ in range(2)]

    async def asyncTearDown(self):  # noqa: N802
        self.owners.close()
        for server in self.servers:
            server.close()

    @staticmethod
    async def start_server() -> asyncio.Server:
        async def wait_for_end(reader, writer):
            await reader.read()
            writer.close()

        return await asyncio.start_server(wait_for_end, "127.0.0.1", 0)

    def connect(self, number: int, port: int = 0) -> socket.socket:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        client.bind(("127.0.0.1", port))
        client.connect(self.servers[number].sockets[0].getsockname())
        return client

    def test_owner(self):
        with self.connect(0) as client:
            ends = client.getsockname(), client.getpeername()
            self.assertEqual(self.owners.find_owner(*ends), "self")
            self.owners.processes.clear()
            self.owners.known.clear()
            self.assertEqual(self.owners.find_owner(*ends), "")

    def test_owner_of_a_closed_connection(self):
        with self.connect(0) as client:
            ends = client.getsockname(), client.getpeername()
        self.assertIsNone(self.owners.find_owner(*ends))

    def test_ignores_closed_connection_on_the_same_port(self):
        # Guards against finding a closed connection that used the same port before. With other runs
        # on the machine, this left the owner of one connection in hundreds unknown.
        with self.connect(0) as closed:
            ends = closed.getsockname(), closed.getpeername()
        with self.connect(1, ends[0][1]) as client:
            self.assertIsNone(self.owners.find_owner(*ends))
            found = find_socket_inode(
                self.owners.diagnostics, client.getsockname(), client.getpeername()
            )
            self.assertEqual(found, os.fstat(client.fileno()).st_ino)

    def test_lookups_of_many_connections_take_little_processor_time(self):
        # Regression: a copy of the table of all sockets, for each connection that had timed out,
        # overloaded the event loop of a soak on a busy machine, which made further calls time out.
        with self.connect(0) as client:
            ends = client.getsockname(), client.getpeername()
            self.owners.find_owner(*ends)
            begun_at = time.thread_time()
            for _ in range(LOOKUPS):
                self.owners.find_owner(*ends)
        self.assertLess(time.thread_time() - begun_at, LOOKUPS * MAX_LOOKUP_SECONDS)


class ProxyTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.link_faults = LinkFaults()
        self.proxy = FaultProxy("server", f"{host}:{port}", self.link_faults, self.find_client)
        await self.proxy.start()
        host, port = self.proxy.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def asyncTearDown(self):  # noqa: N802
        self.writer.close()
        await self.proxy.close()
        self.server.close()

    @staticmethod
    def find_client(_local, _remote) -> str:
        return "client"

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

    async def test_end_of_an_isolated_endpoint_is_seen_when_it_is_healed(self):
        await self.ask()
        self.link_faults.isolated.add("server")
        self.proxy.end_target()
        with self.assertRaises(TimeoutError):
            await self.ask(0.1)
        self.link_faults.isolated.discard("server")
        with suppress(ConnectionResetError):
            # What was sent meanwhile does not reach the next process.
            self.assertEqual(await self.ask(), b"")

    async def test_name_of_the_endpoint_behind_an_address(self):
        await self.ask()
        (connection,) = self.proxy.connections
        seen_from = connection.writers[-1].get_extra_info("sockname")
        self.assertEqual(self.proxy.source_of(seen_from), "client")
        self.assertEqual(self.proxy.source_of(("127.0.0.1", 1)), "")

    async def test_port_of_a_worker_was_taken_while_it_was_down(self):
        await self.ask()
        (connection,) = self.proxy.connections
        connection.reset()
        with self.assertRaises(ConnectionResetError):
            await self.ask()
        host, port = self.proxy.address.split(":")
        self.proxy.refuse()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((host, int(port)))
        await self.proxy.restore()
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.assertEqual(await self.ask(), b"ping")
