import asyncio
import time
from unittest import IsolatedAsyncioTestCase

import attrs
from structlog.testing import capture_logs

from cranberryshore.messages import Beat, Leave, LossNews, PeerCall
from cranberryshore.pool import LostRun, MemberAddress
from cranberryshore.timeline import EventRecorder
from cranberryshore_standins.ports import HOST, free_ports
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.peers import PeerTransport


def _transport(port: int, own: str, inbox: list) -> PeerTransport:
    return PeerTransport(
        f"{HOST}:{port}",
        lambda: own,
        lambda sender, message: inbox.append((sender, message)),
        EventRecorder(own),
        Metrics(),
        make_logger("test"),
    )


class TransportTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.inbox: list = []
        self.ports = free_ports(2)
        self.one = _transport(self.ports[0], "one", [])
        self.two = _transport(self.ports[1], "two", self.inbox)
        await self.one.start()
        await self.two.start()

    async def test_delivers_messages_except_those_for_another_incarnation(self):
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        self.one.send(address, "two of another run", Leave())
        self.one.send(address, "", PeerCall(1, "x", "JobQuery", b""))
        while len(self.inbox) < 2:
            await asyncio.sleep(0.01)
        self.assertEqual([type(message) for _, message in self.inbox], [Leave, PeerCall])
        await self.one.close()
        await self.two.close()

    async def test_queued_messages_are_handled_together(self):
        # Regression: each message took several iterations of the event loop, so that a busy
        # scheduler received heartbeats and jobs late.
        address = f"{HOST}:{self.ports[1]}"
        senders = [_transport(port, f"s{port}", []) for port in free_ports(20)]
        for sender in senders:
            self.addAsyncCleanup(sender.close)
            sender.send(address, "two", Leave())
        self.addAsyncCleanup(self.two.close)
        self.addAsyncCleanup(self.one.close)
        async with asyncio.timeout(10):
            while len(self.inbox) < 20:
                await asyncio.sleep(0.01)
        for sender in senders:
            sender.send(address, "two", Leave())
            sender._flush()
        # The messages arrive while the event loop does nothing.
        time.sleep(0.3)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(len(self.inbox), 40)

    async def test_message_that_cannot_be_encoded_takes_others_along(self):
        # Heartbeats are sent in the same batches.
        self.addAsyncCleanup(self.two.close)
        self.addAsyncCleanup(self.one.close)
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        self.one.send(address, "two", PeerCall(2**70, "x", "JobQuery", b""))
        self.one.send(address, "two", Leave())
        async with asyncio.timeout(5):
            while len(self.inbox) < 2:
                await asyncio.sleep(0.01)

    async def receive(self, message) -> object:
        """Send one message to the other instance and return what arrives."""
        self.addAsyncCleanup(self.two.close)
        self.addAsyncCleanup(self.one.close)
        self.one.send(f"{HOST}:{self.ports[1]}", "two", message)
        async with asyncio.timeout(5):
            while not self.inbox:
                await asyncio.sleep(0.01)
        return self.inbox[0][1]

    async def test_one_member_that_cannot_be_encoded_costs_the_heartbeat(self):
        own, odd = MemberAddress("a.1", "h:1", "z"), MemberAddress("b.1", "h:2", "z", 2**70)
        beat = Beat(own, 1, 2, 3, 4, 5.0, members=(own, odd))
        with capture_logs() as records:
            received = await self.receive(beat)
        self.assertEqual(received, attrs.evolve(beat, members=(own,)))
        self.assertEqual([record["items"] for record in records if "items" in record], [("b.1",)])

    async def test_one_lost_run_that_cannot_be_encoded_costs_the_others(self):
        good, odd = LostRun("j.0.0.0", 1, "w", 5), LostRun("j.0.0.1", 1, "w", 2**70)
        with capture_logs() as records:
            received = await self.receive(LossNews((odd, good)))
        self.assertEqual(received, LossNews((good,)))
        names = [record["items"] for record in records if "items" in record]
        self.assertEqual(names, [("j.0.0.1 on w",)])

    async def test_one_peer_to_which_nothing_can_be_sent_costs_the_messages_to_others(self):
        self.one.send("\ud800:1", "x", Leave())
        with capture_logs():
            await self.receive(Leave())

    async def test_message_that_cannot_be_handled_ends_the_receipt(self):
        self.addAsyncCleanup(self.two.close)
        self.addAsyncCleanup(self.one.close)
        handled = []

        def deliver(sender, message):
            handled.append(message)
            if len(handled) == 1:
                raise KeyError(sender)

        self.two.deliver = deliver
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        self.one.send(address, "two", Leave())
        async with asyncio.timeout(5):
            while len(handled) < 2:
                await asyncio.sleep(0.01)
            self.one.send(address, "two", Leave())
            while len(handled) < 3:
                await asyncio.sleep(0.01)

    async def test_deeply_nested_envelope_ends_the_receipt(self):
        self.addAsyncCleanup(self.two.close)
        self.addAsyncCleanup(self.one.close)
        address = f"{HOST}:{self.ports[1]}"
        self.one._send_envelope(address, b"\x81\xa1x" + b"\x91" * 100_000 + b"\x90")
        self.one.send(address, "two", Leave())
        async with asyncio.timeout(5):
            while not self.inbox:
                await asyncio.sleep(0.01)

    async def test_closes_while_messages_stream_in(self):
        # Regression: pynng's arecv lost a cancellation when a message arrived at the same moment,
        # so the receive loop continued and a leaving daemon never exited.
        address = f"{HOST}:{self.ports[1]}"
        self.one.send(address, "two", Leave())
        while not self.inbox:
            await asyncio.sleep(0.01)
        for _ in range(20):
            receiver = self.two
            self.one.send(address, "two", Leave())
            self.one._flush()
            receiver.task.cancel()
            await receiver.close()
            self.two = _transport(self.ports[1], "two", self.inbox)
            await self.two.start()
        await self.two.close()
        await self.one.close()
