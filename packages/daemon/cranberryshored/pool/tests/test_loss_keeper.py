import asyncio
import logging
from unittest import IsolatedAsyncioTestCase, mock

import structlog
from result import Err, Ok

from cranberryshore.messages import encode_json
from cranberryshore.pool import CrashHistory
from cranberryshore.pool.lost_run import LossState
from cranberryshored.log import make_logger
from cranberryshored.platform.store import Entry, KeyListing, StoreUnavailable
from cranberryshored.pool import loss_keeper
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.loss_keeper import SAVE_SECONDS, LossKeeper
from cranberryshored.pool.registry import StoreLayout, StoreRegistry


class RecoveringStore:
    """Store that does not respond to the first write or list."""

    def __init__(self):
        self.attempts, self.saved = 0, []

    async def grant_lease(self, seconds):
        return Ok("1")

    async def put(self, key, value, expected, lease):
        self.attempts += 1
        if self.attempts == 1:
            return Err(StoreUnavailable("down"))
        self.saved.append(value)
        return Ok(1)

    async def list(self, prefix):
        self.attempts += 1
        if self.attempts == 1:
            return Err(StoreUnavailable("down"))
        return Ok(KeyListing(1, (Entry(prefix + "e", 1, encode_json(LOST).decode()),)))


class SilentRegistry:
    """Registry whose store does not respond to a number of calls."""

    def __init__(self, failures):
        self.failures, self.calls = failures, 0

    async def save_losses(self, publisher, lost_runs):
        self.calls += 1
        return self.calls > self.failures

    async def load_losses(self):
        self.calls += 1
        return None if self.calls <= self.failures else LOST


CRASHES = CrashHistory()
CRASHES.record("w1", 1, {("j.0.0.0", 1): True}, LossState.PROVEN, 0.0)
LOST = CRASHES.records(0.0)
LAYOUT = StoreLayout("c", "w/", "m/", lambda text: None, lambda name, text: None)


class LossKeeperTest(IsolatedAsyncioTestCase):
    def setUp(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        self.crashes, self.loaded = CrashHistory(), []
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)

    def open_keeper(self, registry):
        log = make_logger("store")
        return LossKeeper("e", self.crashes, registry, lambda: self.loaded.append(1), log)

    async def call_for(self, seconds, call, registry):
        """Let a keeper make calls for a time that passes ten times as fast."""
        real = Clocks().steady
        CLOCKS.steady = lambda: 10.0 * real()
        with (
            mock.patch.object(loss_keeper, "SAVE_SECONDS", 0.05),
            mock.patch.object(loss_keeper, "MAX_RETRY_SECONDS", 0.4),
        ):
            keeper = self.open_keeper(registry)
            call(keeper)
            await asyncio.sleep(seconds / 10.0)
            await keeper.close()
        return registry.calls

    async def test_records_that_the_store_does_not_take_are_sent_without_a_pause(self):
        calls = await self.call_for(8.0, LossKeeper.save_soon, SilentRegistry(1000))
        self.assertIn(calls, (4, 5))

    async def test_saved_records_are_saved_again(self):
        self.assertEqual(await self.call_for(8.0, LossKeeper.save_soon, SilentRegistry(2)), 3)

    async def test_records_are_sent_for_good(self):
        with mock.patch.object(loss_keeper, "RETENTION_SECONDS", 3.0):
            calls = await self.call_for(14.0, LossKeeper.save_soon, SilentRegistry(1000))
        self.assertIn(calls, (2, 3))

    async def test_records_that_the_store_did_not_give_are_not_read_again(self):
        self.assertEqual(await self.call_for(8.0, LossKeeper.load_soon, SilentRegistry(2)), 3)
        self.assertEqual(len(self.loaded), 1)
        self.assertEqual(len(self.crashes.records(0.0)), 1)

    async def test_records_are_read_for_good(self):
        with mock.patch.object(loss_keeper, "RETENTION_SECONDS", 3.0):
            calls = await self.call_for(14.0, LossKeeper.load_soon, SilentRegistry(1000))
        self.assertIn(calls, (3, 4))
        self.assertEqual(self.loaded, [])

    async def test_records_that_the_store_did_not_take_are_not_saved_again(self):
        store, log = RecoveringStore(), make_logger("store")
        crashes = CrashHistory()
        crashes.record("w1", 1, {("j.0.0.0", 1): True}, LossState.PROVEN, 0.0)
        keeper = LossKeeper("e", crashes, StoreRegistry(lambda: store, LAYOUT, log), print, log)
        keeper.save_soon()
        await asyncio.sleep(2.5 * SAVE_SECONDS)
        await keeper.close()
        self.assertEqual(len(store.saved), 1)

    async def test_store_that_does_not_respond_has_no_records(self):
        store = RecoveringStore()
        registry = StoreRegistry(lambda: store, LAYOUT, make_logger("store"))
        self.assertIsNone(await registry.load_losses())
        self.assertEqual(await registry.load_losses(), LOST)
