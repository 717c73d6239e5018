import asyncio
import logging
from random import Random
from unittest import TestCase
from unittest.mock import patch

import attrs
import structlog
from result import Err, Result
from structlog.testing import capture_logs

from cranberryshore.bounds import Rejection
from cranberryshore.messages import encode_json
from cranberryshore.pool import MemberAddress, PoolConfig, WorkerRegistration
from cranberryshore.pool.evacuation import ZoneEvacuations
from cranberryshore.work import Capacity
from cranberryshore_proof.config_checks import CONTACT_SECONDS
from cranberryshore_proof.network import Network
from cranberryshore_proof.pool_registry import (
    CONFIG_KEY,
    EVACUATIONS_PREFIX,
    LAYOUT,
    WORKERS_PREFIX,
)
from cranberryshore_proof.pool_store import ModelStore, ModelStoreClient
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.log import make_logger
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.registry import StoreLayout, StoreRegistry
from cranberryshored.pool.store_follower import (
    MAX_TIMEOUT_SECONDS,
    RETRY_SECONDS,
    StoreFollower,
    StoreStatus,
)

WAIT_SECONDS = 1.0
ROUND_TRIP_SECONDS = 0.01


@attrs.define
class FollowedStore:
    """A store, its client, and what the follower has reported: time, value and confirmed time.

    ``failures`` is the number of further reports that raise an error.
    """

    store: ModelStore
    client: ModelStoreClient
    reports: list[tuple[float, str, float]] = attrs.field(factory=list)

    failures: int = 0

    def record(self, entries: dict[str, str], confirmed_at: float) -> None:
        if self.failures:
            self.failures -= 1
            raise KeyError("odd")
        self.reports.append((asyncio.get_running_loop().time(), entries["k"], confirmed_at))


class StoreFollowerTest(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)

    def follow(self, scenario) -> FollowedStore:
        async def run() -> FollowedStore:
            CLOCKS.steady = asyncio.get_running_loop().time
            store = ModelStore()
            store.set("k", "0")
            client = ModelStoreClient("n", store, Network(Random(1)), lambda: False)
            followed = FollowedStore(store, client)
            status = StoreStatus(make_logger("store"))
            follower = StoreFollower(client, "k", int(1000 * WAIT_SECONDS), followed.record, status)
            task = asyncio.ensure_future(follower.run())
            await asyncio.sleep(0.1)
            await scenario(followed)
            task.cancel()
            return followed

        return run_virtual(run())

    async def change(self, followed: FollowedStore, value: str, limit: float) -> None:
        """Change the value; the follower must report it within a time."""
        followed.store.set("k", value)
        await asyncio.sleep(limit)
        self.assertEqual(followed.reports[-1][1], value)

    def test_empty_responses_confirm_the_end_of_the_wait(self):
        async def scenario(_followed: FollowedStore) -> None:
            await asyncio.sleep(5.5)

        reports = self.follow(scenario).reports
        self.assertEqual(len(reports), 6)
        for at, _, confirmed_at in reports:
            self.assertLess(at - confirmed_at, ROUND_TRIP_SECONDS)

    def test_response_to_a_change_confirms_the_begin_of_the_watch(self):
        # The response may have been sent at any time after it, and have been delayed.
        async def scenario(followed: FollowedStore) -> None:
            await asyncio.sleep(0.6)
            await self.change(followed, "1", ROUND_TRIP_SECONDS)

        _, changed, polled = self.follow(scenario).reports
        self.assertGreater(changed[0] - changed[2], 0.5)
        self.assertLess(polled[0] - polled[2], ROUND_TRIP_SECONDS)

    def test_silent_connection_hides_a_change_for_one_watch(self):
        async def scenario(followed: FollowedStore) -> None:
            followed.client.silence()
            await self.change(followed, "1", WAIT_SECONDS + 0.6)

        self.follow(scenario)

    def test_silent_outage_is_left_within_two_calls(self):
        async def scenario(followed: FollowedStore) -> None:
            followed.store.is_silent = True
            await asyncio.sleep(9.3)
            followed.store.is_silent = False
            await self.change(followed, "1", MAX_TIMEOUT_SECONDS + ROUND_TRIP_SECONDS)

        self.follow(scenario)

    def test_slow_store_is_followed(self):
        async def scenario(followed: FollowedStore) -> None:
            followed.store.slow_seconds = 1.2
            for number in range(1, 5):
                await self.change(followed, str(number), 4.0)

        self.follow(scenario)

    def read_first(self, store: ModelStore, seconds: float) -> None:
        """Begin to follow a store, whose entries must be reported within a time."""

        async def run() -> list[dict]:
            CLOCKS.steady = asyncio.get_running_loop().time
            reports = []

            def report(entries: dict[str, str], _confirmed_at: float) -> None:
                reports.append(dict(entries))

            client = ModelStoreClient("n", store, Network(Random(1)), lambda: False)
            status = StoreStatus(make_logger("store"))
            task = asyncio.ensure_future(StoreFollower(client, "k", 1000, report, status).run())
            await asyncio.sleep(seconds)
            task.cancel()
            return reports

        for key in ("k1", "k2", "k3"):
            store.set(key, "0")
        self.assertEqual(run_virtual(run()), [dict.fromkeys(("k1", "k2", "k3"), "0")])

    def test_listing_fails_that_takes_longer_than_an_answer_may(self):
        store = ModelStore(listing_seconds=1.2, page_size=1)
        self.read_first(store, 3 * (1.2 + 2 * ROUND_TRIP_SECONDS))

    def test_first_answer_of_a_slow_store_comes_too_late(self):
        self.read_first(ModelStore(slow_seconds=1.2), 1.2 + 2 * ROUND_TRIP_SECONDS)

    def test_error_in_one_report_ends_the_follower(self):
        async def scenario(followed: FollowedStore) -> None:
            followed.failures = 1
            followed.store.set("k", "1")
            await asyncio.sleep(0.1)
            await self.change(followed, "2", ROUND_TRIP_SECONDS)

        self.follow(scenario)

    def test_error_in_one_call_ends_the_follower(self):
        async def scenario(followed: FollowedStore) -> None:
            with patch.object(ModelStoreClient, "watch", side_effect=KeyError("odd")):
                await asyncio.sleep(WAIT_SECONDS + 0.1)
            await self.change(followed, "1", RETRY_SECONDS + ROUND_TRIP_SECONDS)

        self.follow(scenario)

    def test_compacted_history(self):
        async def scenario(followed: FollowedStore) -> None:
            followed.store.is_silent = True
            followed.store.set("k", "1")
            followed.store.compact()
            followed.store.is_silent = False
            await self.change(followed, "2", WAIT_SECONDS + 0.6)

        self.follow(scenario)


class RegistryTest(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)
        self.store, self.clients = ModelStore(), []
        self.registry = StoreRegistry(self.open_store, LAYOUT, make_logger("store"))

    def open_store(self) -> ModelStoreClient:
        client = ModelStoreClient("n", self.store, Network(Random(1)), lambda: False)
        self.clients.append(client)
        return client

    def test_connection_that_fell_silent_since_the_last_term_delays_the_listing(self):
        async def run() -> list[tuple]:
            CLOCKS.steady = asyncio.get_running_loop().time
            listings = []
            for _ in range(2):
                task = asyncio.ensure_future(self.registry.follow_workers(listings.append, ()))
                await asyncio.sleep(0.1)
                # Ends between two calls, so the connection is idle.
                self.store.set(WORKERS_PREFIX + "a", "")
                await asyncio.sleep(0.1)
                task.cancel()
                for client in self.clients:
                    client.silence()
            return listings

        self.assertEqual(len(run_virtual(run())), 4)

    def publish(self, version: int) -> None:
        self.store.set(CONFIG_KEY, encode_json(PoolConfig(version)).decode())

    def test_instance_without_peers_notices_silent_connections_within_the_contact_time(self):
        async def run() -> list[int]:
            CLOCKS.steady = asyncio.get_running_loop().time
            versions = []
            self.publish(1)
            task = asyncio.ensure_future(
                self.registry.follow_config(lambda config, _: versions.append(config.version))
            )
            await asyncio.sleep(0.1)
            for client in self.clients:
                client.silence()
            self.publish(2)
            await asyncio.sleep(CONTACT_SECONDS)
            task.cancel()
            return versions

        self.assertEqual(run_virtual(run())[-1], 2)

    def follow_evacuations(self, scenario) -> list[ZoneEvacuations]:
        """Follow the configuration and the evacuations; return the reported states."""
        states = []

        async def run() -> None:
            CLOCKS.steady = asyncio.get_running_loop().time
            self.publish(1)
            following = self.registry.follow_config(
                lambda *_: None, lambda state, _: states.append(state)
            )
            task = asyncio.ensure_future(following)
            await asyncio.sleep(0.1)
            await scenario()
            task.cancel()

        run_virtual(run())
        return states

    def test_evacuations_have_the_revision_of_each_answer(self):
        async def scenario() -> None:
            self.store.set(EVACUATIONS_PREFIX + "a", "any value")
            await asyncio.sleep(0.1)
            # Other keys raise the revision, which an answer without a change confirms.
            self.store.set("elsewhere", "1")
            await asyncio.sleep(1.5)
            self.store.set(EVACUATIONS_PREFIX + "a", None)
            await asyncio.sleep(0.1)

        first = self.store.revision + 1
        zones = ((), ("a",), ("a",), ("a",), ())
        revisions = (first, first + 1, first + 1, first + 2, first + 3)
        states = self.follow_evacuations(scenario)
        expected = dict.fromkeys(map(ZoneEvacuations, revisions, zones))
        self.assertEqual(list(dict.fromkeys(states)), list(expected))

    def test_other_keys_of_operators_are_ignored_without_a_record(self):
        async def scenario() -> None:
            for key in ("op/evacuated", "op/other/a", "op/evacuate"):
                self.store.set(key, "x")
            await asyncio.sleep(0.1)

        with capture_logs() as logs:
            states = self.follow_evacuations(scenario)
        self.assertEqual({state.zones for state in states}, {()})
        self.assertEqual(logs, [])

    def test_key_that_names_no_zone_is_logged_once(self):
        async def scenario() -> None:
            for key in ("", "a b"):
                self.store.set(EVACUATIONS_PREFIX + key, "x")
            await asyncio.sleep(3.0)

        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.INFO))
        with capture_logs() as logs:
            states = self.follow_evacuations(scenario)
        self.assertEqual({state.zones for state in states}, {()})
        self.assertEqual(len(logs), 2)

    def test_only_the_configuration_is_watched_without_evacuations(self):
        prefixes = []
        watch = ModelStoreClient.watch

        def record(client: ModelStoreClient, prefix: str, *arguments: int):
            prefixes.append(prefix)
            return watch(client, prefix, *arguments)

        async def run() -> None:
            CLOCKS.steady = asyncio.get_running_loop().time
            for handlers in ((), (lambda *_: None,)):
                following = self.registry.follow_config(lambda *_: None, *handlers)
                task = asyncio.ensure_future(following)
                await asyncio.sleep(0.5)
                task.cancel()

        with patch.object(ModelStoreClient, "watch", record):
            run_virtual(run())
        self.assertEqual(prefixes, [CONFIG_KEY, "op/"])

    def test_configuration_that_cannot_be_decoded_is_neither_applied_nor_confirmed(self):
        async def run() -> list[tuple[int, float]]:
            CLOCKS.steady = asyncio.get_running_loop().time
            reports = []
            layout = attrs.evolve(LAYOUT, decode_config=lambda text: Err(Rejection("")))
            registry = StoreRegistry(self.open_store, layout, make_logger("store"))
            self.publish(1)
            task = asyncio.ensure_future(
                registry.follow_config(lambda *report: reports.append(report))
            )
            await registry.read_config(lambda *report: reports.append(report))
            await asyncio.sleep(3.0)
            task.cancel()
            return reports

        self.assertEqual(run_virtual(run()), [])

    def follow_workers(self, odd: WorkerRegistration, layout: StoreLayout = LAYOUT) -> list[dict]:
        """Follow an odd worker, which changes, among good ones; return the records about it."""
        worker = WorkerRegistration("a", "10.0.0.1:1", "z", "s", Capacity(1000), born=1)
        workers = (worker, odd, attrs.evolve(worker, name="z"))

        async def run() -> None:
            CLOCKS.steady = asyncio.get_running_loop().time
            names = []
            registry = StoreRegistry(self.open_store, layout, make_logger("store"))
            for item in workers[:2]:
                self.store.set(WORKERS_PREFIX + item.name, encode_json(item).decode())
            task = asyncio.ensure_future(
                registry.follow_workers(
                    lambda found: names.append([item.name for item in found.workers]), ()
                )
            )
            await asyncio.sleep(2.5)
            changed = attrs.evolve(odd, service="t")
            self.store.set(WORKERS_PREFIX + odd.name, encode_json(changed).decode())
            await asyncio.sleep(1.0)
            self.store.set(WORKERS_PREFIX + "z", encode_json(workers[2]).decode())
            await asyncio.sleep(1.0)
            task.cancel()
            self.assertEqual((names[0], names[-1]), (["a"], ["a", "z"]))

        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING))
        with capture_logs() as records:
            run_virtual(run())
        return [record for record in records if record.get("key") == WORKERS_PREFIX + odd.name]

    def test_entry_that_cannot_be_sent_to_peers_becomes_a_worker(self):
        odd = WorkerRegistration("b", "10.0.0.1:1", "z", "s", Capacity(2**70), born=1)
        self.assertEqual(len(self.follow_workers(odd)), 1)

    def test_entry_whose_decoder_raises_an_error_costs_the_others(self):
        odd = WorkerRegistration("b", "10.0.0.1:1", "z", "s", Capacity(1000), born=1)

        def decode(name: str, text: str) -> Result[WorkerRegistration, Rejection]:
            if name == odd.name:
                raise KeyError(name)
            return LAYOUT.decode_worker(name, text)

        layout = attrs.evolve(LAYOUT, decode_worker=decode)
        self.assertEqual(len(self.follow_workers(odd, layout)), 1)

    def test_error_in_one_call_ends_the_registration_or_the_list_of_members(self):
        member = MemberAddress("e.1", "10.0.0.1:1", "z")

        async def run() -> None:
            CLOCKS.steady = asyncio.get_running_loop().time
            task = asyncio.ensure_future(self.registry.keep_registered(member))
            with (
                patch.object(ModelStoreClient, "put", side_effect=KeyError("odd")),
                patch.object(ModelStoreClient, "list", side_effect=KeyError("odd")),
            ):
                await asyncio.sleep(1.0)
                self.assertIsNone(await self.registry.list_members())
            await asyncio.sleep(1.0)
            self.assertEqual(await self.registry.list_members(), (member,))
            task.cancel()

        run_virtual(run())
