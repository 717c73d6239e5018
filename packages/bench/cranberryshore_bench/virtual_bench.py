"""The product's own daemons in virtual time against the ideal and the baselines."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import attrs
from multidict import CIMultiDict
from result import Err, Ok

from cranberryshore.config import ResourceKind
from cranberryshore.errors import Refusal, RunClaim
from cranberryshore.identity import parse_submission_id
from cranberryshore.work import Capacity, JobState
from cranberryshore_bench.row import Row
from cranberryshore_bench.simulated import POLICIES, Answer, Batch, Machine, Path, baseline, ideal
from cranberryshore_bench.statistics import jain_index, percentile
from cranberryshore_bench.workload import (
    CONSORTIUM_JOBS,
    HANEUL_JOBS,
    JobArrival,
    JobShape,
    RequestArrival,
    draw_jobs,
    draw_requests,
)
from cranberryshore_proof.deployment import SERVICE, DeploymentShape, EntryNode, SimulatedDeployment
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.config.editor import Proposal
from cranberryshored.requests import IncomingRequest

CALLER_SECONDS = 0.003
MACHINE_SECONDS = 0.0003
DELAYS = (0.0002, 0.0004)
WARM_UP_SECONDS = 3.0
LIMIT_SECONDS = 60.0
CALL_SECONDS = 15.0
RETRY_SECONDS = 0.05
SLOTS = 8
PATH = Path(CALLER_SECONDS, MACHINE_SECONDS)

Disturbance = Callable[[SimulatedDeployment, float], Awaitable[None]]


@attrs.frozen
class Customer:
    """A customer's zone as the brief gives it."""

    name: str
    jobs: JobShape
    worker: Capacity
    workers: int = 8
    upstreams: int = 8
    entries: int = 3

    def shape(self) -> DeploymentShape:
        """Return the shape of one zone."""
        return DeploymentShape(
            ("zone-a",), self.entries, self.workers, self.upstreams, self.worker, DELAYS
        )

    @property
    def processors(self) -> int:
        """Return the processors of the zone."""
        return self.workers * self.worker.millicores // 1000


CUSTOMERS = (
    Customer("consortium", CONSORTIUM_JOBS, Capacity(32_000, 131_072, 0)),
    Customer("haneul", HANEUL_JOBS, Capacity(16_000, 32_768, 0)),
)


@attrs.define
class Played:
    """What the callers saw in one run, and what it cost."""

    answers: dict[int, Answer] = attrs.field(factory=dict)
    refused: int = 0
    failed: int = 0
    tasks: int = 0
    wasted: float = 0.0
    store_calls: int = 0
    by_team: dict[str, float] = attrs.field(factory=dict)
    ends: list[tuple[float, float]] = attrs.field(factory=list)


@attrs.define(eq=False)
class Session:
    """Callers of one zone who choose an entry in turn."""

    deployment: SimulatedDeployment
    played: Played = attrs.field(factory=Played)
    turn: int = 0

    async def run_job(self, number: int, arrival: JobArrival) -> None:
        """Submit one job until an answer is final."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        id = await self._obtain()
        request = arrival.request()
        while loop.time() < began + LIMIT_SECONDS:
            entry = self._entry()

            async def submit(entry: EntryNode = entry, id: str = id):
                router = entry.daemon.router
                parsed = parse_submission_id(id).unwrap()
                answer = await router.submit(parsed, "caller", request)
                if isinstance(answer, Ok) and answer.ok_value.state not in _FINAL:
                    answer = await router.query(parsed, "caller", 10_000)
                return answer

            result = await self._call(entry, submit)
            if isinstance(result, Ok) and result.ok_value.state in _FINAL:
                self._note(number, arrival, began, result.ok_value.state)
                return
            if isinstance(result, Err):
                refusal: Refusal = result.err_value
                self.played.refused += 1
                if refusal.retry_after_ms is None:
                    break
                await asyncio.sleep(max(refusal.retry_after_ms / 1000, RETRY_SECONDS))
                if refusal.claim is RunClaim.NOT_RUN:
                    id = await self._obtain()
            else:
                await asyncio.sleep(RETRY_SECONDS)
        self.played.failed += 1

    async def run_request(self, number: int, arrival: RequestArrival) -> None:
        """Send one request once."""
        began = asyncio.get_running_loop().time()
        entry = self._entry()
        body = f"{number} {arrival.service_ms:.3f}".encode()
        incoming = IncomingRequest("POST", "/seat", CIMultiDict(), body, True)

        async def serve():
            service = entry.daemon.services[SERVICE]
            return await service.serve(incoming, arrival.team, arrival.urgent, None)

        result = await self._call(entry, serve)
        if isinstance(result, Ok):
            seconds = asyncio.get_running_loop().time() - began
            self.played.answers[number] = Answer(seconds)
        else:
            self.played.refused += 1

    def _note(self, number: int, arrival: JobArrival, began: float, state: JobState) -> None:
        now = asyncio.get_running_loop().time()
        if state is JobState.FAILED:
            self.played.failed += 1
            self.played.answers[number] = Answer(now - began, is_complete=False)
            return
        self.played.tasks += len(arrival.run_ms)
        self.played.answers[number] = Answer(now - began)
        work = sum(arrival.run_ms)
        team = arrival.team
        self.played.by_team[team] = self.played.by_team.get(team, 0.0) + work
        self.played.ends.append((now, work))

    async def _obtain(self) -> str:
        while True:
            entry = self._entry()
            daemon = entry.daemon
            if daemon is not None and daemon.ownership.is_registered and not daemon.is_draining:
                now = asyncio.get_running_loop().time()
                return str(daemon.ownership.ledger.issue("caller", 1, now)[0])
            await asyncio.sleep(0.01)

    def _entry(self) -> EntryNode:
        """Return the next entry that the balancer knows as ready."""
        entries = self.deployment.entries
        for _ in entries:
            self.turn += 1
            entry = entries[self.turn % len(entries)]
            if entry.daemon is not None and entry.daemon.readiness().is_ready:
                return entry
        return entries[0]

    async def _call(self, entry: EntryNode, action: Callable[[], Awaitable]):
        await asyncio.sleep(CALLER_SECONDS)
        if entry.daemon is None:
            return None
        web = entry.daemon.web
        web.in_flight += 1
        task = self.deployment.network.spawn(entry.name, action())
        done, _ = await asyncio.wait([task], timeout=CALL_SECONDS)
        web.in_flight -= 1
        await asyncio.sleep(CALLER_SECONDS)
        if not done or task.cancelled():
            return None
        return task.result()


_FINAL = (JobState.COMPLETE, JobState.FAILED)


async def _play(
    deployment: SimulatedDeployment,
    arrivals: Sequence[JobArrival | RequestArrival],
    disturb: Disturbance | None,
) -> Played:
    loop = asyncio.get_running_loop()
    await deployment.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    entry = deployment.entries[0]
    proposal = Proposal(ResourceKind.SERVICE, SERVICE, {"timeout_ms": 10_000}, 0, "b", "b")
    await deployment.network.spawn(entry.name, entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.0)
    calls_before = deployment.store.calls
    began = loop.time()
    session = Session(deployment)
    tasks = []
    if disturb is not None:
        tasks.append(asyncio.create_task(disturb(deployment, began)))
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(max(began + arrival.at - loop.time(), 0.0))
        is_job = isinstance(arrival, JobArrival)
        run = session.run_job if is_job else session.run_request
        tasks.append(asyncio.create_task(run(number, arrival)))
    await asyncio.gather(*tasks)
    session.played.store_calls = deployment.store.calls - calls_before
    session.played.wasted = sum(_wasted(entry) for entry in deployment.entries)
    return session.played


def _wasted(entry: EntryNode) -> float:
    if entry.daemon is None:
        return 0.0
    family = next(iter(entry.daemon.metrics.wasted.collect()))
    return sum(sample.value for sample in family.samples if sample.name.endswith("_total"))


def play_product(
    shape: DeploymentShape,
    arrivals: Sequence[JobArrival | RequestArrival],
    seed: int,
    disturb: Disturbance | None = None,
) -> Played:
    """Run the product on a trace in virtual time."""
    return run_virtual(_play(SimulatedDeployment(seed, shape), arrivals, disturb))


def _ratio_rows(
    scenario: str, policy: str, answers: dict[int, Answer], best: Sequence[Answer]
) -> list[Row]:
    ratios = [
        answer.seconds / best[number].seconds
        for number, answer in answers.items()
        if answer.is_complete
    ]
    failed = sum(not answer.is_complete for answer in answers.values())
    return [
        Row(scenario, policy, "response over ideal, p50", percentile(ratios, 0.5), ""),
        Row(scenario, policy, "response over ideal, p99", percentile(ratios, 0.99), ""),
        Row(scenario, policy, "failed", failed, "jobs"),
    ]


def job_rows(
    scenario: str,
    customer: Customer,
    arrivals: Sequence[JobArrival],
    seed: int,
    machines: Sequence[Machine] | None = None,
    disturb: Disturbance | None = None,
) -> list[Row]:
    """Run one trace of jobs under the product, the baselines and the ideal."""
    room = customer.worker.millicores // 1000
    machines = machines or [Machine(room)] * customer.workers
    batches = [Batch(item.at, tuple(ms / 1000 for ms in item.run_ms)) for item in arrivals]
    best = ideal(batches, machines, PATH)
    played = play_product(customer.shape(), arrivals, seed, disturb)
    rows = _ratio_rows(scenario, "product", played.answers, best)
    tasks = max(played.tasks, 1)
    rows += [
        Row(scenario, "product", "wasted messages per task", played.wasted / tasks, ""),
        Row(scenario, "product", "refusals", played.refused, ""),
        Row(scenario, "product", "store calls per task", played.store_calls / tasks, ""),
    ]
    for policy in POLICIES:
        answers = baseline(policy, batches, machines, PATH, customer.entries, Random(seed))
        rows += _ratio_rows(scenario, policy, dict(enumerate(answers)), best)
    return rows


def request_rows(scenario: str, load: float, seconds: float, seed: int) -> list[Row]:
    """Run one trace of requests under the product, the baselines and the ideal."""
    customer = CUSTOMERS[0]
    slots = customer.upstreams * SLOTS
    arrivals = draw_requests(slots, load, seconds, 30.0, Random(seed))
    batches = [Batch(item.at, (item.service_ms / 1000,)) for item in arrivals]
    machines = [Machine(SLOTS)] * customer.upstreams
    best = ideal(batches, machines, PATH)
    played = play_product(customer.shape(), arrivals, seed)
    rows = _ratio_rows(scenario, "product", played.answers, best)[:2]
    rows.append(Row(scenario, "product", "refusals", played.refused, ""))
    for policy in POLICIES:
        answers = baseline(policy, batches, machines, PATH, customer.entries, Random(seed))
        rows += _ratio_rows(scenario, policy, dict(enumerate(answers)), best)[:2]
    return rows


def fairness_row(seed: int, seconds: float = 6.0) -> Row:
    """Let one operator ask for far more than its share, and compare what all were given."""
    customer = CUSTOMERS[0]
    random = Random(seed)
    arrivals: list[JobArrival] = []
    for number, load in enumerate((2.0, 0.4, 0.4, 0.4)):
        drawn = draw_jobs(customer.jobs, customer.processors, load, seconds, random)
        arrivals += [attrs.evolve(item, team=f"team-{number}", urgent=False) for item in drawn]
    arrivals.sort(key=lambda item: item.at)
    demand: dict[str, float] = {}
    for item in arrivals:
        demand[item.team] = demand.get(item.team, 0.0) + sum(item.run_ms)
    given = _given_until(customer, arrivals, seed, seconds)
    fair = customer.processors * 1000 * seconds / 4
    shares = [given.get(team, 0.0) / min(wanted, fair) for team, wanted in demand.items()]
    return Row("two-fold overload", "product", "fairness between operators", jain_index(shares), "")


def _given_until(
    customer: Customer, arrivals: Sequence[JobArrival], seed: int, seconds: float
) -> dict[str, float]:
    """Return the processor milliseconds that each team was given while the overload lasted."""
    given: dict[str, float] = {}
    teams = {}

    async def note(deployment: SimulatedDeployment, began: float) -> None:
        await asyncio.sleep(seconds)
        for entry in deployment.entries:
            for job in entry.daemon.jobs.dispatcher.jobs.values():
                team = job.request.team
                teams[str(job.id)] = team
        for worker in deployment.workers.values():
            for start in worker.model.starts:
                run = min(start.ends_at, began + seconds) - start.at
                team = teams.get(start.job, "")
                given[team] = given.get(team, 0.0) + run * 1000

    play_product(customer.shape(), arrivals, seed, note)
    return given


def recovery_seconds(played: Played, killed_at: float, step: float = 0.25) -> float:
    """Return how long after a kill the completed work reached half of its former rate again."""
    ends = sorted(played.ends)
    before = sum(work for at, work in ends if killed_at - 2.0 <= at < killed_at) / 2.0
    at = killed_at
    while at < killed_at + 20.0:
        rate = sum(work for end, work in ends if at <= end < at + step) / step
        if rate >= before / 2:
            return at - killed_at
        at += step
    return float("inf")
