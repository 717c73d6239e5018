import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

import attrs
from result import Err, Ok, Result

from cranberryshore.limits import TokenBucket
from cranberryshore.settings import Address, DaemonSettings, PlatformSettings
from cranberryshore_standins.store_model import StoreModel
from cranberryshored.jobs import KeyBindings, OwnershipService
from cranberryshored.jobs.bindings import KEY_RETENTION_SECONDS, LEASE_REUSE_SECONDS
from cranberryshored.log import make_logger
from cranberryshored.platform import Entry, StoreConflict, StoreFailure, StoreUnavailable

SETTINGS = DaemonSettings(
    "entry-1",
    "zone-a",
    Address("127.0.0.1", 1),
    Address("127.0.0.1", 2),
    PlatformSettings("http://store", "http://list"),
    (),
)


@attrs.define(eq=False)
class LeaseStore:
    """Store in memory that rejects writes under a lease that it does not know."""

    now: float = 0.0
    model: StoreModel = attrs.field(factory=StoreModel)
    granted: int = 0

    async def grant_lease(self, ttl_seconds: int) -> Result[str, StoreFailure]:
        """Return a new lease."""
        self.granted += 1
        self.model.leases[str(self.granted)] = self.now + ttl_seconds
        return Ok(str(self.granted))

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """Write a key."""
        if lease not in self.model.leases:
            return Err(StoreUnavailable("unknown lease"))
        revision = self.model.put(key, value, expected, lease)
        if revision is None:
            return Err(StoreConflict(self.model.current(key)))
        return Ok(revision)

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Return a key's entry."""
        self.model.expire(self.now)
        stored = self.model.keys.get(key)
        return Ok(None if stored is None else Entry(key, stored.revision, stored.value))


class KeyBindingsTest(IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = LeaseStore()
        log = make_logger("ownership")
        ownership = OwnershipService(SETTINGS, self.store, log, lambda: 0.0, Random(1))
        self.bindings = KeyBindings(self.store, ownership, TokenBucket(100.0, 100.0))

    async def bind(self, key: str):
        """Bind a key at the time of the store."""
        loop = asyncio.get_running_loop()
        with patch.object(loop, "time", lambda: self.store.now):
            return await self.bindings.bind("desk", key)

    async def test_key_bound_last_under_a_lease_is_kept_for_the_whole_retention(self):
        # Regression: the lease was granted for the retention time and used for another hour, so a
        # job resubmitted under its key in the last hour got a new id and ran again.
        (await self.bind("first")).unwrap()
        self.store.now = bound_at = LEASE_REUSE_SECONDS - 1.0
        id = (await self.bind("last")).unwrap()
        self.assertEqual(self.store.granted, 1)
        self.store.now = bound_at + KEY_RETENTION_SECONDS - 1.0
        self.store.model.expire(self.store.now)
        self.assertEqual((await self.bind("last")).unwrap(), id)

    async def test_lease_that_the_store_has_revoked_is_replaced(self):
        # Regression: a revoked lease was used for the rest of its hour, and every key was refused.
        (await self.bind("first")).unwrap()
        self.store.model.leases.clear()
        self.assertTrue((await self.bind("second")).is_err())
        self.store.now = 1.0
        self.assertTrue((await self.bind("second")).is_ok())
