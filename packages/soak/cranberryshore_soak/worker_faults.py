"""Faults of the workers, and of their calls."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from math import ceil
from random import Random

import attrs

from cranberryshore_platform.tests.platform_api import StartFault
from cranberryshore_platform.tests.standin import StoreFaults
from cranberryshore_proof.config_checks import STORE
from cranberryshore_soak.callers import COMMON_LABEL, OTHER_LABEL
from cranberryshore_soak.cluster import SoakCluster, SoakWorker

Fault = Callable[[float], Coroutine]

MIN_WORKERS = 4
"""Number of workers that are left in service, on which the recovery phase relies."""

AFFECTED_CALL_SHARE = 0.15
OUTAGE_DELAY_SECONDS = 0.15
"""Time from the beginning of an outage of the store to the first notice."""

CRASH_DELAY_SECONDS = (0.2, 3.0)
"""Range of the time from a cut to a crash behind it. Leases of 1 s may expire before."""

DOWN_SECONDS = (0.05, 1.5)
SERIES_COUNT = 3
SERIES_CUT_SECONDS, SERIES_PAUSE_SECONDS = 1.4, 0.4
"""Length of a cut and of the pause after it: a task lapses behind it, and is started elsewhere."""

WAVE_COUNT, WAVE_PAUSE_SECONDS = 3, (1.0, 3.0)
"""Number of waves of crashes in a series, and range of the time from the return of the workers to
the next one."""

WAVE_DOWN_SECONDS = (0.3, 1.5)
WAVE_CALLER_SHARE, WAVE_BURST_SHARE, WAVE_CALLER_PAUSE_SECONDS = 0.2, 0.5, 0.05
"""Callers with short jobs for each worker, beside a series and right before each wave, and their
mean pause: workers are idle for short times, and many starts are on their way."""

MAX_WAVE_CALLERS = 16
"""Number of these callers at a time, whose jobs load the event loop that serves the workers."""

WAVE_BURST_SECONDS = 0.2
SCHEDULER_PAUSE_SECONDS = 0.06
"""Time before a wave in which the scheduler is suspended, so that it sends many starts after it."""

NOTICE_SECONDS, SUCCESSION_SECONDS = 0.5, (0.05, 0.6)
"""Time from the notice of a worker to its end, if no instance reads the notice, and range of the
time to its successor. Three departures take less time than a smaller room may stay unknown."""

NOTICED_SECONDS = 2.0
"""Time after a crash in which the scheduler notices it before the worker returns."""

SMALL_ROOM, FULL_ROOM = 2000, 4000
"""Millicores of a worker of another kind, and of each worker without a change."""

START_FAULT_SECONDS = (0.1, 0.6)
"""Range of the time for which starts are not answered before the process of the worker ends."""


@attrs.define(eq=False)
class WorkerFaults:
    """Injects faults into random workers.

    Parameters
    ----------
    short_callers : set of asyncio.Task
        Running callers with short jobs only.
    """

    cluster: SoakCluster
    random: Random
    short_callers: set[asyncio.Task] = attrs.field(factory=set)

    def faults_by_name(self) -> dict[str, Fault]:
        """Return the methods that inject faults, by name of the fault."""
        return {
            "worker_crash": self._worker_crash,
            "worker_crash_cut_off": self._worker_crash_cut_off,
            "workers_crash_cut_off": self._workers_crash_cut_off,
            "workers_crash_in_series": self._workers_crash_in_series,
            "workers_crash_in_waves": self.crash_in_waves,
            "workers_leave_unseen": self._workers_leave_unseen,
            "workers_end_at_starts": self._workers_end_at_starts,
            "workers_return_as_others": self.return_as_others,
            "worker_leave": self._worker_leave,
            "worker_add": self._worker_add,
            "worker_fails": self._worker_fails,
            "orders_late": self._orders_late,
            "foreign_entries": self._foreign_entries,
        }

    def _choose_worker(self) -> SoakWorker:
        return self.cluster.workers[self.random.choice(sorted(self.cluster.workers))]

    def _idle_workers(self) -> list[SoakWorker]:
        """Return the workers in service, apart from those whose process a fault will end."""
        draining = self.cluster.history.draining
        return [
            worker
            for name, worker in sorted(self.cluster.workers.items())
            if not worker.is_busy and not worker.model.is_down and name not in draining
        ]

    @contextmanager
    def _reserve(self, count: int = 0) -> Iterator[list[SoakWorker]]:
        """Choose idle workers, a third of them by default, and keep them from other faults."""
        idle = self._idle_workers()
        chosen = self.random.sample(idle, min(count or -(-len(idle) // 3), len(idle)))
        for worker in chosen:
            worker.is_busy = True
        try:
            yield chosen
        finally:
            for worker in chosen:
                worker.is_busy = False

    async def _restart(self, worker: SoakWorker, seconds: float) -> None:
        """After some time, start a worker that has ended under its name or another one."""
        model = worker.model
        await asyncio.sleep(seconds)
        await self.cluster.start_process(model, self.random.random() < 0.5)

    async def _worker_crash(self, length: float) -> None:
        """Crash a worker, which later restarts under the same name."""
        with self._reserve(1) as chosen:
            for worker in chosen:
                self.cluster.end_process(worker, is_crash=True)
            await asyncio.sleep(length)
            for worker in chosen:
                await self.cluster.start_process(worker.model, is_renamed=False)

    async def _worker_crash_cut_off(self, length: float) -> None:
        with self._reserve(1) as chosen:
            await self._crash_cut_off(chosen)

    async def _workers_crash_cut_off(self, length: float) -> None:
        with self._reserve() as chosen:
            await self._crash_cut_off(chosen)

    async def _crash_cut_off(self, chosen: list[SoakWorker]) -> None:
        """Cut workers off; they crash behind the cut, and return before it is healed or after."""
        crashes = []
        for worker in chosen:
            delay = self.random.uniform(*CRASH_DELAY_SECONDS)
            down = self.random.uniform(*DOWN_SECONDS)
            healing = self.random.uniform(*DOWN_SECONDS)
            crashes.append(self._crash_behind_cut(worker, delay, down, healing))
        await asyncio.gather(*crashes)

    async def _workers_crash_in_series(self, length: float) -> None:
        """Crash a third of the workers behind a cut, again and again."""
        for _ in range(SERIES_COUNT):
            with self._reserve() as chosen:
                crashes = []
                for worker in chosen:
                    delay = self.random.uniform(0.6, 0.95) * SERIES_CUT_SECONDS
                    healing = SERIES_CUT_SECONDS - delay
                    crashes.append(self._crash_behind_cut(worker, delay, 0.0, healing))
                await asyncio.gather(*crashes)
            await asyncio.sleep(SERIES_PAUSE_SECONDS)

    async def crash_in_waves(self, length: float) -> None:
        """Crash a third of the workers at one moment, without any cut, again and again."""
        longest = WAVE_COUNT * (WAVE_DOWN_SECONDS[1] + WAVE_PAUSE_SECONDS[1])
        self._run_short_jobs(WAVE_CALLER_SHARE, longest)
        for _ in range(WAVE_COUNT):
            await asyncio.sleep(self.random.uniform(*WAVE_PAUSE_SECONDS))
            self._run_short_jobs(WAVE_BURST_SHARE, WAVE_BURST_SECONDS)
            if self.random.random() < 0.5:
                schedulers = [item for item in self.cluster.daemons.values() if item.is_scheduler]
                await asyncio.gather(*(item.pause(SCHEDULER_PAUSE_SECONDS) for item in schedulers))
            with self._reserve() as chosen:
                for worker in chosen:
                    self.cluster.end_process(worker, is_crash=True)
                    worker.proxy.refuse()
                down = self.random.uniform(*WAVE_DOWN_SECONDS)
                await asyncio.gather(*(self._restart(worker, down) for worker in chosen))
        await asyncio.gather(*self.short_callers)

    def _run_short_jobs(self, share: float, seconds: float) -> None:
        """Start callers with short jobs for some time; ``share`` is their number a worker."""
        end, count = time.monotonic() + seconds, ceil(share * len(self.cluster.workers))
        for _ in range(min(count, MAX_WAVE_CALLERS - len(self.short_callers))):
            running = self.cluster.callers.run_caller(end, WAVE_CALLER_PAUSE_SECONDS, is_short=True)
            task = asyncio.create_task(running)
            self.short_callers.add(task)
            task.add_done_callback(self.short_callers.discard)

    async def _crash_behind_cut(
        self, worker: SoakWorker, delay: float, down: float, healing: float
    ) -> None:
        """Cut a worker off silently and crash it after a delay.

        From the crash on, it is down for some time, and the cut is healed after some time.
        """
        isolated, name = self.cluster.link_faults.isolated, worker.model.name
        self.cluster.history.record_event(f"  cuts off {name}")
        isolated.add(name)
        await asyncio.sleep(delay)
        self.cluster.end_process(worker, is_crash=True)
        if healing < down:
            await asyncio.sleep(healing)
            worker.proxy.refuse()
            isolated.discard(name)
            await self._restart(worker, down - healing)
        else:
            await self._restart(worker, down)
            isolated.add(worker.model.name)
            await asyncio.sleep(healing - down)
            isolated.difference_update((name, worker.model.name))
        self.cluster.history.record_event(f"  heals the links of {name}, {worker.model.name}")

    async def _workers_leave_unseen(self, length: float) -> None:
        """Let workers leave while no instance can read their notice in the store."""
        outage = asyncio.create_task(self._store_outage())
        await asyncio.sleep(OUTAGE_DELAY_SECONDS)
        for _ in range(SERIES_COUNT):
            with self._reserve() as chosen:
                await asyncio.gather(*(self._leave_on_notice(worker) for worker in chosen))
        await outage

    async def _store_outage(self) -> None:
        """Cut the store off from all instances or let it reject all calls, for the departures."""
        seconds = SERIES_COUNT * (NOTICE_SECONDS + SUCCESSION_SECONDS[1])
        if self.random.random() < 0.5:
            await self.cluster.cut([(name, STORE) for name in self.cluster.daemons], seconds)
        else:
            await self.cluster.impair_store(StoreFaults(is_busy=True), seconds)

    async def _leave_on_notice(self, worker: SoakWorker) -> None:
        """Let a worker leave on notice, and another one come at its address."""
        model = worker.model
        self.cluster.register(worker, is_draining=True)
        self.cluster.history.draining[model.name] = time.monotonic()
        await asyncio.sleep(NOTICE_SECONDS)
        self.cluster.end_process(worker, is_crash=False)
        worker.proxy.refuse()
        await asyncio.sleep(self.random.uniform(*SUCCESSION_SECONDS))
        await self.cluster.start_process(model, is_renamed=True)

    async def _workers_end_at_starts(self, length: float) -> None:
        """Let workers crash while starts are not answered, or not even executed."""
        for _ in range(SERIES_COUNT):
            with self._reserve() as chosen:
                await asyncio.gather(*(self._end_at_starts(worker) for worker in chosen))

    async def _end_at_starts(self, worker: SoakWorker) -> None:
        worker.http_server.start_fault = self.random.choice(tuple(StartFault))
        await asyncio.sleep(self.random.uniform(*START_FAULT_SECONDS))
        self.cluster.end_process(worker, is_crash=True)
        worker.http_server.start_fault = None
        await self._restart(worker, self.random.uniform(*DOWN_SECONDS))

    async def return_as_others(self, length: float) -> None:
        """Let workers crash and return under their names with less room, as another kind."""
        with self._reserve() as chosen:
            await self._return_as(chosen, OTHER_LABEL, SMALL_ROOM)
            await asyncio.sleep(length)
            await self._return_as(chosen, COMMON_LABEL, FULL_ROOM)

    async def _return_as(self, chosen: list[SoakWorker], label: str, millicores: int) -> None:
        for worker in chosen:
            self.cluster.end_process(worker, is_crash=True)
            worker.proxy.refuse()
        await asyncio.sleep(NOTICED_SECONDS)
        for worker in chosen:
            worker.label, worker.model.millicores = label, millicores
            # What is allowed after a change of capacity holds for one process only.
            worker.model.former_rooms.clear()
            await self.cluster.start_process(worker.model, is_renamed=False)

    async def _worker_leave(self, length: float) -> None:
        """Drain a worker and then remove it for good, unless too few would remain."""
        active_workers = [n for n in self.cluster.workers if n not in self.cluster.history.draining]
        idle_workers = self._idle_workers()
        if len(active_workers) <= MIN_WORKERS or not idle_workers:
            return
        worker = self.random.choice(idle_workers)
        self.cluster.register(worker, is_draining=True)
        self.cluster.history.draining[worker.model.name] = time.monotonic()
        await asyncio.sleep(length + 3.0)
        worker.model.crash()
        worker.model.is_down = True
        del self.cluster.workers[worker.model.name]
        self.cluster.unregister(worker)

    async def _foreign_entries(self, length: float) -> None:
        """Let another writer leave entries among the registrations, for good."""
        self.cluster.add_foreign_entries()

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
