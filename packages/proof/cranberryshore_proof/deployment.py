"""A deployment in virtual time: the product's own daemons between fakes of everything else."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from cranberryshore.dispatch import DispatchSettings
from cranberryshore.messages import PeerMessage
from cranberryshore.settings import (
    Address,
    DaemonSettings,
    PlatformSettings,
    TimingSettings,
    TokenSettings,
)
from cranberryshore.timeline import Recorder
from cranberryshore.work import Capacity
from cranberryshore_proof.fake_platform import FakeInstanceList, FakeStore, ListNode, StoreNode
from cranberryshore_proof.fake_upstreams import FakeForwarder, UpstreamNode
from cranberryshore_proof.fake_workers import FakeWorkerSession, WorkerNode
from cranberryshore_proof.history import (
    ConfigSample,
    DrainSeen,
    History,
    LeavingSeen,
    TaskStartSeen,
)
from cranberryshore_proof.network import DEFAULT_DELAY_SECONDS, Network
from cranberryshore_standins.worker_model import WorkerModel
from cranberryshored.app import Daemon
from cranberryshored.dependencies import Dependencies
from cranberryshored.metrics import Metrics
from cranberryshored.platform import InstanceKind, ListedInstance

ZONES = ("zone-a", "zone-b")
PEER_PORT = 7000
UNIX_START = 1_790_000_000.0
LARGEST_SKEW_SECONDS = 5.0
SAMPLE_SECONDS = 0.1
SERVICE = "booking"
DRAIN_SECONDS = 6.0


@attrs.frozen
class DeploymentShape:
    """How many of each node there are, and how far apart."""

    zones: tuple[str, ...] = ZONES
    entries: int = 3
    workers: int = 3
    upstreams: int = 2
    worker: Capacity = Capacity(4000, 8192, 0)
    delay_seconds: tuple[float, float] = DEFAULT_DELAY_SECONDS
    dispatch: DispatchSettings = DispatchSettings()


@attrs.define(eq=False)
class FakeTransport:
    """Messages between daemons over the virtual network."""

    entry: "EntryNode"
    own: Any
    deliver: Any
    recorder: Recorder

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Send to whatever run listens at the address when the message arrives."""
        deployment = self.entry.deployment
        receiver = deployment.entry_at(address)
        sender, stamp = self.own(), self.recorder.clock.latest

        def arrive() -> None:
            daemon = receiver.daemon
            if daemon is None or target not in ("", daemon.transport.own()):
                return
            daemon.recorder.clock.hear(stamp)
            deployment.network.spawn(
                receiver.name, _call(daemon.transport.deliver, sender, message)
            )

        deployment.network.send(self.entry.name, receiver.name, arrive)


async def _call(function: Any, *arguments: Any) -> None:
    function(*arguments)


@attrs.define(eq=False)
class FakeWeb:
    """Counts requests under way, as the web server does."""

    in_flight: int = 0

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class EntryNode:
    """One entry instance and its present run."""

    name: str
    zone: str
    number: int
    deployment: "SimulatedDeployment"
    skew_seconds: float
    daemon: Daemon | None = None
    run: int = 0

    @property
    def address(self) -> str:
        """Return the address for peers."""
        return f"10.0.0.{self.number + 1}:{PEER_PORT}"

    def settings(self) -> DaemonSettings:
        """Return the daemon's settings."""
        host = f"10.0.0.{self.number + 1}"
        platform = PlatformSettings("http://10.1.0.1:1", "http://10.1.0.2:1", 0.5, 1.0)
        return DaemonSettings(
            self.name,
            self.zone,
            Address(host, PEER_PORT + 1),
            Address(host, PEER_PORT),
            platform,
            (TokenSettings("caller", "0" * 64),),
            timing=TimingSettings(drain_seconds=DRAIN_SECONDS),
            dispatch=self.deployment.shape.dispatch,
        )

    def launch(self) -> None:
        """Start a run."""
        self.run = self.deployment.network.begin_run(self.name)
        self.deployment.network.spawn(self.name, self._start())

    def kill(self) -> None:
        """End the run at once."""
        self.daemon = None
        self.deployment.network.end_run(self.name)

    async def leave(self) -> bool:
        """End the run gracefully; return whether it came to its end."""
        daemon = self.daemon
        await asyncio.wait([self.deployment.network.spawn(self.name, daemon.close())])
        if self.daemon is not daemon:
            return False
        self.kill()
        return True

    async def _start(self) -> None:
        deployment = self.deployment
        metrics = Metrics()
        dependencies = Dependencies(
            FakeStore(self.name, deployment.network, deployment.store),
            FakeInstanceList(self.name, deployment.network, deployment.listing),
            FakeForwarder(self.name, deployment.network, deployment.upstreams),
            lambda own, deliver, recorder: FakeTransport(self, own, deliver, recorder),
            lambda tables: FakeWeb(),
            self._session,
            lambda: UNIX_START + asyncio.get_running_loop().time() + self.skew_seconds,
            Random(f"{deployment.seed}-{self.name}-{self.run}"),
        )
        daemon = Daemon(self.settings(), metrics, dependencies)
        self.daemon = daemon
        await daemon.start()

    async def _session(self) -> FakeWorkerSession:
        return FakeWorkerSession(self.name, self.deployment.network, self.deployment.workers)


@attrs.define(eq=False)
class SimulatedDeployment:
    """All nodes, and what was seen of them."""

    seed: int
    shape: DeploymentShape = DeploymentShape()
    random: Random = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    store: StoreNode = attrs.field(factory=StoreNode)
    listing: ListNode = attrs.field(factory=lambda: ListNode(1.0))
    entries: list[EntryNode] = attrs.field(factory=list)
    workers: dict[str, WorkerNode] = attrs.field(factory=dict)
    upstreams: dict[str, UpstreamNode] = attrs.field(factory=dict)
    instances: dict[str, ListedInstance] = attrs.field(factory=dict)
    history: History = attrs.field(factory=History)

    def __attrs_post_init__(self) -> None:
        self.random = Random(f"world-{self.seed}")
        self.network = Network(Random(f"network-{self.seed}"), self.shape.delay_seconds)
        for zone in self.shape.zones:
            self._add_zone(zone)

    async def start(self) -> None:
        """Start all nodes."""
        loop = asyncio.get_running_loop()
        loop.set_task_factory(self.network.task_factory)
        for worker in self.workers.values():
            worker.launch()
        self.listing.publish(-10.0, self.instances)
        for entry in self.entries:
            entry.launch()
        self.network.spawn("", self._sample())

    def zone_entries(self, zone: str) -> list[EntryNode]:
        """Return the entry instances of a zone."""
        return [entry for entry in self.entries if entry.zone == zone]

    def entry_at(self, address: str) -> EntryNode:
        """Return the entry instance at a peer address."""
        return next(entry for entry in self.entries if entry.address == address)

    def list_worker(self, worker: WorkerNode) -> None:
        """Publish a worker's present run in the instance list."""
        old = self.instances[worker.name]
        self.instances[worker.name] = attrs.evolve(old, incarnation=worker.model.incarnation)
        self._publish()

    def list_upstream(self, name: str, is_leaving: bool) -> None:
        """Publish whether an upstream is leaving."""
        self.instances[name] = attrs.evolve(self.instances[name], is_leaving=is_leaving)
        self._publish()
        if is_leaving:
            now = asyncio.get_running_loop().time()
            self.history.leavings.append(LeavingSeen(name, now))

    def drained(self, entry: EntryNode, at: float) -> None:
        """Record a graceful leave."""
        now = asyncio.get_running_loop().time()
        self.history.drains.append(DrainSeen(entry.name, entry.run, at, now))

    def collect(self) -> History:
        """Return the history with what workers and upstreams saw."""
        history = self.history
        for worker in self.workers.values():
            for model in worker.models:
                for start in model.starts:
                    seen = TaskStartSeen(start.at, worker.name, start.owner, start.job, start.index)
                    history.starts.append(seen)
        for upstream in self.upstreams.values():
            history.runs += [(at, upstream.name, nonce) for at, nonce in upstream.runs]
        return history

    def _publish(self) -> None:
        self.listing.publish(asyncio.get_running_loop().time(), self.instances)

    def _add_zone(self, zone: str) -> None:
        for number in range(self.shape.entries):
            skew = self.random.uniform(-LARGEST_SKEW_SECONDS, LARGEST_SKEW_SECONDS)
            name = f"entry-{zone}-{number}"
            entry = EntryNode(name, zone, len(self.entries), self, skew)
            self.entries.append(entry)
            self.instances[name] = ListedInstance(InstanceKind.ENTRY, name, zone, entry.address)
        for number in range(self.shape.workers):
            name = f"worker-{zone}-{number}"
            self.workers[name] = WorkerNode(
                name, self.network, _model_maker(name, self.shape.worker)
            )
            self.instances[name] = ListedInstance(
                InstanceKind.WORKER,
                name,
                zone,
                name,
                incarnation="run-1",
                capacity=self.shape.worker,
            )
        for number in range(self.shape.upstreams):
            name = f"upstream-{zone}-{number}"
            self.upstreams[name] = UpstreamNode(name, self.network)
            self.instances[name] = ListedInstance(
                InstanceKind.UPSTREAM, name, zone, name, service=SERVICE
            )

    async def _sample(self) -> None:
        """Note what is in force in every instance, again and again."""
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            now = asyncio.get_running_loop().time()
            for entry in self.entries:
                if entry.daemon is None:
                    continue
                state = entry.daemon.state
                resources = tuple(
                    (key, resource.generation) for key, resource in state.resources.items()
                )
                is_reachable = entry.name not in self.network.frozen
                sample = ConfigSample(
                    now, entry.name, entry.run, state.revision, resources, is_reachable
                )
                self.history.samples.append(sample)


def _model_maker(name: str, capacity: Capacity) -> Callable[[int], WorkerModel]:
    return lambda run: WorkerModel(name, f"run-{run}", capacity)
