"""Plays a drawn load against a scheduler in virtual time, with workers that obey it exactly."""

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
from cranberryshore.work import Capacity

ORDER_SECONDS = 0.003
TICK_SECONDS = 0.025
LOOK_SECONDS = 0.15
BUDGET_MS = 30_000


@attrs.frozen
class Kind:
    """A kind of job, as the users describe theirs."""

    name: str
    share: float
    tasks: float
    work_ms: float
    millicores: float
    priority: int
    worth: float
    slack_factor: float = 1.6
    aim_ms: int = 60


CONSORTIUM = (
    Kind("gate", 17.2, 8, 60, 14000, 0, 0.0291),
    Kind("seat", 3.12, 4, 900, 14000, 2, 0.16),
    Kind("slot", 50.0, 2, 200, 14000, 1, 0.01),
)


@attrs.frozen
class Burst:
    """More load for some seconds; of one kind, or of all if the name is empty."""

    begin: float
    end: float
    factor: float
    kind: str = ""


@attrs.define
class Arrival:
    """One job with its true run times."""

    at: float
    kind: Kind
    request: WorkRequest
    runs: list[float]

    @property
    def aim(self) -> float:
        """Return the time in which the job ought to be answered, in seconds."""
        return self.kind.slack_factor * max(self.runs) + self.kind.aim_ms / 1000

    @property
    def worth(self) -> float:
        """Return what the job is worth if it is answered in time."""
        mean = self.kind.tasks * self.kind.work_ms * self.kind.millicores / 1e6
        size = sum(self.runs) * self.request.steps[0].demand.millicores / 1000
        return min(0.3 + 0.7 * size / mean, 4.0) * self.kind.worth


def draw_load(
    seed: int, seconds: float, per_second: float, bursts: tuple[Burst, ...] = (), kinds=CONSORTIUM
) -> list[Arrival]:
    """Draw arrivals: work spreads by 40 %, estimates are off by about as much again."""
    random = Random(seed)
    total = sum(kind.share for kind in kinds)
    arrivals = []
    for kind in kinds:
        at = 0.0
        while at < seconds:
            rate = per_second * kind.share / total
            for burst in bursts:
                if burst.begin <= at < burst.end and burst.kind in ("", kind.name):
                    rate *= burst.factor
            at += random.expovariate(rate)
            arrivals.append(_draw_job(random, kind, at, len(arrivals)))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_job(random: Random, kind: Kind, at: float, number: int) -> Arrival:
    count = max(1, min(round(kind.tasks * random.lognormvariate(-0.08, 0.4)), 32))
    work = min(kind.work_ms * random.lognormvariate(-0.08, 0.4), 4 * kind.work_ms) / 1000
    millicores = min(int(random.gauss(kind.millicores, 0.2 * kind.millicores)), 20_000)
    runs = [work * random.lognormvariate(0, 0.15) for _ in range(count)]
    estimate = max(1, int(work * 1000 * random.lognormvariate(0, 0.35)))
    step = StepSpec(count, Capacity(max(millicores, 2000), 64), estimate)
    request = WorkRequest(f"{kind.name}{number}", kind.name, "", (step,), BUDGET_MS)
    return Arrival(at, kind, request, runs)


@attrs.define
class Served:
    """What became of one arrival."""

    arrival: Arrival
    outcome: Outcome | None = None
    seconds: float = 0.0

    @property
    def earned(self) -> float:
        """Return what the answer is worth: a fifth if it is late, nothing if it is useless."""
        if self.outcome is not Outcome.COMPLETED or self.seconds > 3 * self.arrival.aim:
            return 0.0
        return self.arrival.worth * (1.0 if self.seconds <= self.arrival.aim else 0.2)


@attrs.define
class ReplayWorker:
    """A worker that carries out every order."""

    held: HeldWorker
    slowness: float = 1.0
    running: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    used: int = 0


@attrs.define(eq=False)
class LoadReplay:
    """Runs a scheduler over arrivals."""

    scheduler: Scheduler
    workers: dict[str, ReplayWorker] = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    served: dict[str, Served] = attrs.field(factory=dict)
    overloads: int = 0
    clock: float = 0.0
    count: int = 0

    def _at(self, moment: float, act) -> None:
        self.count += 1
        heappush(self.events, (moment, self.count, act))

    def add_worker(self, name: str, millicores: int, slowness: float = 1.0) -> None:
        """Add a worker that is held already."""
        held = HeldWorker(name, name, "z", "pool", Capacity(millicores, 131072), frozenset(), 1)
        held.state, held.clock_offset_ms, held.born = HoldState.HELD, 0.0, 1
        self.workers[name] = ReplayWorker(held, slowness)
        self.scheduler.workers[name] = held

    def play(self, arrivals: list[Arrival], tail: float = 6.0) -> list[Served]:
        """Play all arrivals and return what became of them."""
        for arrival in arrivals:
            self.served[arrival.request.id] = Served(arrival)
            self._at(arrival.at, lambda arrival=arrival: self._arrive(arrival))
        end = arrivals[-1].at + tail
        for number in range(int(end / LOOK_SECONDS)):
            self._at(number * LOOK_SECONDS, self._look_at_all)
        ticks = int(end / TICK_SECONDS)
        for number in range(ticks):
            self._at(number * TICK_SECONDS, lambda: self.scheduler.tick(self.clock))
        while self.events:
            self.clock, _, act = heappop(self.events)
            act()
            self._carry_out()
        return list(self.served.values())

    def _arrive(self, arrival: Arrival) -> None:
        self.scheduler.submit(arrival.request, "entry", self.clock)

    def _carry_out(self) -> None:
        for effect in self.scheduler.take_effects():
            if isinstance(effect, JobEnded):
                served = self.served[effect.job]
                served.outcome = effect.outcome
                served.seconds = self.clock - served.arrival.at
            elif isinstance(effect, StartRun):
                self._at(self.clock + ORDER_SECONDS, lambda e=effect: self._start(e))
            elif isinstance(effect, StopRun):
                self._at(self.clock + ORDER_SECONDS, lambda e=effect: self._stop(e))
            elif isinstance(effect, PollWorker):
                self._at(self.clock + ORDER_SECONDS, lambda e=effect: self._look(e.worker))

    def _start(self, order: StartRun) -> None:
        worker = self.workers[order.worker]
        job, _, _, index = order.key[0].rsplit(".", 3)
        seconds = self.served[job].arrival.runs[int(index)] * worker.slowness
        worker.running[order.key] = self.clock
        worker.used += self._millicores(order.key)
        self.overloads += worker.used > worker.held.total.millicores
        self.scheduler.start_answered(order.worker, order.key, self.clock)
        done = EndKind.DONE
        self._at(self.clock + seconds, lambda: self._end(order.worker, order.key, done))

    def _millicores(self, key: tuple[str, int]) -> int:
        job = key[0].partition(".")[0]
        return self.served[job].arrival.request.steps[0].demand.millicores

    def _stop(self, order: StopRun) -> None:
        self._end(order.worker, order.key, EndKind.STOPPED)

    def _end(self, name: str, key: tuple[str, int], kind: EndKind) -> None:
        worker = self.workers[name]
        if worker.running.pop(key, None) is None:
            return
        worker.used -= self._millicores(key)
        worker.ended.append(ReportedEnd(worker.held.last_seen + 1, *key, kind))
        self._look(name)

    def _look_at_all(self) -> None:
        for name, worker in self.workers.items():
            if worker.running:
                self._look(name)

    def _look(self, name: str) -> None:
        worker = self.workers[name]
        running = tuple(ReportedRun(*key) for key in worker.running)
        answer = WorkerStatus(1, int(self.clock * 1000), running, tuple(worker.ended))
        worker.ended = []
        self.scheduler.record_status(name, answer, worker.held.token, self.clock, self.clock)


def consortium_replay(worker_count: int = 24) -> LoadReplay:
    """Return a replay with the consortium's queues and workers of 32, 32 and 48 cores."""
    queues = tuple(
        QueueSpec(kind.name, "h", f"/{kind.name}/", "pool", kind.priority, 4, kind.slack_factor, 60)
        for kind in CONSORTIUM
    )
    replay = LoadReplay(Scheduler(PoolConfig(1, queues), covers_all_workers=True))
    for number in range(worker_count):
        replay.add_worker(f"w{number:02}", 48_000 if number % 3 == 2 else 32_000)
    return replay


def earned_share(served: list[Served], kind: str = "") -> float:
    """Return the share of what was owed that was earned, of one kind or of all."""
    chosen = [item for item in served if kind in ("", item.arrival.kind.name)]
    return sum(item.earned for item in chosen) / sum(item.arrival.worth for item in chosen)


def answered_share(served: list[Served]) -> float:
    """Return the share of jobs that were answered in time or late."""
    return sum(item.earned > 0 for item in served) / len(served)
