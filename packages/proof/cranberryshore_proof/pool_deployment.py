"""Simulated pool in virtual time: real entry instances with models of workers and callers."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from types import SimpleNamespace

import attrs

from cranberryshore.messages import encode_json
from cranberryshore.pool import (
    MemberAddress,
    Outcome,
    PoolConfig,
    QueueSpec,
    RunKey,
    StepSpec,
    WorkerRegistration,
    WorkRequest,
)
from cranberryshore.settings.pool import OverloadSettings, PoolSettings
from cranberryshore.work import Capacity
from cranberryshore_proof.config_checks import STORE, ConfigChecks, Disturbances
from cranberryshore_proof.network import Network
from cranberryshore_proof.pool_crashes import CrashModel
from cranberryshore_proof.pool_evacuations import ModelEvacuations
from cranberryshore_proof.pool_jobs import JobMix, LabelledJobs, SimulatedJob
from cranberryshore_proof.pool_probe import HOST, QueueProbe
from cranberryshore_proof.pool_registrations import ModelRegistrations
from cranberryshore_proof.pool_registry import CONFIG_KEY, LAYOUT, FakeRegistry
from cranberryshore_proof.pool_store import ModelStore, ModelStoreClient
from cranberryshore_proof.pool_transport import FakePoolTransport, Host
from cranberryshore_proof.pool_workers import RENAMED_SUFFIX, FakeWorkerCalls, ModelWorker
from cranberryshore_proof.virtual_loop import Processor
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.clock import CLOCKS
from cranberryshored.pool.protocols import Registry
from cranberryshored.pool.registry import StoreRegistry

RETRY_DELAY_SECONDS = 1.3
BUDGET_MS = 3000
UNIX_START_SECONDS = 1_700_000_000.0


@attrs.define(eq=False)
class PoolDeployment:
    """All nodes of a simulated pool.

    Checks at each start of a task that the worker's capacity is not exceeded and that the task is
    not running elsewhere.

    Parameters
    ----------
    losses : dict
        Records of lost runs in the store, by the scheduler that has saved them.
    registered : dict
        Instances with the time of their latest renewal, by address.
    demands, seconds : dict
        Millicores and run time per task, by job.
    faults : list of str
        Violations found.
    partitioned : set of str
        Instances in a partitioned zone, which cannot reach the store.
    late_share : float
        See :class:`FakeWorkerCalls`.
    budget_ms : int
        Time that callers wait for a job.
    deadly_share : float
        Share of the jobs with a task that crashes its workers.
    job_mix : JobMix
        Sizes of the jobs of :meth:`load`.
    hosts : tuple of Host
        Hosts of the instances; without them, processors and links are infinitely fast.
    is_store_simulated : bool
        Whether instances use their own registry on a model of the store, and callers check the
        configurations; without it, :class:`FakeRegistry` takes their place.
    overload : OverloadSettings
        Settings of the instances for overloads.
    store_clients : dict
        Clients of the present run of each instance, by address.
    evacuations : ModelEvacuations
        Evacuations of zones; none unless its ``limit_ms`` is set before the start.
    """

    seed: int
    zones: tuple[str, ...] = ("a", "a", "b", "b", "c")
    worker_count: int = 6
    random: Random = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    workers: dict[str, ModelWorker] = attrs.field(factory=dict)
    daemons: dict[str, PoolDaemon] = attrs.field(factory=dict)
    transports: dict[str, FakePoolTransport] = attrs.field(factory=dict)
    losses: dict = attrs.field(factory=dict)
    registered: dict = attrs.field(factory=dict)
    nodes_without_store: set[str] = attrs.field(factory=set)
    partitioned: set[str] = attrs.field(factory=set)
    demands: dict[str, int] = attrs.field(factory=dict)
    seconds: dict[str, float] = attrs.field(factory=dict)
    labelled: LabelledJobs = attrs.field(init=False)
    jobs: list[SimulatedJob] = attrs.field(factory=list)
    job_count: int = 0
    faults: list[str] = attrs.field(factory=list)
    late_share: float = 0.0
    budget_ms: int = BUDGET_MS
    deadly_share: float = 0.0
    job_mix: JobMix = JobMix()
    hosts: tuple[Host, ...] = ()
    overload: OverloadSettings = OverloadSettings()
    hosts_by_address: dict[str, Host] = attrs.field(factory=dict)
    link_free_at: dict[str, float] = attrs.field(factory=dict)
    is_store_simulated: bool = False
    store: ModelStore = attrs.field(factory=ModelStore)
    store_clients: dict[str, list[ModelStoreClient]] = attrs.field(factory=dict)
    checks: ConfigChecks = attrs.field(factory=ConfigChecks)
    disturbances: Disturbances = attrs.field(factory=Disturbances)
    background: list[asyncio.Task] = attrs.field(factory=list)
    config: PoolConfig = PoolConfig(1, (QueueSpec("q", HOST, "/q/", "s", 0, 4, 3.0, 500),))
    registrations: ModelRegistrations = attrs.field(init=False)
    evacuations: ModelEvacuations = attrs.field(init=False)
    crash_model: CrashModel = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.labelled = LabelledJobs(Random(f"{self.seed} labels"))
        self.network = Network(self.random)
        self.registrations = ModelRegistrations(self.workers, self.store)
        self.evacuations = ModelEvacuations(self.store, self.disturbances, self.daemons)
        self.crash_model = CrashModel(Random(self.seed + 1), self, self.faults.append)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    def roster(self) -> tuple[WorkerRegistration, ...]:
        """Return the registrations of the workers."""
        return self.registrations.roster()

    def address(self, number: int) -> str:
        """Return the address of an instance."""
        return f"10.0.0.{number + 1}:1"

    async def start(self) -> None:
        """Start all nodes and wait until jobs can be scheduled."""
        loop = asyncio.get_running_loop()
        CLOCKS.steady = loop.time
        CLOCKS.unix = lambda: UNIX_START_SECONDS + loop.time()
        loop.set_task_factory(self.network.task_factory)
        for number in range(self.worker_count):
            name = f"w{number}"
            zone = sorted(set(self.zones))[number % len(set(self.zones))]
            self._add_worker(name, zone)
        for number, host in enumerate(self.hosts):
            self.hosts_by_address[self.address(number)] = host
            loop.processors[self.address(number)] = Processor(host.speed)
        if self.is_store_simulated:
            self._start_store()
        for number in range(len(self.zones)):
            await self.start_instance(number)
        await asyncio.sleep(3.0)

    def _add_worker(self, name: str, zone: str) -> ModelWorker:
        ended, seconds = self.crash_model.run_ended, self._run_seconds
        worker = ModelWorker(name, zone, 4000, seconds, self._check_start, on_end=ended)
        self.workers[name] = worker
        return worker

    def worker_crashed(self, worker: ModelWorker) -> None:
        """See :class:`CrashHost`."""
        self.registrations.keep(worker)
        worker.is_down = worker.refuses = True

    def worker_leaves(self, worker: ModelWorker) -> None:
        """End a worker with all its runs, which is not a crash."""
        worker.crash()
        worker.is_down = worker.refuses = True

    def worker_returns(self, worker: ModelWorker, is_renamed: bool) -> None:
        """See :class:`CrashHost`."""
        if is_renamed:
            worker.is_replaced = True
            self._add_worker(worker.name + RENAMED_SUFFIX, worker.zone).born = worker.born
        else:
            worker.is_down = worker.refuses = worker.is_draining = False
            self.registrations.renew(worker)

    def _start_store(self) -> None:
        self.change_config(self.config)
        numbers = range(len(self.zones))
        tasks = (
            self.registrations.keep_stored(),
            *(QueueProbe(self, number).run() for number in numbers),
        )
        self.background = [asyncio.ensure_future(task) for task in tasks]

    def change_config(self, config: PoolConfig) -> None:
        """Publish a configuration."""
        self.config = config
        self.store.set(CONFIG_KEY, encode_json(config).decode())
        prefixes = frozenset(queue.prefix for queue in config.queues)
        self.checks.publish(config.version, self.now(), prefixes)

    def silence_connections(self) -> None:
        """Let all open connections to the store fall silent; new ones work."""
        for clients in self.store_clients.values():
            for client in clients:
                client.silence()
        self.disturbances.strike(self.now(), *(self.address(n) for n in range(len(self.zones))))

    def compact_store(self) -> None:
        """Drop the store's history of changes."""
        self.store.compact()
        self.disturbances.strike(self.now(), STORE)

    def _run_seconds(self, task: str) -> float:
        # The name of a task begins with the id of its job and a dot.
        return self.seconds[task.partition(".")[0]]

    async def start_instance(self, number: int) -> None:
        """Start a new run of an instance unless one is running."""
        address = self.address(number)
        if address in self.daemons:
            return
        self.network.begin_run(address)
        settings = PoolSettings(
            f"e{number}",
            self.zones[number],
            *[address] * 5,
            evacuation_limit_ms=self.evacuations.limit_ms,
            overload=self.overload,
        )
        if self.hosts:
            settings = attrs.evolve(settings, processor_share=self.hosts[number].speed)
        shared = (self.workers, self.demands, self.network, self.random)
        calls = FakeWorkerCalls(address, *shared, self.late_share)
        registry = self._make_registry(address)
        daemon = PoolDaemon(settings, Metrics(), calls, registry, self._make_transport)
        self.disturbances.strike(self.now(), address)
        self.daemons[address] = daemon
        # The wait also ends if the run is killed while it starts.
        await asyncio.wait([self.network.spawn(address, daemon.start())])

    def _make_registry(self, address: str) -> Registry:
        if not self.is_store_simulated:
            return FakeRegistry(self, address)
        clients = self.store_clients[address] = []

        def open_store() -> ModelStoreClient:
            client = ModelStoreClient(
                address, self.store, self.network, lambda: self.is_store_unreachable(address)
            )
            clients.append(client)
            return client

        return StoreRegistry(open_store, LAYOUT, make_logger("store"))

    def is_store_unreachable(self, address: str) -> bool:
        """Return whether the store is out of reach of an instance, or rejects it."""
        return address in self.nodes_without_store | self.partitioned

    def _make_transport(self, own: MemberAddress, deliver: Callable) -> FakePoolTransport:
        return FakePoolTransport(
            own, deliver, self.network, self.transports, self.hosts_by_address, self.link_free_at
        )

    def kill(self, number: int) -> None:
        """Kill the present run of an instance."""
        address = self.address(number)
        self.network.kill_run(address)
        self.disturbances.strike(self.now(), address)
        for parts in (self.store_clients, self.transports, self.daemons):
            parts.pop(address, None)

    def scheduler_number(self) -> int | None:
        """Return the number of a scheduler instance, ``None`` if there is none."""
        for number in range(len(self.zones)):
            daemon = self.daemons.get(self.address(number))
            if daemon is not None and daemon.group.claim is not None:
                return number
        return None

    def cut(self, cut_numbers: set[int], zones: set[str]) -> None:
        """Cut the instances ``cut_numbers`` and the workers of ``zones`` off from all others.

        The store is on the other side, so the registrations of these workers expire.
        """
        self._end_partition()
        self.partitioned = {self.address(number) for number in cut_numbers}
        self.disturbances.begin(*sorted(self.partitioned))
        self.expire_registrations(
            worker.name for worker in self.workers.values() if worker.zone in zones
        )
        for number in cut_numbers:
            for other in set(range(len(self.zones))) - cut_numbers:
                self.network.cut(self.address(number), self.address(other))
        for worker in self.workers.values():
            for number in range(len(self.zones)):
                if (number in cut_numbers) != (worker.zone in zones):
                    self.network.cut(self.address(number), worker.address)

    def heal(self) -> None:
        """Restore all links; the workers register again some time later."""
        self.network.cuts.clear()
        self._end_partition()
        self.network.deliver_unblocked()
        self.restore_registrations()

    def _end_partition(self) -> None:
        self.disturbances.end(self.now(), *sorted(self.partitioned))
        self.partitioned = set()

    def expire_registrations(self, names: Iterable[str]) -> None:
        """Let the registrations of workers expire that are up but cannot renew them."""
        self.registrations.expire(names)

    def restore_registrations(self) -> None:
        """Register all workers again after a delay."""
        self.registrations.restore()

    def _check_start(self, worker: ModelWorker, key: RunKey) -> None:
        now = self.now()
        self.crash_model.task_started(worker, key)
        self.faults += self.evacuations.check_start(worker, now)
        self.faults += self.labelled.check_start(worker, key, now)
        if worker.used() > worker.allowed_millicores(now):
            self.faults.append(f"{now:.3f} {worker.name} over capacity: {sorted(worker.runs)}")
        for other in self.workers.values():
            other.end_due_runs(now)
            for task, attempt in other.runs:
                if task == key[0] and not (other is worker and attempt == key[1]):
                    where = f"{other.name}/{attempt} and {worker.name}/{key[1]}"
                    self.faults.append(f"{now:.3f} {task} runs twice: {where}")

    async def call(self, number: int, job: SimulatedJob, tasks: int) -> None:
        """Submit a job until its outcome is known or its time budget is used up."""
        while self.now() < job.submitted_at + self.budget_ms / 1000:
            left = int((job.submitted_at - self.now()) * 1000) + self.budget_ms
            outcome = await self._submit_once(number, job, tasks, left)
            if outcome is not None:
                job.answers.append(outcome)
                job.ended_at = self.now()
                if outcome is not Outcome.GIVEN_UP:
                    return
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            number = self.random.randrange(len(self.zones))

    async def _submit_once(
        self, number: int, job: SimulatedJob, tasks: int, left: int
    ) -> Outcome | None:
        address = self.address(number)
        daemon = self.daemons.get(address)
        if daemon is None or address in self.network.frozen or not daemon.pool_config.version:
            return None
        demand, milliseconds = Capacity(self.demands[job.id]), int(self.seconds[job.id] * 1000)
        step = StepSpec(tasks, demand, milliseconds, label=self.labelled.label_of(job.id))
        request = WorkRequest(job.id, "q", "", (step,), left)
        queue = daemon.pool_config.get_queue("q")
        task = self.network.spawn(address, daemon.entry_service.submit(request, queue))
        done, _ = await asyncio.wait([task], timeout=left / 1000)
        if not done:
            task.cancel()
            return None
        if task.cancelled() or task.exception() is not None:
            return None
        end = task.result()
        if end.outcome is Outcome.FAILED:
            self.crash_model.check_failure(end.failure, queue.max_attempts)
        return end.outcome

    async def load(self, seconds: float, per_second: float) -> list[asyncio.Task]:
        """Submit random jobs and return the tasks of their callers."""
        end = self.now() + seconds
        callers = []
        while self.now() < end:
            await asyncio.sleep(self.random.expovariate(per_second))
            job = SimulatedJob(f"{self.job_count:016x}", self.now())
            self.job_count += 1
            self.demands[job.id] = self.random.choice(self.job_mix.millicores)
            self.seconds[job.id] = self.random.choice(self.job_mix.seconds)
            self.jobs.append(job)
            self.labelled.draw(job.id)
            if self.deadly_share and self.crash_model.random.random() < self.deadly_share:
                self.crash_model.deadly_tasks.add(f"{job.id}.0.0.0")
            number = self.random.randrange(len(self.zones))
            count = self.random.choice(self.job_mix.counts)
            callers.append(asyncio.ensure_future(self.call(number, job, count)))
        return callers

    def summary(self) -> SimpleNamespace:
        """Return the numbers of all, completed and unanswered jobs."""
        last = [job.answers[-1] if job.answers else None for job in self.jobs]
        return SimpleNamespace(
            jobs=len(last),
            completed=sum(outcome is Outcome.COMPLETED for outcome in last),
            unanswered=sum(outcome is None for outcome in last),
        )
