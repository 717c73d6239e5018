"""Replay of generated load against a scheduler in virtual time, with simulated workers."""

from heapq import heappop, heappush
from random import Random

import attrs

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    HoldState,
    JobEnded,
    Outcome,
    PollWorker,
    PoolConfig,
    QueueSpec,
    ReportedEnd,
    ReportedRun,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity

REQUEST_LATENCY_SECONDS = 0.003
TICK_INTERVAL_SECONDS = 0.025
POLL_INTERVAL_SECONDS = 0.15
CALLER_TIMEOUT_MS = 30_000


@attrs.frozen
class JobKind:
    """Kind of job.

    Parameters
    ----------
    name : str
        Name of the kind and of its queue.
    share : float
        Arrival rate relative to those of the other kinds.
    tasks, work_ms, millicores : float
        Mean number of tasks, run time and demand of a task.
    answer_value : float
        Value of an answer in time to a job of mean size.
    """

    name: str
    share: float
    tasks: float
    work_ms: float
    millicores: float
    priority: int
    answer_value: float
    slack_factor: float = 1.6
    aim_ms: int = 60


JOB_KINDS = (
    JobKind("gate", 17.2, 8, 60, 14000, 0, 0.0291),
    JobKind("seat", 3.12, 4, 900, 14000, 2, 0.16),
    JobKind("slot", 50.0, 2, 200, 14000, 1, 0.01),
)


@attrs.frozen
class Burst:
    """Load burst: multiplies the arrival rate of one kind, or of all if ``kind`` is empty."""

    start: float
    end: float
    factor: float
    kind: str = ""


@attrs.define
class Arrival:
    """Arrival of a job, with the actual run times of its tasks."""

    at: float
    kind: JobKind
    request: WorkRequest
    runs: list[float]

    @property
    def target_seconds(self) -> float:
        return self.kind.slack_factor * max(self.runs) + self.kind.aim_ms / 1000

    @property
    def answer_value(self) -> float:
        """Return the value of an answer in time, which grows with the size of the job."""
        mean = self.kind.tasks * self.kind.work_ms * self.kind.millicores / 1e6
        size = sum(self.runs) * self.request.steps[0].demand.millicores / 1000
        return min(0.3 + 0.7 * size / mean, 4.0) * self.kind.answer_value


def generate_load(
    seed: int,
    seconds: float,
    per_second: float,
    bursts: tuple[Burst, ...] = (),
    kinds=JOB_KINDS,
    rack: str = "",
) -> list[Arrival]:
    """Generate arrivals; run times vary by 40 %, and estimates are off by about as much.

    ``rack`` is preferred by all tasks.
    """
    random = Random(seed)
    total = sum(kind.share for kind in kinds)
    arrivals = []
    for kind in kinds:
        at = 0.0
        while at < seconds:
            rate = per_second * kind.share / total
            for burst in bursts:
                if burst.start <= at < burst.end and burst.kind in ("", kind.name):
                    rate *= burst.factor
            at += random.expovariate(rate)
            arrivals.append(_generate_job(random, kind, at, len(arrivals), rack))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _generate_job(random: Random, kind: JobKind, at: float, number: int, rack: str) -> Arrival:
    # A lognormal variate with parameters -0.08 and 0.4 has mean 1, because 0.08 is half of 0.4**2.
    count = max(1, min(round(kind.tasks * random.lognormvariate(-0.08, 0.4)), 32))
    work = min(kind.work_ms * random.lognormvariate(-0.08, 0.4), 4 * kind.work_ms) / 1000
    millicores = min(int(random.gauss(kind.millicores, 0.2 * kind.millicores)), 20_000)
    runs = [work * random.lognormvariate(0, 0.15) for _ in range(count)]
    estimate = max(1, int(work * 1000 * random.lognormvariate(0, 0.35)))
    step = StepSpec(count, Capacity(max(millicores, 2000), 64), estimate, rack=rack)
    request = WorkRequest(f"{kind.name}{number}", kind.name, "", (step,), CALLER_TIMEOUT_MS)
    return Arrival(at, kind, request, runs)


@attrs.define
class ArrivalOutcome:
    """Outcome of an arrival, and its response time in seconds."""

    arrival: Arrival
    outcome: Outcome | None = None
    seconds: float = 0.0

    @property
    def earned(self) -> float:
        """Return the value of the answer: a fifth if it is late, 0 if it is useless."""
        if self.outcome is not Outcome.COMPLETED or self.seconds > 3 * self.arrival.target_seconds:
            return 0.0
        return self.arrival.answer_value * (
            1.0 if self.seconds <= self.arrival.target_seconds else 0.2
        )


@attrs.define
class SimulatedWorker:
    """Simulated worker that executes every request."""

    held: HeldWorker
    slowdown: float = 1.0
    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    used: int = 0


@attrs.define(eq=False)
class LoadReplay:
    """Discrete-event simulation of a scheduler and its workers.

    ``overloads`` counts the starts that exceeded the capacity of a worker, and ``count`` numbers
    the events, so that simultaneous ones are processed in the order of their creation.
    """

    scheduler: Scheduler
    workers: dict[str, SimulatedWorker] = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    outcomes: dict[str, ArrivalOutcome] = attrs.field(factory=dict)
    overloads: int = 0
    clock: float = 0.0
    count: int = 0

    def _schedule(self, moment: float, action) -> None:
        self.count += 1
        heappush(self.events, (moment, self.count, action))

    def add_worker(self, name: str, millicores: int, slowdown: float = 1.0) -> None:
        """Add a worker that is already held."""
        held = HeldWorker(
            name, name, "z", "pool", Capacity(millicores, 131072), frozenset(), 1, registered_born=1
        )
        held.state, held.clock_offset_ms, held.born = HoldState.HELD, 0.0, 1
        held.clock_read_at = float("inf")
        self.workers[name] = SimulatedWorker(held, slowdown)
        self.scheduler.workers[name] = held

    def simulate(self, arrivals: list[Arrival], drain_seconds: float = 6.0) -> list[ArrivalOutcome]:
        for arrival in arrivals:
            self.outcomes[arrival.request.id] = ArrivalOutcome(arrival)
            self._schedule(arrival.at, lambda arrival=arrival: self._arrive(arrival))
        end = arrivals[-1].at + drain_seconds
        for number in range(int(end / POLL_INTERVAL_SECONDS)):
            self._schedule(number * POLL_INTERVAL_SECONDS, self._poll_all)
        ticks = int(end / TICK_INTERVAL_SECONDS)
        for number in range(ticks):
            self._schedule(number * TICK_INTERVAL_SECONDS, lambda: self.scheduler.tick(self.clock))
        while self.events:
            self.clock, _, action = heappop(self.events)
            action()
            self._execute_effects()
        return list(self.outcomes.values())

    def _arrive(self, arrival: Arrival) -> None:
        self.scheduler.submit(arrival.request, "entry", self.clock)

    def _execute_effects(self) -> None:
        for effect in self.scheduler.take_effects():
            if isinstance(effect, JobEnded):
                self._record_end(effect)
            elif isinstance(effect, StartRun):
                self._schedule(
                    self.clock + REQUEST_LATENCY_SECONDS, lambda e=effect: self._start(e)
                )
            elif isinstance(effect, StopRun):
                self._schedule(self.clock + REQUEST_LATENCY_SECONDS, lambda e=effect: self._stop(e))
            elif isinstance(effect, PollWorker):
                self._schedule(
                    self.clock + REQUEST_LATENCY_SECONDS, lambda e=effect: self._poll(e.worker)
                )

    def _record_end(self, end: JobEnded) -> None:
        ended = self.outcomes[end.job]
        ended.outcome = end.outcome
        ended.seconds = self.clock - ended.arrival.at

    def _start(self, effect: StartRun) -> None:
        worker = self.workers[effect.worker]
        job, _, _, index = effect.key[0].rsplit(".", 3)
        seconds = self.outcomes[job].arrival.runs[int(index)] * worker.slowdown
        worker.running[effect.key] = self.clock
        worker.used += self._millicores(effect.key)
        self.overloads += worker.used > worker.held.total.millicores
        self.scheduler.start_confirmed(effect.worker, effect.key, self.clock)
        done = EndKind.DONE
        self._schedule(self.clock + seconds, lambda: self._end(effect.worker, effect.key, done))

    def _millicores(self, key: tuple[str, int]) -> int:
        job = key[0].partition(".")[0]
        return self.outcomes[job].arrival.request.steps[0].demand.millicores

    def _stop(self, effect: StopRun) -> None:
        self._end(effect.worker, effect.key, EndKind.STOPPED)

    def _end(self, name: str, key: tuple[str, int], kind: EndKind) -> None:
        worker = self.workers[name]
        if worker.running.pop(key, None) is None:
            return
        worker.used -= self._millicores(key)
        worker.ended.append(ReportedEnd(worker.held.last_seen + 1, *key, kind))
        self._poll(name)

    def _poll_all(self) -> None:
        for name, worker in self.workers.items():
            if worker.running:
                self._poll(name)

    def _poll(self, name: str) -> None:
        worker = self.workers[name]
        running = tuple(ReportedRun(*key) for key in worker.running)
        status = WorkerStatus(1, int(self.clock * 1000), running, tuple(worker.ended))
        worker.ended = []
        self.scheduler.record_status(name, status, worker.held.token, self.clock, self.clock)


def make_replay(worker_count: int = 24) -> LoadReplay:
    """Return a replay with three queues; one third of the workers has 48 cores, the rest 32."""
    queues = tuple(
        QueueSpec(kind.name, "h", f"/{kind.name}/", "pool", kind.priority, 4, kind.slack_factor, 60)
        for kind in JOB_KINDS
    )
    replay = LoadReplay(Scheduler(PoolConfig(1, queues), UnlimitedRights()))
    for number in range(worker_count):
        replay.add_worker(f"w{number:02}", 48_000 if number % 3 == 2 else 32_000)
    return replay


def earned_share(outcomes: list[ArrivalOutcome], kind: str = "") -> float:
    """Return the earned share of the total value, of one kind or of all."""
    chosen = [item for item in outcomes if kind in ("", item.arrival.kind.name)]
    return sum(item.earned for item in chosen) / sum(item.arrival.answer_value for item in chosen)


def answered_share(outcomes: list[ArrivalOutcome]) -> float:
    """Return the share of jobs that were answered in time or late."""
    return sum(item.earned > 0 for item in outcomes) / len(outcomes)
