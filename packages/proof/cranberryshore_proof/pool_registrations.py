"""Model of the workers' registrations in the store, which can lag behind the workers."""

import asyncio
from collections.abc import Iterable
from math import ceil

import attrs

from cranberryshore.messages import encode_json
from cranberryshore.pool import WorkerRegistration
from cranberryshore.work import Capacity
from cranberryshore_proof.pool_registry import WORKERS_PREFIX
from cranberryshore_proof.pool_store import ModelStore
from cranberryshore_proof.pool_workers import ModelWorker

REGISTRATION_DELAY_SECONDS = 1.0
"""Time after a fault in which workers register again."""

REGISTRATION_INTERVAL_SECONDS = 0.1
"""Interval at which the workers' registrations in the model of the store are brought up to date."""

REPORT_SECONDS = 1.5
"""Interval at which a worker reports the progress of its warm-up."""

EXPIRY_SECONDS = 4.5
"""Time for which the registration of a worker that no longer renews it stays in the store."""


@attrs.define
class StaleRegistration:
    """Registration that is not renewed; ``None`` if there was none."""

    registration: WorkerRegistration | None
    ends_at: float


@attrs.define(eq=False)
class ModelRegistrations:
    """Registrations of the workers, as they are in the store.

    Parameters
    ----------
    expired : set of str
        Workers whose registration has expired although they are up.
    stale : dict
        Registrations that are not renewed, by worker.
    cut_off : set of str
        Addresses of workers that cannot reach the store.
    warm_at : dict
        Time at which a worker that has just started will have warmed up.
    """

    workers: dict[str, ModelWorker]
    store: ModelStore
    expired: set[str] = attrs.field(factory=set)
    stale: dict[str, StaleRegistration] = attrs.field(factory=dict)
    cut_off: set[str] = attrs.field(factory=set)
    warm_at: dict[str, float] = attrs.field(factory=dict)

    def roster(self) -> tuple[WorkerRegistration, ...]:
        """Return the present registrations."""
        found = (self._registration(worker) for worker in self.workers.values())
        return tuple(item for item in found if item is not None)

    def keep(self, worker: ModelWorker, seconds: float = EXPIRY_SECONDS) -> None:
        """Stop the renewal of a registration, which stays as it is until it expires."""
        if worker.name not in self.stale:
            now = asyncio.get_running_loop().time()
            stale = StaleRegistration(self._registration(worker), now + seconds)
            self.stale[worker.name] = stale

    def renew(self, worker: ModelWorker) -> None:
        """Let a worker register again, if it reaches the store."""
        if worker.address not in self.cut_off:
            self.stale.pop(worker.name, None)

    def cut(self, worker: ModelWorker) -> None:
        """Cut a worker off from the store."""
        self.keep(worker)
        self.cut_off.add(worker.address)

    def heal(self, worker: ModelWorker) -> None:
        """Let the worker, and one that has its address now, reach the store again."""
        self.cut_off.discard(worker.address)
        for other in self.workers.values():
            if other.address == worker.address and not other.is_down:
                self.renew(other)

    def expire(self, names: Iterable[str]) -> None:
        """Let the registrations of workers expire that are up but cannot renew them."""
        self.expired |= set(names)

    def restore(self) -> None:
        """Register all workers again after a delay."""
        loop = asyncio.get_running_loop()
        loop.call_later(REGISTRATION_DELAY_SECONDS, self.expired.clear)

    async def keep_stored(self) -> None:
        """Keep the registrations in the store as those of :meth:`roster`."""
        while True:
            listed = {item.name: encode_json(item).decode() for item in self.roster()}
            present = {
                entry.key.removeprefix(WORKERS_PREFIX): entry.value
                for entry in self.store.list(WORKERS_PREFIX).entries
            }
            for name in sorted(listed.keys() | present.keys()):
                if listed.get(name) != present.get(name):
                    self.store.set(WORKERS_PREFIX + name, listed.get(name))
            await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)

    def _registration(self, worker: ModelWorker) -> WorkerRegistration | None:
        if worker.name in self.expired:
            return None
        stale = self.stale.get(worker.name)
        if stale is not None:
            is_kept = asyncio.get_running_loop().time() < stale.ends_at
            return stale.registration if is_kept else None
        if worker.is_down or worker.address in self.cut_off:
            return None
        return WorkerRegistration(
            worker.name,
            worker.address,
            worker.zone,
            "s",
            Capacity(worker.millicores),
            is_draining=worker.is_draining,
            born=worker.born,
            labels=(worker.label,),
            warmup_left_ms=self._warmup_left_ms(worker),
        )

    def _warmup_left_ms(self, worker: ModelWorker) -> int:
        """Return the remaining time of a warm-up, as of the latest report of the worker."""
        left = self.warm_at.get(worker.name, 0.0) - asyncio.get_running_loop().time()
        return int(1000 * REPORT_SECONDS * ceil(max(left, 0.0) / REPORT_SECONDS))
