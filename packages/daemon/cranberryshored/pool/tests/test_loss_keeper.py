import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import structlog
from result import Err, Ok

from cranberryshore.pool import CrashHistory
from cranberryshore.pool.crashes import LossState
from cranberryshored.log import make_logger
from cranberryshored.platform.store import StoreUnavailable
from cranberryshored.pool.loss_keeper import SAVE_SECONDS, LossKeeper
from cranberryshored.pool.registry import StoreLayout, StoreRegistry


class RecoveringStore:
    """Store that does not take the first write."""

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


class LossKeeperTest(IsolatedAsyncioTestCase):
    async def test_records_that_the_store_did_not_take_are_not_saved_again(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        store, log = RecoveringStore(), make_logger("store")
        layout = StoreLayout("c", "w/", "m/", lambda text: None, lambda name, text: None)
        crashes = CrashHistory()
        crashes.record("w1", 1, {("j.0.0.0", 1): True}, LossState.PROVEN, 0.0)
        keeper = LossKeeper("e", crashes, StoreRegistry(lambda: store, layout, log), print, log)
        keeper.save_soon()
        await asyncio.sleep(2.5 * SAVE_SECONDS)
        await keeper.close()
        self.assertEqual(len(store.saved), 1)
