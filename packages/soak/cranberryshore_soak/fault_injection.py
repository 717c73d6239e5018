"""Random, overlapping faults, injected from outside the daemons."""

import asyncio
import time
from collections.abc import Coroutine
from random import Random
from signal import SIGHUP, SIGKILL, SIGSTOP, SIGTERM, SIGUSR1

import attrs

from cranberryshore.pool import QueueSpec
from cranberryshore_platform.tests.standin import StoreFaults
from cranberryshore_proof.config_checks import STORE, Disturbances
from cranberryshore_soak.cluster import QUEUE, SERVICE, ZONES, SoakCluster
from cranberryshore_soak.evacuations import SoakEvacuations
from cranberryshore_soak.processes import DaemonProcess
from cranberryshore_soak.uncontrolled_clients import UncontrolledClients
from cranberryshore_soak.worker_faults import (
    FULL_ROOM,
    NOTICED_SECONDS,
    SMALL_ROOM,
    Fault,
    WorkerFaults,
)

FAULT_INTERVAL_SECONDS = (0.2, 1.8)
"""Range of the time between two faults; as a fault lasts up to 4 s, two or three overlap."""

FAULT_LENGTH_SECONDS = (0.3, 4.0)
DISTRIBUTION_SECONDS = 0.1
"""Time in which instances usually read a new configuration and begin their next watch."""

CONFIG_INTERVAL_SECONDS = (0.2, 3.0)
"""Range of the time between two changes of the configuration, besides those that are faults."""

RESIZE_INTERVAL_SECONDS = (0.5, 2.5)
"""Range of the time between two changes of the capacity of a worker."""

REJECTION_SECONDS, SHRINKING_DELAY_SECONDS = 8.0, 1.5
"""A smaller room counts 4.5 s later; calls that wait when the rejection begins are answered."""

MAX_REREGISTRATION_SECONDS = 2.0
TAKEOVER_SHARE, TAKEOVER_LEAD_SECONDS = 0.5, 0.3
"""Share of the returns of workers as another kind that meet a change of the scheduler, and time
from its end to the return. Another instance takes over 0.5 s after the end, and inherits the former
registrations."""


@attrs.define(eq=False)
class FaultInjector:
    """Chooses random faults and injects them.

    Parameters
    ----------
    busy : set of str
        Daemons that are being restarted, which no other fault may stop.
    takeover_random : Random
        Chooses the returns that meet a change of the scheduler. The other choices of a seed do not
        depend on it.
    """

    cluster: SoakCluster
    random: Random
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    busy: set[str] = attrs.field(factory=set)
    takeover_random: Random = attrs.field(init=False)
    worker_faults: WorkerFaults = attrs.field(init=False)
    evacuations: SoakEvacuations = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.evacuations = SoakEvacuations(self.cluster, Random(self.cluster.plan.seed + 9))
        self.takeover_random = Random(self.cluster.plan.seed + 11)
        self.worker_faults = WorkerFaults(self.cluster, self.random)

    async def run(self, seconds: float) -> None:
        """Start faults for some time, then wait until all have ended."""
        changes = [
            asyncio.create_task(self._change_configs()),
            asyncio.create_task(self._resize_workers()),
            asyncio.create_task(self.evacuations.run()),
            asyncio.create_task(self._send_crowds()),
        ]
        end = time.monotonic() + seconds
        faults_by_name = self.faults_by_name()
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
            name = self.random.choice(self.cluster.plan.fault_names or sorted(faults_by_name))
            length = self.random.uniform(*FAULT_LENGTH_SECONDS)
            self.cluster.history.record_event(f"{name} for {length:.2f} s")
            self.tasks.add(asyncio.create_task(self._inject(faults_by_name[name], length)))
        await asyncio.gather(*self.tasks)
        for task in changes:
            task.cancel()
        await asyncio.gather(*changes, return_exceptions=True)
        for worker in self.cluster.workers.values():
            self.cluster.resize(worker, FULL_ROOM)

    @property
    def disturbances(self) -> Disturbances:
        """Return the record of the disturbances of links and store."""
        return self.cluster.config_probe.disturbances

    async def _change_configs(self) -> None:
        random = Random(self.cluster.plan.seed + 4)
        while True:
            await asyncio.sleep(random.uniform(*CONFIG_INTERVAL_SECONDS))
            self._change_config(random)

    async def _resize_workers(self) -> None:
        random = Random(self.cluster.plan.seed + 7)
        while True:
            await asyncio.sleep(random.uniform(*RESIZE_INTERVAL_SECONDS))
            worker = self.cluster.workers[random.choice(sorted(self.cluster.workers))]
            room = random.choice((0, 900, 2000, FULL_ROOM, FULL_ROOM))
            self.cluster.history.record_event(f"  {worker.model.name} has {room} millicores")
            self.cluster.resize(worker, room)

    async def _send_crowds(self) -> None:
        await UncontrolledClients(self.cluster, Random(self.cluster.plan.seed + 9)).run()

    def faults_by_name(self) -> dict[str, Fault]:
        """Return the methods that inject faults, by name of the fault."""
        return {
            "kill": self._kill,
            "kill_all": self._kill_all,
            "signal_scheduler": self._signal_scheduler,
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
            "store_rejects": self._store_rejects,
            "store_compact": self._store_compact,
            "store_revoke": self._store_revoke,
            "config": self._config,
            **self.worker_faults.faults_by_name(),
            "workers_return_as_others": self._workers_return_as_others,
        }

    async def _inject(self, fault: Fault, length: float) -> None:
        self.cluster.history.record_disturbance()
        await fault(length)
        self.cluster.history.record_disturbance()

    def _choose_daemon(self) -> DaemonProcess | None:
        """Return a random running daemon that no other fault is restarting, if there is any."""
        candidates = [
            daemon
            for name, daemon in sorted(self.cluster.daemons.items())
            if name not in self.busy and daemon.is_running()
        ]
        return self.random.choice(candidates) if candidates else None

    # Processes

    async def _restart(self, daemon: DaemonProcess, stop: Coroutine, downtime: float) -> None:
        self.busy.add(daemon.name)
        self.cluster.history.record_event(f"  stops {daemon.name}")
        await stop
        await asyncio.sleep(downtime)
        if daemon.name in self.cluster.daemons:
            await self.cluster.start_daemon(daemon)
        self.busy.discard(daemon.name)

    async def _kill(self, length: float) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            await self._restart(daemon, daemon.kill(), length / 2)

    async def _kill_all(self, length: float) -> None:
        chosen = []
        while (daemon := self._choose_daemon()) is not None:
            self.busy.add(daemon.name)
            chosen.append(daemon)
        restarts = [self._restart(daemon, daemon.kill(), length / 4) for daemon in chosen]
        await asyncio.gather(*restarts)

    async def _signal_scheduler(self, length: float) -> None:
        """Kill, shut down or pause the schedulers, one after the other."""
        for daemon in list(self.cluster.daemons.values()):
            if not daemon.is_scheduler or daemon.name in self.busy or not daemon.is_running():
                continue
            self.cluster.history.record_event(f"  {daemon.name} is the scheduler")
            number = self.random.choice((SIGKILL, SIGTERM, SIGSTOP))
            if number == SIGSTOP:
                await daemon.pause(length / 2)
            else:
                stop = daemon.kill() if number == SIGKILL else daemon.leave()
                await self._restart(daemon, stop, length / 4)

    async def _workers_return_as_others(self, length: float) -> None:
        if self.takeover_random.random() < TAKEOVER_SHARE:
            await self.return_during_takeover(length)
        else:
            await self.worker_faults.return_as_others(length)

    async def return_during_takeover(self, length: float) -> None:
        """Let workers return as another kind while another instance takes over scheduling."""
        returning = asyncio.create_task(self.worker_faults.return_as_others(length))
        await asyncio.sleep(NOTICED_SECONDS - TAKEOVER_LEAD_SECONDS)
        schedulers = [
            daemon
            for name, daemon in self.cluster.daemons.items()
            if daemon.is_scheduler and daemon.is_running() and name not in self.busy
        ]
        restarts = [self._restart(daemon, daemon.kill(), length) for daemon in schedulers]
        await asyncio.gather(returning, *restarts)

    async def _pause(self, length: float) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            self.cluster.history.record_event(f"  pauses {daemon.name}")
            await daemon.pause(length)

    async def _leave(self, length: float) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            await self._restart(daemon, daemon.leave(), 0.2)

    async def _leave_in_turn(self, length: float) -> None:
        await asyncio.gather(
            *(self._leave_after_delay(number * 1.2, length) for number in range(3))
        )

    async def _leave_after_delay(self, pause: float, length: float) -> None:
        await asyncio.sleep(pause)
        await self._leave(length)

    async def _replace(self, length: float) -> None:
        daemon = self._choose_daemon()
        if daemon is None:
            return
        self.cluster.retire(daemon)
        self.cluster.history.record_event(f"  replaces {daemon.name}")
        await (daemon.kill() if self.random.random() < 0.5 else daemon.leave())
        await asyncio.sleep(length / 4)
        await self.cluster.add_daemon()

    async def _reload(self, length: float) -> None:
        for daemon in list(self.cluster.daemons.values()):
            daemon.send_handled(SIGHUP)
            await asyncio.sleep(length / 20)

    async def _clock_jump(self, length: float) -> None:
        daemon = self._choose_daemon()
        if daemon is not None:
            self.cluster.history.record_event(
                f"  clock of {daemon.name} jumps {daemon.clock_jump} s"
            )
            daemon.send_handled(SIGUSR1)

    # Connections

    async def _cut_peers(self, length: float) -> None:
        one = self.random.choice(sorted(self.cluster.daemons))
        self.cluster.history.record_event(f"  cuts {one} from its peers")
        others = [name for name in self.cluster.daemons if name != one]
        await self.cluster.cut([(one, other) for other in others], length)

    async def _cut_one_way(self, length: float) -> None:
        one = self.random.choice(sorted(self.cluster.daemons))
        others = [name for name in self.cluster.proxies if name != one]
        is_sending = self.random.random() < 0.5
        self.cluster.history.record_event(
            f"  cuts {one} in one direction: {'sending' if is_sending else 'receiving'}"
        )
        pairs = [(one, other) if is_sending else (other, one) for other in others]
        await self.cluster.cut(pairs, length, is_one_way=True)

    async def _cut_zone(self, length: float) -> None:
        zone = self.random.choice(ZONES)
        self.cluster.history.record_event(f"  cuts zone {zone}")
        endpoints = [
            *self.cluster.daemons.values(),
            *(w.model for w in self.cluster.workers.values()),
        ]
        inside = [endpoint.name for endpoint in endpoints if endpoint.zone == zone]
        outside = [endpoint.name for endpoint in endpoints if endpoint.zone != zone]
        await self.cluster.cut([(a, b) for a in inside for b in [*outside, "store"]], length)

    async def _cut_store(self, length: float) -> None:
        names = [name for name in sorted(self.cluster.daemons) if self.random.random() < 0.6]
        self.cluster.history.record_event(f"  cuts the store from {names}")
        await self.cluster.cut([(name, "store") for name in names], length)

    async def _reset(self, length: float) -> None:
        for proxy in self.cluster.proxies.values():
            for connection in list(proxy.connections):
                if self.random.random() < 0.5:
                    connection.reset()
        self.disturbances.strike(time.monotonic(), *self.cluster.daemons)

    async def _silence(self, length: float) -> None:
        """Silence all connections, in half of the cases just after a change was distributed."""
        if self.random.random() < 0.5:
            self._change_config(self.random)
            await asyncio.sleep(DISTRIBUTION_SECONDS)
        self.cluster.silence_connections()

    async def _delay(self, length: float) -> None:
        one = self.random.choice(sorted(self.cluster.daemons))
        delay = self.random.uniform(0.02, 0.2)
        self.cluster.history.record_event(f"  delays {one} by {delay:.3f} s")
        directions = [
            direction
            for other in self.cluster.proxies
            for direction in ((one, other), (other, one))
        ]
        self.cluster.link_faults.delays.update(dict.fromkeys(directions, delay))
        self.disturbances.begin(one)
        await asyncio.sleep(length)
        for direction in directions:
            self.cluster.link_faults.delays.pop(direction, None)
        self.disturbances.end(time.monotonic(), one)

    # The store

    async def _store_busy(self, length: float) -> None:
        await self.cluster.impair_store(StoreFaults(is_busy=True), length)

    async def _store_slow(self, length: float) -> None:
        slow_seconds = self.random.uniform(0.1, 0.8)
        await self.cluster.impair_store(StoreFaults(slow_seconds=slow_seconds), length)

    async def _store_lost(self, length: float) -> None:
        await self.cluster.impair_store(StoreFaults(lost_share=0.4, late_share=0.4), length)

    async def _store_rejects(self, length: float) -> None:
        """Let the store reject half of the instances while the workers' rooms shrink."""
        names = sorted(self.cluster.daemons)
        rejected = frozenset(self.random.sample(names, (len(names) + 1) // 2))
        self.cluster.history.record_event(f"  the store rejects {sorted(rejected)}")
        store_faults = StoreFaults(rejected=rejected)
        outage = asyncio.create_task(self.cluster.impair_store(store_faults, REJECTION_SECONDS))
        await asyncio.sleep(SHRINKING_DELAY_SECONDS)
        for worker in list(self.cluster.workers.values())[::2]:
            self.cluster.resize(worker, SMALL_ROOM)
        await outage

    async def _store_compact(self, length: float) -> None:
        self.cluster.store.compact()
        self.disturbances.strike(time.monotonic(), STORE)

    async def _store_revoke(self, length: float) -> None:
        """Expire all leases; registrations of some workers disappear and return."""
        self.cluster.store.expire_leases()
        lapsed = [worker for worker in self.cluster.workers.values() if self.random.random() < 0.5]
        for worker in lapsed:
            self.cluster.unregister(worker)
        await asyncio.sleep(self.random.uniform(0.1, MAX_REREGISTRATION_SECONDS))
        for worker in lapsed:
            if worker.model.name in self.cluster.workers and not worker.model.is_down:
                is_draining = worker.model.name in self.cluster.history.draining
                self.cluster.register(worker, is_draining)

    # Configuration

    async def _config(self, length: float) -> None:
        self._change_config(self.random)

    def _change_config(self, random: Random) -> None:
        """Add a queue, or remove the oldest added one."""
        added = self.cluster.queues[1:]
        if added and random.random() < 0.4:
            self.cluster.change_config((QUEUE, *added[1:]))
            return
        number = self.cluster.config_version
        queue = QueueSpec(f"n{number}", "h.example", f"/n{number}/", SERVICE, 0, 4, 3.0, 500)
        self.cluster.change_config((QUEUE, *added, queue))
