"""Replay of load on workers that crash in waves, or because of a task that they start."""

from random import Random

import attrs

from cranberryshore.pool import (
    HoldState,
    JobEnded,
    PoolConfig,
    QueueSpec,
    Scheduler,
    StartRun,
    StepSpec,
    WorkerListing,
    WorkerRegistration,
    WorkRequest,
)
from cranberryshore.pool.held_worker import LEASE_SECONDS
from cranberryshore.pool.tests.load_replay import (
    Arrival,
    ArrivalOutcome,
    JobKind,
    LoadReplay,
)
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity

KIND = JobKind("job", 1.0, 1, 1000, 1000, 0, 1.0)
ROOM_MILLICORES = 2000
DOWN_SECONDS = 1.0
EXPIRY_SECONDS = 3.0
"""Time from a crash until the registration of the worker is removed."""

LISTING_SECONDS = 0.3
REFUSAL_SECONDS = 0.003
CRASH_SECONDS = 0.015
"""Time from the start of a deadly task to the crash of its worker."""


def generate_jobs(
    random: Random, prefix: str, per_second: float, seconds: float, budget_ms: int
) -> list[Arrival]:
    """Generate jobs of one task that takes about a second."""
    arrivals, at = [], 1.0
    while at < seconds:
        at += random.expovariate(per_second)
        step = StepSpec(1, Capacity(KIND.millicores, 64), KIND.work_ms)
        request = WorkRequest(f"{prefix}{len(arrivals)}", KIND.name, "", (step,), budget_ms)
        arrivals.append(Arrival(at, KIND, request, [random.uniform(0.5, 1.5)]))
    return arrivals


@attrs.define(eq=False)
class CrashReplay(LoadReplay):
    """Simulation of workers that crash, and of other ones that answer at their addresses later.

    Parameters
    ----------
    deadly : set of str
        Jobs whose task crashes each worker that starts it.
    crashed_at : dict
        Time of the crash of each worker that has crashed.
    failed_polls : dict
        Number of failed polls of each of them.
    starts : dict
        Number of starts of each deadly job.
    failed : dict
        Jobs that were shown as failed, and the number of crashes for which they were.
    """

    random: Random = attrs.field(factory=lambda: Random(1))
    deadly: set[str] = attrs.field(factory=set)
    crashed_at: dict[str, float] = attrs.field(factory=dict)
    failed_polls: dict[str, int] = attrs.field(factory=dict)
    starts: dict[str, int] = attrs.field(factory=dict)
    failed: dict[str, int] = attrs.field(factory=dict)

    def add_idle_workers(self, count: int) -> None:
        """Add workers that answer their first poll."""
        for number in range(count):
            self.add_worker(f"w{number}", ROOM_MILLICORES)
            self._poll(f"w{number}")

    def play_waves(self, share: float, interval: float, end: float) -> None:
        """Crash a share of the workers at each of several moments."""
        for number in range(int(end / interval)):
            self._schedule(2.0 + number * interval, lambda: self._crash_share(share))

    def play(self, arrivals: list[Arrival], seconds: float) -> list[ArrivalOutcome]:
        """Simulate jobs, while the registrations are read all the time."""
        for number in range(int(seconds / LISTING_SECONDS)):
            self._schedule(number * LISTING_SECONDS, self._list_workers)
        last = max(arrivals, key=lambda arrival: arrival.at).at
        ordered = sorted(arrivals, key=lambda arrival: arrival.at)
        return self.simulate(ordered, seconds - last)

    def _list_workers(self) -> None:
        alive = [
            name
            for name in self.workers
            if self.clock < self.crashed_at.get(name, self.clock) + EXPIRY_SECONDS
        ]
        for name in self.crashed_at.keys() & self.scheduler.workers.keys() - set(alive):
            self.scheduler.unlist(name, self.clock)
        capacity = Capacity(ROOM_MILLICORES, 131072)
        registered = tuple(
            WorkerRegistration(name, name, "z", "pool", capacity, born=1) for name in alive
        )
        listing = WorkerListing(registered, frozenset(), self.clock, self.clock)
        self.scheduler.workers_listed(listing, self.clock)

    def _crash_share(self, share: float) -> None:
        alive = sorted(self.workers.keys() - self.crashed_at.keys())
        for name in self.random.sample(alive, int(share * len(alive))):
            self._schedule(self.clock + self.random.uniform(0, 0.01), lambda n=name: self._crash(n))

    def _crash(self, name: str) -> None:
        """End the process of a worker; the polls of a busy one are closed, then refused."""
        worker = self.workers[name]
        if name in self.crashed_at:
            return
        self.crashed_at[name] = self.clock
        if worker.running:
            worker.running.clear()
            self.scheduler.worker_closed(name, self.clock)
            self._fail_poll(name)
            self._schedule(self.clock + REFUSAL_SECONDS, lambda: self._poll(name))
        self._schedule(self.clock + DOWN_SECONDS, lambda: self._return(name))

    def _fail_poll(self, name: str) -> None:
        self.failed_polls[name] = self.failed_polls.get(name, 0) + 1
        self.scheduler.record_poll_failure(name, self.failed_polls[name], self.clock)

    def _return(self, name: str) -> None:
        successor = f"{name}+"
        self.add_worker(successor, ROOM_MILLICORES)
        self._poll(successor)
        self._poll(name)

    def _is_down(self, name: str) -> bool:
        return name in self.crashed_at and self.clock < self.crashed_at[name] + DOWN_SECONDS

    def _start(self, effect: StartRun) -> None:
        job = effect.key[0].partition(".")[0]
        if effect.worker in self.crashed_at:
            self.scheduler.start_rejected(effect.worker, effect.key, False, self.clock)
            self._poll(effect.worker)
            return
        if job in self.deadly:
            self.starts[job] = self.starts.get(job, 0) + 1
            crash_at = self.clock + self.random.uniform(0.0, 2 * CRASH_SECONDS)
            self._schedule(crash_at, lambda: self._crash(effect.worker))
        super()._start(effect)

    def _poll(self, name: str) -> None:
        if self._is_down(name):
            self._fail_poll(name)
            self.scheduler.worker_refuses(name, self.clock)
        elif name in self.crashed_at:
            self.scheduler.worker_replaced(name, self.clock)
        else:
            held = self.workers[name].held
            held.lease_extended_at = self.clock
            held.lease_until = max(held.lease_until, self.clock + LEASE_SECONDS)
            super()._poll(name)

    def _poll_all(self) -> None:
        for name, held in list(self.scheduler.workers.items()):
            if held.runs or held.state is not HoldState.HELD:
                self._poll(name)

    def _record_end(self, end: JobEnded) -> None:
        super()._record_end(end)
        if end.failure is not None:
            self.failed[end.job] = end.failure.lost_workers


def make_crash_replay(worker_count: int, seed: int) -> CrashReplay:
    """Return a replay with one queue."""
    queue = QueueSpec(KIND.name, "h", "/job/", "pool", 0, 4, 2.0, 100)
    replay = CrashReplay(Scheduler(PoolConfig(1, (queue,)), UnlimitedRights()), random=Random(seed))
    replay.add_idle_workers(worker_count)
    return replay
