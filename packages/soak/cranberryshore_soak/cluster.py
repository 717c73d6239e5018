"""The parts of a soak: daemons, store, workers, proxies between them, callers."""

import asyncio
import tempfile
import time
from pathlib import Path
from random import Random

import attrs

from cranberryshore.pool import QueueSpec
from cranberryshore_platform.tests import faces
from cranberryshore_platform.tests.standin import StandIn, free_addresses
from cranberryshore_proof.pool_workers import ModelWorker
from cranberryshore_soak.callers import Balancer, Callers
from cranberryshore_soak.history import History
from cranberryshore_soak.processes import DaemonProcess
from cranberryshore_soak.proxy import FaultProxy, Links
from cranberryshore_soak.socket_owners import Owners
from cranberryshored.loop_lag import LoopLag

ZONES = ("a", "b", "c")
SERVICE = "s"
QUEUE = QueueSpec("q", "h.example", "/q/", SERVICE, 0, 4, 3.0, 500)
START_SECONDS = 30.0
"""Longest time until all daemons are ready, on a busy machine."""

CLOCK_ERROR_SECONDS = 1.5
"""Largest error of an instance's time of day; the platform's are close to true time."""


@attrs.frozen
class SoakPlan:
    """Size of a soak."""

    seed: int
    instance_count: int = 6
    worker_count: int = 8
    caller_count: int = 24
    storm_seconds: float = 14.0
    calm_seconds: float = 4.0


@attrs.define(eq=False)
class SoakWorker:
    """One worker with the parts in front of it."""

    model: ModelWorker
    face: faces.WorkerFace
    proxy: FaultProxy


@attrs.define(eq=False)
class SoakWorld:
    """Starts, holds and ends all parts."""

    plan: SoakPlan
    random: Random = attrs.field(init=False)
    balancer: Balancer = attrs.field(init=False)
    callers: Callers = attrs.field(init=False)
    folder: tempfile.TemporaryDirectory = attrs.field(factory=tempfile.TemporaryDirectory)
    links: Links = attrs.field(factory=Links)
    owners: Owners = attrs.field(factory=Owners)
    history: History = attrs.field(factory=History)
    store: StandIn = attrs.field(factory=StandIn)
    daemons: dict[str, DaemonProcess] = attrs.field(factory=dict)
    retired: list[DaemonProcess] = attrs.field(factory=list)
    workers: dict[str, SoakWorker] = attrs.field(factory=dict)
    proxies: dict[str, FaultProxy] = attrs.field(factory=dict)
    queues: tuple[QueueSpec, ...] = (QUEUE,)
    config_version: int = 0
    count: int = 0
    lag: LoopLag = attrs.field(factory=LoopLag)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.plan.seed)
        self.balancer = Balancer(self.daemons, Random(self.plan.seed + 1))
        self.callers = Callers(
            self.balancer, QUEUE, self.history, Random(self.plan.seed + 2), self.lag
        )

    async def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        await self.store.start()
        await self._proxy("store", self.store.address)
        self.change_config(self.queues)
        for _ in range(self.plan.worker_count):
            await self.add_worker()
        for _ in range(self.plan.instance_count):
            await self.add_daemon()
        await self.balancer.start()
        await self.lag.start()
        await self.until_ready()

    async def close(self) -> None:
        """End everything that was started."""
        await self.lag.close()
        await self.balancer.close()
        for daemon in [*self.daemons.values(), *self.retired]:
            await daemon.close()
        for worker in self.workers.values():
            await worker.face.close()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.store.close()
        self.folder.cleanup()

    async def until_ready(self) -> None:
        """Wait until the balancer finds all daemons ready."""
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
            if all(self.balancer.misses.get(name, 1) == 0 for name in self.daemons):
                return
        late = [name for name in self.daemons if self.balancer.misses.get(name, 1)]
        self.history.report(f"not ready after {START_SECONDS} s: {late}")

    async def _proxy(self, name: str, target: str) -> FaultProxy:
        proxy = self.proxies[name] = FaultProxy(name, target, self.links, self.owners.owner_of)
        await proxy.start()
        return proxy

    async def add_daemon(self) -> DaemonProcess:
        """Start a new daemon at addresses of its own."""
        name, zone = f"e{self.count}", ZONES[self.count % len(ZONES)]
        self.count += 1
        listen, ready, peer, metrics = free_addresses(4)
        proxy = await self._proxy(name, peer)
        settings = {
            "instance": name,
            "zone": zone,
            "listen": listen,
            "ready_listen": ready,
            "peer_listen": peer,
            "peer_advertise": proxy.address,
            "metrics_listen": metrics,
            "store": self.proxies["store"].address,
            "seeds": [item.settings["peer_advertise"] for item in self.daemons.values()][:3],
            "drain_seconds": 4.0,
        }
        daemon = DaemonProcess(
            name,
            zone,
            settings,
            Path(self.folder.name),
            self.random.uniform(-CLOCK_ERROR_SECONDS, CLOCK_ERROR_SECONDS),
            self.random.choice((-2.0, 2.0)),
            self.history.report,
        )
        self.daemons[name] = daemon
        await self.start_daemon(daemon)
        return daemon

    async def start_daemon(self, daemon: DaemonProcess) -> None:
        """Begin a life of a daemon."""
        await daemon.start()
        self.owners.processes[daemon.name] = daemon.process_id

    def retire(self, daemon: DaemonProcess) -> None:
        """Take a daemon out for good."""
        del self.daemons[daemon.name]
        self.balancer.misses.pop(daemon.name, None)
        self.retired.append(daemon)

    async def add_worker(self) -> SoakWorker:
        """Add a worker and register it."""
        number = len(self.history.workers)
        model = ModelWorker(
            f"w{number}",
            ZONES[number % len(ZONES)],
            4000,
            self.callers.seconds_of,
            self.history.run_started,
            self.history.run_ended,
        )
        face = faces.WorkerFace(model, self.callers.demand_of, Random(self.plan.seed + number))
        await face.start()
        proxy = await self._proxy(model.name, face.address)
        worker = self.workers[model.name] = SoakWorker(model, face, proxy)
        self.history.workers[model.name] = model
        self.register(worker)
        return worker

    def register(self, worker: SoakWorker, is_draining: bool = False) -> None:
        """Write a worker's entry."""
        value = faces.encode_worker(worker.model, worker.proxy.address, SERVICE, is_draining)
        self.store.set(faces.WORKERS_PREFIX + worker.model.name, value)

    def unregister(self, worker: SoakWorker) -> None:
        """Remove a worker's entry."""
        self.store.remove(faces.WORKERS_PREFIX + worker.model.name)

    def change_config(self, queues: tuple[QueueSpec, ...]) -> None:
        """Put other queues in force."""
        self.queues = queues
        self.config_version += 1
        self.store.set(faces.CONFIG_KEY, faces.encode_config(self.config_version, queues))

    async def load(self, seconds: float, callers: int, pause: float) -> list:
        """Let callers submit jobs, each after a pause, for some time; return their jobs."""
        end = time.monotonic() + seconds
        running = [self.callers.call_until(end, pause) for _ in range(callers)]
        return [job for jobs in await asyncio.gather(*running) for job in jobs]
