"""Simulated deployment in virtual time: real daemon code, with fakes of all that it calls."""

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
from cranberryshore.timeline import EventRecorder
from cranberryshore.work import Capacity
from cranberryshore_proof.fake_platform import FakeInstanceList, FakeStore, ListNode, StoreNode
from cranberryshore_proof.fake_upstreams import FakeForwarder, UpstreamNode
from cranberryshore_proof.fake_workers import FakeClientSession, WorkerNode
from cranberryshore_proof.history import (
    ConfigSample,
    History,
    InstanceDrain,
    ObservedTaskStart,
    UpstreamDeparture,
)
from cranberryshore_proof.network import DEFAULT_DELAY_RANGE_SECONDS, Network
from cranberryshore_standins.worker_model import WorkerModel
from cranberryshored.app import Daemon
from cranberryshored.dependencies import Dependencies
from cranberryshored.metrics import Metrics
from cranberryshored.platform import InstanceKind, ListedInstance

ZONES = ("zone-a", "zone-b")
PEER_PORT = 7000
UNIX_START_SECONDS = 1_790_000_000.0
MAX_CLOCK_SKEW_SECONDS = 5.0
SAMPLE_INTERVAL_SECONDS = 0.1
SERVICE = "booking"
DRAIN_SECONDS = 6.0


@attrs.frozen
class DeploymentShape:
    """Numbers of nodes per availability zone, capacity of a worker, and network delays."""

    zones: tuple[str, ...] = ZONES
    entries: int = 3
    workers: int = 3
    upstreams: int = 2
    worker: Capacity = Capacity(4000, 8192, 0)
    delay_range_seconds: tuple[float, float] = DEFAULT_DELAY_RANGE_SECONDS
    dispatch: DispatchSettings = DispatchSettings()


@attrs.define(eq=False)
class FakeTransport:
    """Transport between daemons; ``own`` returns the incarnation of the instance."""

    entry: "EntryNode"
    own: Any
    deliver: Any
    recorder: EventRecorder

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Send a message to the run that has the address at the time of arrival.

        Like a real transport, it drops the message if ``target`` names another incarnation.
        """
        deployment = self.entry.deployment
        receiver = deployment.entry_at(address)
        sender, stamp = self.own(), self.recorder.clock.latest

        def arrive() -> None:
            daemon = receiver.daemon
            if daemon is None or target not in ("", daemon.transport.own()):
                return
            daemon.recorder.clock.update(stamp)
            deployment.network.spawn(
                receiver.name, _call_function(daemon.transport.deliver, sender, message)
            )

        deployment.network.send(self.entry.name, receiver.name, arrive)


async def _call_function(function: Any, *arguments: Any) -> None:
    function(*arguments)


@attrs.define(eq=False)
class FakeWeb:
    """Replaces the daemon's web server; counts the requests in progress."""

    in_flight: int = 0

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""


@attrs.define(eq=False)
class EntryNode:
    """One entry instance; ``daemon`` is ``None`` while no run of it is up."""

    name: str
    zone: str
    number: int
    deployment: "SimulatedDeployment"
    skew_seconds: float
    daemon: Daemon | None = None
    run: int = 0

    @property
    def address(self) -> str:
        """Return the address at which peers reach the instance."""
        return f"10.0.0.{self.number + 1}:{PEER_PORT}"

    def settings(self) -> DaemonSettings:
        """Return the settings of the daemon."""
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
        """Start a new run."""
        self.run = self.deployment.network.begin_run(self.name)
        self.deployment.network.spawn(self.name, self._start())

    def kill(self) -> None:
        """Kill the present run."""
        self.daemon = None
        self.deployment.network.kill_run(self.name)

    async def leave(self) -> bool:
        """Shut the run down gracefully; return ``False`` if it was killed meanwhile."""
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
            FakeInstanceList(self.name, deployment.network, deployment.instance_list),
            FakeForwarder(self.name, deployment.network, deployment.upstreams),
            lambda own, deliver, recorder: FakeTransport(self, own, deliver, recorder),
            lambda tables: FakeWeb(),
            self._make_client_session,
            lambda: UNIX_START_SECONDS + asyncio.get_running_loop().time() + self.skew_seconds,
            Random(f"{deployment.seed}-{self.name}-{self.run}"),
        )
        daemon = Daemon(self.settings(), metrics, dependencies)
        self.daemon = daemon
        await daemon.start()

    async def _make_client_session(self) -> FakeClientSession:
        return FakeClientSession(self.name, self.deployment.network, self.deployment.workers)


@attrs.define(eq=False)
class SimulatedDeployment:
    """All nodes of a deployment and their history; the seed determines all random choices."""

    seed: int
    shape: DeploymentShape = DeploymentShape()
    random: Random = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    store: StoreNode = attrs.field(factory=StoreNode)
    instance_list: ListNode = attrs.field(factory=lambda: ListNode(1.0))
    entries: list[EntryNode] = attrs.field(factory=list)
    workers: dict[str, WorkerNode] = attrs.field(factory=dict)
    upstreams: dict[str, UpstreamNode] = attrs.field(factory=dict)
    instances: dict[str, ListedInstance] = attrs.field(factory=dict)
    history: History = attrs.field(factory=History)

    def __attrs_post_init__(self) -> None:
        # Other seed strings would change the histories of all seeds, including those in tests.
        self.random = Random(f"world-{self.seed}")
        self.network = Network(Random(f"network-{self.seed}"), self.shape.delay_range_seconds)
        for zone in self.shape.zones:
            self._add_zone(zone)

    async def start(self) -> None:
        """Start all nodes and the sampling of their configuration."""
        loop = asyncio.get_running_loop()
        loop.set_task_factory(self.network.task_factory)
        for worker in self.workers.values():
            worker.launch()
        # Published so early that the instances see this version at once despite the lag.
        self.instance_list.publish(-10.0, self.instances)
        for entry in self.entries:
            entry.launch()
        self.network.spawn("", self._sample_configuration())

    def zone_entries(self, zone: str) -> list[EntryNode]:
        """Return the entry instances of a zone."""
        return [entry for entry in self.entries if entry.zone == zone]

    def entry_at(self, address: str) -> EntryNode:
        """Return the entry instance at a peer address."""
        return next(entry for entry in self.entries if entry.address == address)

    def publish_worker(self, worker: WorkerNode) -> None:
        """Publish a worker's present run in the instance list."""
        old = self.instances[worker.name]
        self.instances[worker.name] = attrs.evolve(old, incarnation=worker.model.incarnation)
        self._publish_instances()

    def publish_upstream(self, name: str, is_leaving: bool) -> None:
        """Publish whether an upstream is leaving."""
        self.instances[name] = attrs.evolve(self.instances[name], is_leaving=is_leaving)
        self._publish_instances()
        if is_leaving:
            now = asyncio.get_running_loop().time()
            self.history.departures.append(UpstreamDeparture(name, now))

    def record_drain(self, entry: EntryNode, at: float) -> None:
        """Record a graceful shutdown that has now ended."""
        now = asyncio.get_running_loop().time()
        self.history.drains.append(InstanceDrain(entry.name, entry.run, at, now))

    def collect_history(self) -> History:
        """Return the history, with the starts at workers and the runs at upstreams."""
        history = self.history
        for worker in self.workers.values():
            for model in worker.models:
                for start in model.starts:
                    observed = ObservedTaskStart(
                        start.at, worker.name, start.owner, start.job, start.index
                    )
                    history.starts.append(observed)
        for upstream in self.upstreams.values():
            history.runs += [(at, upstream.name, nonce) for at, nonce in upstream.runs]
        return history

    def _publish_instances(self) -> None:
        self.instance_list.publish(asyncio.get_running_loop().time(), self.instances)

    def _add_zone(self, zone: str) -> None:
        for number in range(self.shape.entries):
            skew = self.random.uniform(-MAX_CLOCK_SKEW_SECONDS, MAX_CLOCK_SKEW_SECONDS)
            name = f"entry-{zone}-{number}"
            entry = EntryNode(name, zone, len(self.entries), self, skew)
            self.entries.append(entry)
            self.instances[name] = ListedInstance(InstanceKind.ENTRY, name, zone, entry.address)
        for number in range(self.shape.workers):
            name = f"worker-{zone}-{number}"
            self.workers[name] = WorkerNode(
                name, self.network, _make_model_factory(name, self.shape.worker)
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

    async def _sample_configuration(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            for entry in self.entries:
                if entry.daemon is None:
                    continue
                state = entry.daemon.state
                resources = tuple(
                    (key, resource.generation) for key, resource in state.resources.items()
                )
                is_running = entry.name not in self.network.frozen
                sample = ConfigSample(
                    now, entry.name, entry.run, state.revision, resources, is_running
                )
                self.history.samples.append(sample)


def _make_model_factory(name: str, capacity: Capacity) -> Callable[[int], WorkerModel]:
    return lambda run: WorkerModel(name, f"run-{run}", capacity)
