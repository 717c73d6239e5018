"""Idempotency keys of callers, bound to submission ids through the store."""

import asyncio
from hashlib import sha256

import attrs
from result import Err, Ok, Result

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.identity import SubmissionId, parse_submission_id
from cranberryshore.limits import TokenBucket
from cranberryshored.jobs.ownership import OwnershipService
from cranberryshored.platform import Store

KEY_PREFIX = "keys/"
MAX_KEY_CHARACTERS = 128
KEY_RETENTION_SECONDS = 86_400
LEASE_REUSE_SECONDS = 3600
STORE_RETRY_MS = 1000


@attrs.define(eq=False)
class KeyBindings:
    """Binds a caller's idempotency key to one submission id, for the retention time of the key.

    Each binding costs one store write per job; callers that obtain submission ids in advance
    avoid it. All bindings made within an hour share one store lease and expire together.
    """

    store: Store
    ownership: OwnershipService
    budget: TokenBucket
    lease: str = ""
    lease_reusable_until: float = 0.0

    async def bind(self, caller: str, key: str) -> Result[SubmissionId, Refusal]:
        """Return the submission id bound to ``key``, binding a new one if there is none."""
        if not 1 <= len(key) <= MAX_KEY_CHARACTERS:
            return Err(malformed("Idempotency-Key", key, f"1 to {MAX_KEY_CHARACTERS} characters"))
        now = asyncio.get_running_loop().time()
        if not self.budget.try_acquire(now):
            wait_ms = int(self.budget.wait_seconds() * 1000) + 1
            detail = "Too many jobs bring keys of their own; obtain submission ids ahead instead."
            return Err(
                Refusal(
                    ErrorType.KEY_BUDGET_EXHAUSTED, ExecutionStatus.MAY_HAVE_RUN, detail, wait_ms
                )
            )
        lease = await self._current_lease(now)
        if not lease:
            return Err(_unavailable())
        digest = sha256(key.encode()).hexdigest()
        return await self._bind(f"{KEY_PREFIX}{caller}/{digest}", caller, lease)

    async def _bind(self, path: str, caller: str, lease: str) -> Result[SubmissionId, Refusal]:
        now = asyncio.get_running_loop().time()
        id = self.ownership.ledger.issue(caller, 1, now)[0]
        written = await self.store.put(path, str(id), expected=0, lease=lease)
        if isinstance(written, Ok):
            return Ok(id)
        # After a conflict or a lost reply, the store holds the id that is bound.
        read = await self.store.get(path)
        if isinstance(read, Err):
            return Err(_unavailable())
        if read.ok_value is None:
            # The store may have revoked the lease.
            self.lease_reusable_until = 0.0
            return Err(_unavailable())
        return parse_submission_id(read.ok_value.value)

    async def _current_lease(self, now: float) -> str:
        if now < self.lease_reusable_until:
            return self.lease
        granted = await self.store.grant_lease(KEY_RETENTION_SECONDS + LEASE_REUSE_SECONDS)
        if isinstance(granted, Err):
            return ""
        self.lease = granted.ok_value
        self.lease_reusable_until = now + LEASE_REUSE_SECONDS
        return self.lease


def _unavailable() -> Refusal:
    # An earlier submission under the same key may have run; only the store records it.
    detail = "The store cannot be asked what this key stands for; use a submission id instead."
    return Refusal(
        ErrorType.STORE_UNAVAILABLE, ExecutionStatus.MAY_HAVE_RUN, detail, STORE_RETRY_MS
    )
