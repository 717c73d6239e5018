import asyncio
from unittest import IsolatedAsyncioTestCase

from cranberryshore.messages import Leave, PeerCall
from cranberryshore.timeline import EventRecorder
from cranberryshore_standins.cluster import HOST, free_ports
from cranberryshored.log import part_log
from cranberryshored.metrics import Metrics
from cranberryshored.peers import PeerTransport


def _transport(port: int, own: str, heard: list) -> PeerTransport:
    return PeerTransport(
        f"{HOST}:{port}",
        lambda: own,
        lambda sender, message: heard.append((sender, message)),
        EventRecorder(own),
        Metrics(),
        part_log("test"),
    )


class TransportTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.heard: list = []
        self.ports = free_ports(2)
        self.one = _transport(self.ports[0], "one", [])
        self.two = _transport(self.ports[1], "two", self.heard)
        await self.one.start()
        await self.two.start()

    async def test_delivers_and_drops_what_is_for_another_incarnation(self):
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        self.one.send(address, "two of another run", Leave())
        self.one.send(address, "", PeerCall(1, "x", "JobQuery", b""))
        while len(self.heard) < 2:
            await asyncio.sleep(0.01)
        self.assertEqual([type(message) for _, message in self.heard], [Leave, PeerCall])
        await self.one.close()
        await self.two.close()

    async def test_closes_while_messages_stream_in(self):
        # Cause: pynng's arecv swallowed the cancellation when a message arrived in the same
        # moment, the loop went on, and a leaving daemon never ended.
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        while not self.heard:
            await asyncio.sleep(0.01)
        for _ in range(20):
            receiver = self.two
            self.one.send(address, "two", Leave())
            self.one._flush()
            receiver.task.cancel()
            await receiver.close()
            self.two = _transport(self.ports[1], "two", self.heard)
            await self.two.start()
        await self.two.close()
        await self.one.close()
