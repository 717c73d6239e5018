import logging
from unittest import TestCase

import attrs
import structlog

from cranberryshore.messages import Beat
from cranberryshore.pool import Claim, Group, MemberAddress, PoolConfig
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.exchange import BEAT_SECONDS, RECONNECT_SECONDS, PeerExchange

SCHEDULER = MemberAddress("s.1", "127.0.0.1:1", "a", 1000)
FOLLOWER = MemberAddress("f.1", "127.0.0.1:2", "b", 1000)


class RecordingTransport:
    def __init__(self):
        self.disconnected = []

    def send(self, address, target, message):
        pass

    def disconnect(self, address):
        self.disconnected.append(address)


class StubListener:
    def config(self):
        return PoolConfig(1)

    def roster(self):
        return 0, ()

    def scheduler_changed(self):
        pass

    def entry_lost(self, incarnation):
        pass


class SilentConnectionTest(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        self.transport = RecordingTransport()
        group = Group(SCHEDULER, self.now)
        group.claim = Claim(1)
        self.exchange = PeerExchange(group, (), StubListener(), Metrics(), make_logger("x"))
        self.exchange.transport = self.transport
        self.exchange.follow()

    def hear(self, seconds: float, hears_receiver: bool):
        beat = Beat(FOLLOWER, 1, 0, 0, 0, 0.0, follows="", hears_receiver=hears_receiver)
        for _ in range(round(seconds / BEAT_SECONDS)):
            self.now += BEAT_SECONDS
            self.exchange.deliver(FOLLOWER.incarnation, attrs.evolve(beat, sent_at=self.now))

    def test_peer_that_does_not_hear_the_scheduler_gets_a_new_connection(self):
        # Regression (soak seed 1015): all connections fell silent. The peer replaced its own
        # connection before the scheduler noticed the silence, so the scheduler kept its silent
        # connection to the peer, which had no scheduler until it was restarted.
        self.hear(1.0, hears_receiver=True)
        self.assertEqual(self.transport.disconnected, [])
        self.hear(RECONNECT_SECONDS + 2 * BEAT_SECONDS, hears_receiver=False)
        self.assertEqual(self.transport.disconnected, [FOLLOWER.address])

    def test_new_scheduler_keeps_its_connections(self):
        self.hear(2.0, hears_receiver=True)
        self.exchange.group.claim = None
        self.exchange.follow()
        self.now += 5.0
        self.exchange.group.claim = Claim(2)
        self.exchange.follow()
        self.hear(BEAT_SECONDS, hears_receiver=False)
        self.assertEqual(self.transport.disconnected, [])
