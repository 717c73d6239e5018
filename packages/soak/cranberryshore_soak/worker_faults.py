"""Faults of the workers, and of their calls."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random

import attrs

from cranberryshore_soak.cluster import SoakCluster, SoakWorker

Fault = Callable[[float], Coroutine]

MIN_WORKERS = 4
"""Number of workers that are left in service, on which the recovery phase relies."""

AFFECTED_CALL_SHARE = 0.15


@attrs.define(eq=False)
class WorkerFaults:
    """Injects faults into random workers."""

    cluster: SoakCluster
    random: Random

    def faults_by_name(self) -> dict[str, Fault]:
        """Return the methods that inject faults, by name of the fault."""
        return {
            "worker_crash": self._worker_crash,
            "worker_leave": self._worker_leave,
            "worker_add": self._worker_add,
            "worker_fails": self._worker_fails,
            "orders_late": self._orders_late,
        }

    def _choose_worker(self) -> SoakWorker:
        return self.cluster.workers[self.random.choice(sorted(self.cluster.workers))]

    async def _worker_crash(self, length: float) -> None:
        """Crash a worker, which later restarts under the same name."""
        worker = self._choose_worker()
        self.cluster.crash_model.record_crash(worker.model, is_injected=True)
        worker.model.crash()
        worker.model.is_down = True
        await asyncio.sleep(length)
        worker.model.is_down = False

    async def _worker_leave(self, length: float) -> None:
        """Drain a worker and then remove it for good, unless too few would remain."""
        active_workers = [n for n in self.cluster.workers if n not in self.cluster.history.draining]
        if len(active_workers) <= MIN_WORKERS:
            return
        worker = self.cluster.workers[self.random.choice(sorted(active_workers))]
        self.cluster.register(worker, is_draining=True)
        self.cluster.history.draining[worker.model.name] = time.monotonic()
        await asyncio.sleep(length + 3.0)
        worker.model.crash()
        worker.model.is_down = True
        del self.cluster.workers[worker.model.name]
        self.cluster.unregister(worker)

    async def _worker_add(self, length: float) -> None:
        await self.cluster.add_worker()

    async def _worker_fails(self, length: float) -> None:
        worker = self._choose_worker()
        worker.model.fails_all = True
        await asyncio.sleep(length)
        worker.model.fails_all = False

    async def _orders_late(self, length: float) -> None:
        """Let up to three workers execute some calls late, or lose the responses to some."""
        chosen = [self._choose_worker() for _ in range(3)]
        is_late = self.random.random() < 0.5
        for worker in chosen:
            worker.http_server.late_share = AFFECTED_CALL_SHARE if is_late else 0.0
            worker.http_server.lost_share = 0.0 if is_late else AFFECTED_CALL_SHARE
        await asyncio.sleep(length)
        for worker in chosen:
            worker.http_server.late_share = worker.http_server.lost_share = 0.0
