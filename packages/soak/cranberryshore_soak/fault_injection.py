"""Series of drawn faults that overlap, injected from outside the daemons."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from random import Random
from signal import SIGHUP, SIGUSR1

import attrs

from cranberryshore.pool import QueueSpec
from cranberryshore_platform.tests.standin import StoreTrouble
from cranberryshore_soak.cluster import QUEUE, SERVICE, ZONES, SoakWorker, SoakWorld
from cranberryshore_soak.processes import DaemonProcess

Fault = Callable[[float], Coroutine]

PAUSE_SECONDS = (0.2, 1.8)
"""Time between two faults, which last up to 4 s, so that two or three overlap."""

LENGTH_SECONDS = (0.3, 4.0)
STARTED_SECONDS = 2.0
"""A process that the soak's own signal handler may not be in place for is not sent SIGUSR1."""

LEAST_WORKERS = 4
LATE_SHARE = 0.15
ENTRIES_BACK_SECONDS = 2.0


@attrs.define(eq=False)
class Storm:
    """Draws faults and carries them out.

    Parameters
    ----------
    world : SoakWorld
        What is disturbed.
    tasks : set of Task
        Faults that go on.
    busy : set of str
        Daemons that are being killed, stopped or replaced.
    """

    world: SoakWorld
    random: Random
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    busy: set[str] = attrs.field(factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for some time and wait until all have ended."""
        end = time.monotonic() + seconds
        kinds = self.kinds()
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            name = self.random.choice(sorted(kinds))
            length = self.random.uniform(*LENGTH_SECONDS)
            self.world.history.note(f"{name} for {length:.2f} s")
            self.tasks.add(asyncio.create_task(self._inject(kinds[name], length)))
        await asyncio.gather(*self.tasks)

    def kinds(self) -> dict[str, Fault]:
        """Return all kinds of fault by name."""
        return {
            "kill": self._kill,
            "kill_all": self._kill_all,
            "pause": self._pause,
            "leave": self._leave,
            "leave_in_turn": self._leave_in_turn,
            "replace": self._replace,
            "reload": self._reload,
            "clock_jump": self._clock_jump,
            "cut_peers": self._cut_peers,
            "cut_one_way": self._cut_one_way,
            "cut_zone": self._cut_zone,
            "cut_store": self._cut_store,
            "reset": self._reset,
            "silence": self._silence,
            "delay": self._delay,
            "store_busy": self._store_busy,
            "store_slow": self._store_slow,
            "store_lost": self._store_lost,
            "store_compact": self._store_compact,
            "store_revoke": self._store_revoke,
            "worker_crash": self._worker_crash,
            "worker_leave": self._worker_leave,
            "worker_add": self._worker_add,
            "worker_fails": self._worker_fails,
            "orders_late": self._orders_late,
            "config": self._config,
        }

    async def _inject(self, fault: Fault, length: float) -> None:
        self.world.history.disturb()
        await fault(length)
        self.world.history.disturb()

    def _free_daemon(self) -> DaemonProcess | None:
        """Return a daemon that runs and that no other fault is about to end."""
        free = [
            daemon
            for name, daemon in sorted(self.world.daemons.items())
            if name not in self.busy and daemon.is_running()
        ]
        return self.random.choice(free) if free else None

    # Processes

    async def _end_and_start(self, daemon: DaemonProcess, end: Coroutine, away: float) -> None:
        self.busy.add(daemon.name)
        self.world.history.note(f"  ends {daemon.name}")
        await end
        await asyncio.sleep(away)
        if daemon.name in self.world.daemons:
            await self.world.start_daemon(daemon)
        self.busy.discard(daemon.name)

    async def _kill(self, length: float) -> None:
        daemon = self._free_daemon()
        if daemon is not None:
            await self._end_and_start(daemon, daemon.kill(), length / 2)

    async def _kill_all(self, length: float) -> None:
        chosen = []
        while (daemon := self._free_daemon()) is not None:
            self.busy.add(daemon.name)
            chosen.append(daemon)
        ends = [self._end_and_start(daemon, daemon.kill(), length / 4) for daemon in chosen]
        await asyncio.gather(*ends)

    async def _pause(self, length: float) -> None:
        daemon = self._free_daemon()
        if daemon is not None:
            self.world.history.note(f"  pauses {daemon.name}")
            await daemon.pause(length)

    async def _leave(self, length: float) -> None:
        daemon = self._free_daemon()
        if daemon is not None:
            await self._end_and_start(daemon, daemon.leave(), 0.2)

    async def _leave_in_turn(self, length: float) -> None:
        await asyncio.gather(*(self._leave_after(number * 1.2, length) for number in range(3)))

    async def _leave_after(self, pause: float, length: float) -> None:
        await asyncio.sleep(pause)
        await self._leave(length)

    async def _replace(self, length: float) -> None:
        daemon = self._free_daemon()
        if daemon is None:
            return
        self.world.retire(daemon)
        self.world.history.note(f"  replaces {daemon.name}")
        await (daemon.kill() if self.random.random() < 0.5 else daemon.leave())
        await asyncio.sleep(length / 4)
        await self.world.add_daemon()

    async def _reload(self, length: float) -> None:
        for daemon in list(self.world.daemons.values()):
            daemon.send(SIGHUP)
            await asyncio.sleep(length / 20)

    async def _clock_jump(self, length: float) -> None:
        daemon = self._free_daemon()
        if daemon is not None and time.monotonic() > daemon.started_at + STARTED_SECONDS:
            self.world.history.note(f"  clock of {daemon.name} jumps {daemon.clock_jump} s")
            daemon.send(SIGUSR1)

    # Connections

    async def _cut(self, pairs: list[tuple[str, str]], length: float, is_one_way: bool) -> None:
        cut = [way for pair in pairs for way in self.world.links.cut(*pair, is_one_way)]
        await asyncio.sleep(length)
        self.world.links.heal(cut)

    async def _cut_peers(self, length: float) -> None:
        one = self.random.choice(sorted(self.world.daemons))
        self.world.history.note(f"  cuts {one} from its peers")
        others = [name for name in self.world.daemons if name != one]
        await self._cut([(one, other) for other in others], length, False)

    async def _cut_one_way(self, length: float) -> None:
        one = self.random.choice(sorted(self.world.daemons))
        others = [name for name in self.world.proxies if name != one]
        is_sending = self.random.random() < 0.5
        self.world.history.note(f"  cuts {one}, {'sending' if is_sending else 'receiving'}")
        pairs = [(one, other) if is_sending else (other, one) for other in others]
        await self._cut(pairs, length, True)

    async def _cut_zone(self, length: float) -> None:
        zone = self.random.choice(ZONES)
        self.world.history.note(f"  cuts zone {zone}")
        parties = [*self.world.daemons.values(), *(w.model for w in self.world.workers.values())]
        inside = [party.name for party in parties if party.zone == zone]
        outside = [party.name for party in parties if party.zone != zone]
        await self._cut([(a, b) for a in inside for b in [*outside, "store"]], length, False)

    async def _cut_store(self, length: float) -> None:
        names = [name for name in sorted(self.world.daemons) if self.random.random() < 0.6]
        self.world.history.note(f"  cuts the store from {names}")
        await self._cut([(name, "store") for name in names], length, False)

    async def _reset(self, length: float) -> None:
        for proxy in self.world.proxies.values():
            for connection in list(proxy.connections):
                if self.random.random() < 0.5:
                    connection.reset()

    async def _silence(self, length: float) -> None:
        for proxy in self.world.proxies.values():
            for connection in proxy.connections:
                connection.is_silent = True

    async def _delay(self, length: float) -> None:
        one = self.random.choice(sorted(self.world.daemons))
        delay = self.random.uniform(0.02, 0.2)
        self.world.history.note(f"  delays {one} by {delay:.3f} s")
        ways = [way for other in self.world.proxies for way in ((one, other), (other, one))]
        self.world.links.delays.update(dict.fromkeys(ways, delay))
        await asyncio.sleep(length)
        for way in ways:
            self.world.links.delays.pop(way, None)

    # The store

    async def _store_trouble(self, length: float, trouble: StoreTrouble) -> None:
        self.world.store.trouble = trouble
        await asyncio.sleep(length)
        if self.world.store.trouble is trouble:
            self.world.store.trouble = StoreTrouble()

    async def _store_busy(self, length: float) -> None:
        await self._store_trouble(length, StoreTrouble(is_busy=True))

    async def _store_slow(self, length: float) -> None:
        await self._store_trouble(length, StoreTrouble(slow_seconds=self.random.uniform(0.1, 0.8)))

    async def _store_lost(self, length: float) -> None:
        await self._store_trouble(length, StoreTrouble(lost_share=0.4, late_share=0.4))

    async def _store_compact(self, length: float) -> None:
        self.world.store.compact()

    async def _store_revoke(self, length: float) -> None:
        """Take all leases away; workers' entries lapse as well and come back."""
        self.world.store.expire_leases()
        lapsed = [worker for worker in self.world.workers.values() if self.random.random() < 0.5]
        for worker in lapsed:
            self.world.unregister(worker)
        await asyncio.sleep(self.random.uniform(0.1, ENTRIES_BACK_SECONDS))
        for worker in lapsed:
            if worker.model.name in self.world.workers:
                is_draining = worker.model.name in self.world.history.draining
                self.world.register(worker, is_draining)

    # Workers

    def _worker(self) -> SoakWorker:
        return self.world.workers[self.random.choice(sorted(self.world.workers))]

    async def _worker_crash(self, length: float) -> None:
        """End a worker's life; the next one has the same name."""
        worker = self._worker()
        worker.model.crash()
        worker.model.is_down = True
        await asyncio.sleep(length)
        worker.model.is_down = False

    async def _worker_leave(self, length: float) -> None:
        staying = [n for n in self.world.workers if n not in self.world.history.draining]
        if len(staying) <= LEAST_WORKERS:
            return
        worker = self.world.workers[self.random.choice(sorted(staying))]
        self.world.register(worker, is_draining=True)
        self.world.history.draining[worker.model.name] = time.monotonic()
        await asyncio.sleep(length + 3.0)
        worker.model.crash()
        worker.model.is_down = True
        del self.world.workers[worker.model.name]
        self.world.unregister(worker)

    async def _worker_add(self, length: float) -> None:
        await self.world.add_worker()

    async def _worker_fails(self, length: float) -> None:
        worker = self._worker()
        worker.model.fails_all = True
        await asyncio.sleep(length)
        worker.model.fails_all = False

    async def _orders_late(self, length: float) -> None:
        chosen = [self._worker() for _ in range(3)]
        is_late = self.random.random() < 0.5
        for worker in chosen:
            worker.face.late_share = LATE_SHARE if is_late else 0.0
            worker.face.lost_share = 0.0 if is_late else LATE_SHARE
        await asyncio.sleep(length)
        for worker in chosen:
            worker.face.late_share = worker.face.lost_share = 0.0

    # Configuration

    async def _config(self, length: float) -> None:
        """Add a queue, or drop one that was added."""
        added = self.world.queues[1:]
        if added and self.random.random() < 0.4:
            self.world.change_config((QUEUE, *added[1:]))
            return
        number = self.world.config_version
        queue = QueueSpec(f"n{number}", "h.example", f"/n{number}/", SERVICE, 0, 4, 3.0, 500)
        self.world.change_config((QUEUE, *added, queue))
