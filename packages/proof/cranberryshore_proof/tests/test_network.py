import asyncio
from random import Random
from unittest import TestCase

from cranberryshore_proof.network import Network
from cranberryshore_proof.virtual_loop import run_virtual


async def _arrivals(count: int) -> list[int]:
    network, arrived = Network(Random(1)), []
    for number in range(count):
        network.send("a", "b", lambda number=number: arrived.append(number))
    await asyncio.sleep(1.0)
    return arrived


class NetworkTest(TestCase):
    def test_messages_sent_at_once_arrive_in_order(self):
        # Regression: messages with the same arrival time were delivered in any order.
        self.assertEqual(run_virtual(_arrivals(50)), list(range(50)))
