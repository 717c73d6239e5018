import logging
from unittest import TestCase

import attrs
import structlog

from cranberryshore.messages import Beat, CancelWork, ConfigNews, ConfigRequest, RosterNews
from cranberryshore.pool import (
    Claim,
    ConfigConfirmation,
    Group,
    MemberAddress,
    PoolConfig,
    WorkerRegistration,
)
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshore.pool.stream import RESEND_TIMEOUT_SECONDS
from cranberryshore.pool.transfers import MAX_ENTRIES_UNDER_WAY, TRANSFER_TIMEOUT_SECONDS
from cranberryshore.settings.pool import PoolSettings
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.evacuations import EvacuationKeeper
from cranberryshored.pool.exchange import BEAT_SECONDS, PeerExchange
from cranberryshored.pool.peer_connections import RECONNECT_SECONDS

SCHEDULER = MemberAddress("s.1", "127.0.0.1:1", "a", 1000)
FOLLOWER = MemberAddress("f.1", "127.0.0.1:2", "b", 1000)


class RecordingTransport:
    def __init__(self):
        self.disconnected = []
        self.sent = []

    def send(self, address, target, message):
        self.sent.append(message)

    def disconnect(self, address):
        self.disconnected.append(address)


class StubListener:
    def __init__(self):
        self.acknowledged, self.lost, self.released = [], [], 0
        self.workers, self.evacuations_seen = (), []
        self.confirmation = ConfigConfirmation()
        self.store_seconds, self.ended = None, []
        address = "127.0.0.1:1"
        settings = PoolSettings("e", "a", *[address] * 5, evacuation_limit_ms=5000)
        self.evacuation_keeper = EvacuationKeeper(
            settings, self.evacuations_seen.append, Metrics(), make_logger("x")
        )

    def store_age(self, moment):
        return self.store_seconds

    def has_lost_workers(self):
        return False

    def held_count(self):
        return 1

    def waiting_entries(self):
        return set()

    def claim_ended(self, reason):
        self.ended.append(reason)

    def evacuations(self):
        return self.evacuation_keeper

    def config_confirmation(self):
        return self.confirmation

    def config(self):
        return PoolConfig(1)

    def roster(self):
        return len(self.workers), self.workers

    def roster_news(self, base):
        return RosterNews(len(self.workers), self.workers)

    def lost_runs(self):
        return ()

    def scheduler_changed(self):
        pass

    def scheduler_released(self):
        self.released += 1

    def entry_lost(self, incarnation):
        self.lost.append(incarnation)

    def entry_acknowledged(self, incarnation, heartbeat_at, roster_version):
        self.acknowledged.append((incarnation, heartbeat_at))


class ExchangeTestCase(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        self.transport = RecordingTransport()
        group = Group(SCHEDULER, self.now)
        group.record_claim(Claim(1), self.now)
        self.exchange = PeerExchange(group, (), StubListener(), Metrics(), make_logger("x"))
        self.exchange.transport = self.transport
        self.exchange.follow()


class SilentConnectionTest(ExchangeTestCase):
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


class TransferTestCase(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        group = Group(SCHEDULER, self.now)
        group.claim = Claim(1)
        listener = StubListener()
        listener.workers = tuple(
            WorkerRegistration(f"w{number}", "127.0.0.1:9", "a", "s", Capacity(1000), born=1)
            for number in range(540)
        )
        self.exchange = PeerExchange(group, (), listener, Metrics(), make_logger("x"))
        self.exchange.transport = RecordingTransport()
        self.exchange.follow()

    def hear(self, number: int, roster_version: int = 0, config_version: int = 1) -> None:
        follower = MemberAddress(f"f{number}.1", f"127.0.1.{number}:2", "b", 1000)
        beat = Beat(follower, config_version, 0, 0, 0, self.now, follows="s.1")
        beat = attrs.evolve(beat, roster_version=roster_version)
        self.exchange.deliver(follower.incarnation, beat)

    def transfers(self, kind: type = RosterNews) -> int:
        sent = self.exchange.transport.sent
        return sum(isinstance(message, kind) for message in sent)


class RosterTransferTest(TransferTestCase):
    def test_list_of_workers_was_sent_again_for_each_heartbeat(self):
        for _ in range(3):
            self.hear(1)
            self.now += BEAT_SECONDS
        self.assertEqual(self.transfers(), 1)

    def test_lost_list_of_workers_is_sent_again(self):
        self.hear(1)
        self.now += TRANSFER_TIMEOUT_SECONDS
        self.hear(1)
        self.assertEqual(self.transfers(), 2)

    def test_few_lists_of_workers_are_under_way_at_the_same_time(self):
        limit = MAX_ENTRIES_UNDER_WAY // 540
        for number in range(2 * limit):
            self.hear(number)
        self.assertEqual(self.transfers(), limit)

    def test_instances_waited_for_their_next_heartbeats_to_get_the_list(self):
        # Regression (mela-park-grown): after a restart of everything, 8 instances got the list of
        # workers in each round of heartbeats, and no task was started for the others.
        limit = MAX_ENTRIES_UNDER_WAY // 540
        for number in range(2 * limit):
            self.hear(number)
        for number in range(limit):
            self.hear(number, roster_version=540)
        self.assertEqual(self.transfers(), 2 * limit)


class ConfigTransferTest(TransferTestCase):
    def test_config_was_sent_for_each_heartbeat_of_an_outdated_instance(self):
        for _ in range(4):
            self.hear(1, config_version=0)
            self.now += BEAT_SECONDS
        self.assertEqual(self.transfers(ConfigNews), 0)
        for _ in range(3):
            self.exchange.deliver("f1.1", ConfigRequest(0))
        self.assertEqual(self.transfers(ConfigNews), 1)

    def test_newer_config_is_requested_from_one_peer_after_the_time_to_read_it(self):
        for number in range(5):
            self.hear(number, config_version=2)
        self.assertEqual(self.transfers(ConfigRequest), 0)
        self.now += BEAT_SECONDS
        for number in range(5):
            self.hear(number, config_version=2)
        self.assertEqual(self.transfers(ConfigRequest), 1)
        self.now += BEAT_SECONDS
        self.hear(1, config_version=2)
        self.assertEqual(self.transfers(ConfigRequest), 2)


OTHER = MemberAddress("o.1", "127.0.0.1:3", "a", 1000)


class HandOverTest(TestCase):
    def open_exchange(self, own: MemberAddress, claim: Claim | None = None) -> PeerExchange:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        group = Group(own, self.now)
        group.claim = claim
        exchange = PeerExchange(group, (), StubListener(), Metrics(), make_logger("x"))
        exchange.transport = RecordingTransport()
        exchange.follow()
        return exchange

    def hear(self, exchange: PeerExchange, sender: MemberAddress, **fields) -> None:
        values = {"epoch": 0, "sent_at": self.now, "known_epoch": 0, "hears_receiver": True}
        beat = Beat(sender, 1, stream=0, received=0, **values | fields)
        exchange.deliver(sender.incarnation, beat)

    def follow_two_schedulers(self) -> PeerExchange:
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=1), known_epoch=0)
        self.assertEqual(exchange.follows, SCHEDULER.incarnation)
        self.now += 0.1
        self.hear(exchange, OTHER, claim=Claim(2, held=2))
        self.assertEqual(exchange.follows, OTHER.incarnation)
        return exchange

    def test_former_scheduler_that_has_taken_note_of_the_change_has_released(self):
        # Regression: jobs were handed over while their former scheduler could still start them.
        exchange = self.follow_two_schedulers()
        self.assertFalse(exchange.has_released(SCHEDULER.incarnation))
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=1), known_epoch=exchange.epoch - 1)
        self.assertFalse(exchange.has_released(SCHEDULER.incarnation))
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=1), known_epoch=exchange.epoch)
        self.assertTrue(exchange.has_released(SCHEDULER.incarnation))
        self.assertGreater(exchange.listener.released, 0)

    def test_silent_former_scheduler_has_released(self):
        exchange = self.follow_two_schedulers()
        self.now = 100.0 + PEER_TIMEOUT_SECONDS - 0.01
        self.assertFalse(exchange.has_released(SCHEDULER.incarnation))
        self.now = 100.0 + PEER_TIMEOUT_SECONDS
        self.assertTrue(exchange.has_released(SCHEDULER.incarnation))

    def test_former_scheduler_without_a_claim_has_released(self):
        exchange = self.follow_two_schedulers()
        self.hear(exchange, SCHEDULER, claim=None)
        self.assertTrue(exchange.has_released(SCHEDULER.incarnation))

    def test_forgotten_former_scheduler_has_not_released_at_once(self):
        exchange = self.follow_two_schedulers()
        del exchange.group.members[SCHEDULER.incarnation]
        self.assertFalse(exchange.has_released(SCHEDULER.incarnation))
        self.now = 100.0 + PEER_TIMEOUT_SECONDS
        self.assertTrue(exchange.has_released(SCHEDULER.incarnation))

    def test_live_scheduler_is_displaced_by_a_delayed_beat(self):
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=2))
        self.hear(exchange, OTHER, claim=Claim(2, held=1))
        self.hear(exchange, attrs.evolve(SCHEDULER, incarnation="s.0"), sent_at=1.0)
        self.hear(exchange, OTHER, claim=Claim(2, held=1))
        self.assertEqual(exchange.follows, SCHEDULER.incarnation)
        self.assertIn(SCHEDULER.incarnation, exchange.group.members)

    def test_displaced_former_scheduler_has_not_released_at_once(self):
        # A beat of another incarnation at its address had displaced the scheduler as a member.
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=2))
        self.hear(exchange, OTHER, claim=Claim(2, held=1))
        self.hear(exchange, attrs.evolve(SCHEDULER, incarnation="s.2"), sent_at=1.0)
        self.hear(exchange, OTHER, claim=Claim(2, held=1))
        self.assertEqual(exchange.follows, OTHER.incarnation)
        self.assertFalse(exchange.has_released(SCHEDULER.incarnation))
        self.now += PEER_TIMEOUT_SECONDS
        self.assertTrue(exchange.has_released(SCHEDULER.incarnation))

    def test_message_to_a_scheduler_displaced_by_a_delayed_beat_is_lost(self):
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1))
        self.hear(exchange, attrs.evolve(SCHEDULER, incarnation="s.0"), sent_at=1.0)
        self.assertEqual(exchange.follows, SCHEDULER.incarnation)
        exchange.send(SCHEDULER.incarnation, lambda place, echo: CancelWork(place, "j"))
        self.now += BEAT_SECONDS
        self.hear(exchange, SCHEDULER, claim=Claim(1))
        self.now += RESEND_TIMEOUT_SECONDS
        exchange._run_round(self.now)
        self.assertIn("j", [getattr(item, "job", "") for item in exchange.transport.sent])

    def test_silent_peer_is_replaced_by_any_other_incarnation(self):
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1))
        self.now += PEER_TIMEOUT_SECONDS
        earlier = attrs.evolve(SCHEDULER, incarnation="s.0")
        self.hear(exchange, earlier)
        self.assertEqual(list(exchange.group.members), [earlier.incarnation])

    def test_new_claim_of_the_same_scheduler_begins_an_epoch(self):
        # The scheduler ended its claim and claimed again unheard; it no longer has the jobs.
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1))
        epoch = exchange.epoch
        self.hear(exchange, SCHEDULER, claim=Claim(1, held=7))
        self.assertEqual(exchange.epoch, epoch)
        self.hear(exchange, SCHEDULER, claim=Claim(2))
        self.assertEqual(exchange.epoch, epoch + 1)

    def test_beats_of_the_scheduler_are_acknowledged_at_once(self):
        exchange = self.open_exchange(FOLLOWER)
        self.hear(exchange, SCHEDULER, claim=Claim(1))
        exchange.transport.sent.clear()
        self.now += BEAT_SECONDS
        self.hear(exchange, SCHEDULER, claim=Claim(1), sent_at=7.0 + self.now)
        (beat,) = exchange.transport.sent
        self.assertEqual((beat.follows, beat.echo), (SCHEDULER.incarnation, 7.0 + self.now))

    def test_scheduler_records_acknowledgements_of_its_followers(self):
        exchange = self.open_exchange(SCHEDULER, Claim(1))
        self.hear(exchange, FOLLOWER, follows=SCHEDULER.incarnation, epoch=1, echo=99.5)
        self.assertEqual(exchange.listener.acknowledged, [(FOLLOWER.incarnation, 99.5)])

    def test_jobs_of_an_earlier_epoch_are_dropped(self):
        # Regression: a scheduler that did not hear that an entry instance had left it and come
        # back kept jobs that another scheduler had received meanwhile.
        exchange = self.open_exchange(SCHEDULER, Claim(1))
        self.hear(exchange, FOLLOWER, follows=SCHEDULER.incarnation, epoch=1, echo=99.5)
        exchange.listener.lost.clear()
        self.now += 1.0
        self.hear(exchange, FOLLOWER, follows=SCHEDULER.incarnation, epoch=3, echo=100.5)
        self.assertEqual(exchange.listener.lost, [FOLLOWER.incarnation])

    def test_scheduler_confirms_at_once_that_an_entry_instance_has_left(self):
        exchange = self.open_exchange(SCHEDULER, Claim(1))
        self.hear(exchange, FOLLOWER, follows=SCHEDULER.incarnation, epoch=1, echo=99.5)
        exchange.transport.sent.clear()
        self.hear(exchange, FOLLOWER, follows=OTHER.incarnation, epoch=2)
        self.assertIn(2, [beat.known_epoch for beat in exchange.transport.sent])


class ConfirmationTest(ExchangeTestCase):
    """Peers confirm the configuration by their heartbeats."""

    def beat(self, **fields) -> ConfigConfirmation:
        beat = Beat(FOLLOWER, 1, 0, 0, 0, self.now, **fields)
        self.exchange.deliver(FOLLOWER.incarnation, beat)
        return self.exchange.listener.confirmation

    def test_confirmation_is_dated_back_to_the_own_heartbeat(self):
        # The heartbeat may have been delayed after it was sent.
        confirmation = self.beat(echo=98.0, config_age=0.5)
        self.assertEqual(confirmation, ConfigConfirmation(1, 97.5))

    def test_heartbeat_without_echo_or_age_confirms_nothing(self):
        self.assertEqual(self.beat(config_age=0.5).confirmed_at, float("-inf"))
        self.assertEqual(self.beat(echo=98.0).confirmed_at, float("-inf"))

    def test_own_confirmation_is_sent(self):
        self.exchange.listener.confirmation.record(1, self.now - 0.25)
        self.beat()
        self.assertEqual(self.transport.sent[-1].config_age, 0.25)

    def test_outdated_configuration_is_not_confirmed_to_others(self):
        self.exchange.listener.confirmation.record(2, self.now)
        self.beat()
        self.assertIsNone(self.transport.sent[-1].config_age)
