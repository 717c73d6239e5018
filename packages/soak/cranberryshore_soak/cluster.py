"""The system under test: daemons, store and workers with proxies between them, and callers."""

import asyncio
import tempfile
import time
from pathlib import Path
from random import Random

import attrs

from cranberryshore.pool import QueueSpec
from cranberryshore_platform.tests import platform_api
from cranberryshore_platform.tests.standin import StandIn, StoreFaults, free_addresses
from cranberryshore_proof.config_checks import STORE
from cranberryshore_proof.pool_crashes import CrashModel
from cranberryshore_proof.pool_workers import ModelWorker
from cranberryshore_soak.callers import COMMON_LABEL, Balancer, Callers
from cranberryshore_soak.cancelling import Canceller
from cranberryshore_soak.config_probe import ConfigProbe
from cranberryshore_soak.history import History
from cranberryshore_soak.processes import DaemonProcess
from cranberryshore_soak.proxy import FaultProxy, LinkFaults
from cranberryshore_soak.socket_owners import SocketOwners
from cranberryshored.loop_lag import LoopLag

ZONES = ("a", "b", "c")
SERVICE = "s"
QUEUE = QueueSpec("q", "h.example", "/q/", SERVICE, 0, 4, 3.0, 500)
START_TIMEOUT_SECONDS = 30.0
"""Time limit for all daemons to become ready on a busy machine."""

MAX_CLOCK_ERROR_SECONDS = 1.5
"""Largest initial error of an instance's wall clock; clocks on the platform itself are accurate."""


@attrs.frozen
class SoakPlan:
    """Seed and size of a soak.

    Parameters
    ----------
    recovery_seconds : float
        Time of load after the faults.
    fault_names : tuple of str
        Faults to choose from; all if it is empty.
    """

    seed: int
    instance_count: int = 6
    worker_count: int = 8
    caller_count: int = 24
    fault_seconds: float = 14.0
    recovery_seconds: float = 4.0
    fault_names: tuple[str, ...] = ()


@attrs.define(eq=False)
class SoakWorker:
    """One model worker with its HTTP server and the proxy in front of it.

    Parameters
    ----------
    is_busy : bool
        Whether a fault that ends its process is under way.
    label : str
        Kind of the worker, which a restart may change.
    """

    model: ModelWorker
    http_server: platform_api.WorkerEndpoint
    proxy: FaultProxy
    is_busy: bool = False
    label: str = COMMON_LABEL


def unix_ms() -> int:
    """Return the time as workers give that of their start."""
    return int(time.time() * 1000)


@attrs.define(eq=False)
class SoakCluster:
    """Starts, holds and stops all components; ``count`` is the number of daemons added so far."""

    plan: SoakPlan
    random: Random = attrs.field(init=False)
    balancer: Balancer = attrs.field(init=False)
    callers: Callers = attrs.field(init=False)
    config_probe: ConfigProbe = attrs.field(init=False)
    crash_model: CrashModel = attrs.field(init=False)
    restorations: set[asyncio.Task] = attrs.field(factory=set)
    folder: tempfile.TemporaryDirectory = attrs.field(factory=tempfile.TemporaryDirectory)
    link_faults: LinkFaults = attrs.field(factory=LinkFaults)
    socket_owners: SocketOwners = attrs.field(factory=SocketOwners)
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
        self.crash_model = CrashModel(Random(self.plan.seed + 6), self, self.history.report)
        self.history.crash_model = self.crash_model
        self.callers = Callers(
            self.balancer,
            QUEUE,
            self.history,
            Random(self.plan.seed + 2),
            self.lag,
            self.crash_model,
        )
        self.callers.canceller = Canceller(
            QUEUE, self.history, Random(self.plan.seed + 8), self.daemons
        )
        self.history.label_of = self.callers.task_label
        self.history.oldest_start = self._oldest_start
        self.config_probe = ConfigProbe(
            self.daemons, QUEUE.host, self.history, Random(self.plan.seed + 5)
        )

    async def start(self) -> None:
        """Start all components and wait until all daemons are ready."""
        await self.store.start()
        proxy = await self._add_proxy("store", self.store.address)
        self.store.caller_of = proxy.source_of
        self.change_config(self.queues)
        for _ in range(self.plan.worker_count):
            await self.add_worker()
        for _ in range(self.plan.instance_count):
            await self.add_daemon()
        await self.balancer.start()
        await self.lag.start()
        await self.wait_until_ready()
        await self.config_probe.start()

    async def close(self) -> None:
        """Stop all components."""
        await self.lag.close()
        await self.config_probe.close()
        await self.balancer.close()
        for daemon in [*self.daemons.values(), *self.retired]:
            await daemon.close()
        for worker in self.workers.values():
            await worker.http_server.close()
        for proxy in self.proxies.values():
            await proxy.close()
        await self.store.close()
        self.socket_owners.close()
        self.folder.cleanup()

    async def wait_until_ready(self) -> None:
        """Wait until the balancer's last probe of every daemon succeeded; report a timeout."""
        end = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(0.1)
            if all(self.balancer.failed_probes.get(name, 1) == 0 for name in self.daemons):
                return
        late = [name for name in self.daemons if self.balancer.failed_probes.get(name, 1)]
        self.history.report(f"not ready after {START_TIMEOUT_SECONDS} s: {late}")

    async def _add_proxy(self, name: str, target: str) -> FaultProxy:
        proxy = self.proxies[name] = FaultProxy(
            name, target, self.link_faults, self.socket_owners.find_owner
        )
        await proxy.start()
        return proxy

    async def add_daemon(self) -> DaemonProcess:
        """Start a new daemon on free addresses."""
        name, zone = f"e{self.count}", ZONES[self.count % len(ZONES)]
        self.count += 1
        listen, ready, peer, metrics = free_addresses(4)
        proxy = await self._add_proxy(name, peer)
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
            "evacuation_limit_ms": 5000,
        }
        daemon = DaemonProcess(
            name,
            zone,
            settings,
            Path(self.folder.name),
            self.random.uniform(-MAX_CLOCK_ERROR_SECONDS, MAX_CLOCK_ERROR_SECONDS),
            self.random.choice((-2.0, 2.0)),
            self.history.report,
        )
        self.daemons[name] = daemon
        await self.start_daemon(daemon)
        return daemon

    async def start_daemon(self, daemon: DaemonProcess) -> None:
        """Start a process of a daemon and record its process id."""
        await daemon.start()
        self.socket_owners.processes[daemon.name] = daemon.process_id

    def retire(self, daemon: DaemonProcess) -> None:
        """Remove a daemon for good."""
        del self.daemons[daemon.name]
        self.balancer.failed_probes.pop(daemon.name, None)
        self.retired.append(daemon)

    async def add_worker(self) -> SoakWorker:
        """Start a new worker and register it."""
        number = len(self.history.workers)
        model = ModelWorker(
            f"w{number}",
            ZONES[number % len(ZONES)],
            4000,
            self.callers.task_seconds,
            self.history.run_started,
            on_end=self.history.run_ended,
            born=unix_ms(),
        )
        http_server = platform_api.WorkerEndpoint(
            model, self.callers.task_demand, Random(self.plan.seed + number)
        )
        await http_server.start()
        proxy = await self._add_proxy(model.name, http_server.address)
        worker = self.workers[model.name] = SoakWorker(model, http_server, proxy)
        self.history.workers[model.name] = model
        self.history.labels[model.name] = worker.label
        self.register(worker)
        return worker

    def worker_crashed(self, worker: ModelWorker) -> None:
        """See :class:`CrashHost`."""
        self.history.record_event(f"  {worker.name} crashes under a task")
        self.history.record_disturbance()
        worker.is_down = True
        proxy = self.proxies[worker.name]
        if worker.name in self.link_faults.isolated:
            proxy.end_target()
        else:
            proxy.refuse()

    def worker_returns(self, worker: ModelWorker, is_renamed: bool) -> None:
        """See :class:`CrashHost`."""
        task = asyncio.ensure_future(self.start_process(worker, is_renamed))
        self.restorations.add(task)
        task.add_done_callback(self.restorations.discard)

    def end_process(self, worker: SoakWorker, is_crash: bool) -> None:
        """End the process of a worker, which crashes or leaves, unless it has ended already."""
        model = worker.model
        if model.is_down:
            return
        model.end_due_runs(asyncio.get_running_loop().time())
        how = "crashes" if is_crash else "leaves"
        self.history.record_event(f"  {model.name} {how} with {sorted(model.runs)}")
        if is_crash:
            self.crash_model.record_crash(model, is_injected=True)
        model.crash()
        model.lease_end, model.is_down = 0.0, True
        worker.proxy.end_target()

    async def start_process(self, model: ModelWorker, is_renamed: bool) -> None:
        """Start the process of a worker again, or another worker at its address."""
        proxy, worker = self.proxies.get(model.name), self.workers.get(model.name)
        if worker is None:
            # The worker was to leave, and has left meanwhile.
            return
        self.history.record_disturbance()
        if is_renamed:
            self._rename(worker)
        else:
            model.born = max(model.born, unix_ms())
            model.is_down = False
            self.history.labels[model.name] = worker.label
            self.register(worker, model.name in self.history.draining)
        self.history.record_event(f"  {model.name} is back as {worker.model.name}")
        await proxy.restore()

    def _rename(self, worker: SoakWorker) -> None:
        """Let a new worker process take the place of a crashed one under another name."""
        former = worker.model
        self.unregister(worker)
        del self.workers[former.name]
        worker.model = ModelWorker(
            f"w{len(self.history.workers)}",
            former.zone,
            former.millicores,
            former.run_seconds,
            former.on_start,
            on_end=former.on_end,
            born=unix_ms(),
        )
        name = worker.proxy.name = worker.model.name
        worker.http_server.model = worker.model
        self.proxies[name] = self.proxies.pop(former.name)
        self.workers[name] = worker
        self.history.workers[name] = worker.model
        self.history.labels[name] = worker.label
        self.register(worker)

    def resize(self, worker: SoakWorker, millicores: int) -> None:
        """Change the capacity of a worker, and register it.

        A worker that is down registers when it is back, and doesn't shrink before.
        """
        if worker.model.is_down and millicores < worker.model.millicores:
            return
        worker.model.resize(millicores, asyncio.get_running_loop().time())
        if not worker.model.is_down:
            self.register(worker, worker.model.name in self.history.draining)

    def register(self, worker: SoakWorker, is_draining: bool = False) -> None:
        """Write a worker's registration to the store."""
        value = platform_api.encode_worker(
            worker.model, worker.proxy.address, SERVICE, is_draining, worker.label
        )
        self.store.set(platform_api.WORKERS_PREFIX + worker.model.name, value)

    def add_foreign_entries(self) -> None:
        """Let another writer leave values among the registrations that name no workers."""
        values = platform_api.encode_foreign_entries(SERVICE, ZONES[0])
        for number, value in enumerate(values):
            self.store.set(f"{platform_api.WORKERS_PREFIX}x{number}", value)

    def unregister(self, worker: SoakWorker) -> None:
        """Remove a worker's registration from the store."""
        self.store.remove(platform_api.WORKERS_PREFIX + worker.model.name)

    async def cut(
        self, pairs: list[tuple[str, str]], seconds: float, is_one_way: bool = False
    ) -> None:
        """Block the links between pairs of endpoints for some time, without a sign to either."""
        cut = [direction for pair in pairs for direction in self.link_faults.cut(*pair, is_one_way)]
        without_store = sorted({name for pair in pairs if STORE in pair for name in pair} - {STORE})
        self.config_probe.disturbances.begin(*without_store)
        await asyncio.sleep(seconds)
        self.link_faults.heal(cut)
        self.config_probe.disturbances.end(time.monotonic(), *without_store)

    async def impair_store(self, store_faults: StoreFaults, seconds: float) -> None:
        """Let the store have some faults for some time, unless others follow."""
        self.store.store_faults = store_faults
        self.config_probe.disturbances.begin(STORE)
        await asyncio.sleep(seconds)
        self.config_probe.disturbances.end(time.monotonic(), STORE)
        if self.store.store_faults is store_faults:
            self.store.store_faults = StoreFaults()

    def refused_starts(self) -> int:
        """Return the number of starts that workers have refused."""
        daemons = [*self.daemons.values(), *self.retired]
        return sum(daemon.refused_starts for daemon in daemons)

    def change_config(self, queues: tuple[QueueSpec, ...]) -> None:
        """Publish a new configuration with the given queues."""
        self.queues = queues
        self.config_version += 1
        prefixes = frozenset(queue.prefix for queue in queues)
        self.config_probe.checks.publish(self.config_version, time.monotonic(), prefixes)
        self.store.set(
            platform_api.CONFIG_KEY, platform_api.encode_config(self.config_version, queues)
        )

    def silence_connections(self) -> None:
        """Let all open connections between processes fall silent; new ones work."""
        for proxy in self.proxies.values():
            for connection in proxy.connections:
                connection.is_silent = True
        self.config_probe.disturbances.strike(time.monotonic(), *self.daemons)

    def _oldest_start(self) -> float:
        running = [daemon for daemon in self.daemons.values() if daemon.is_running()]
        return min((daemon.started_at for daemon in running), default=float("inf"))

    async def run_callers(self, seconds: float, caller_count: int, pause: float) -> list:
        """Let callers submit jobs for some time, with pauses of this mean; return the jobs."""
        end = time.monotonic() + seconds
        running = [self.callers.run_caller(end, pause) for _ in range(caller_count)]
        jobs = [job for jobs in await asyncio.gather(*running) for job in jobs]
        await self.callers.canceller.close()
        return jobs
