"""Workers under fencing tokens, as a model, and calls to them over a network that fails."""

import asyncio
from collections.abc import Callable
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    ReportedEnd,
    ReportedRun,
    RunKey,
    StartRun,
    StopRun,
    WorkerStatus,
)
from cranberryshore_proof.network import Network
from cranberryshored.pool import PollFailure, PollRequest, StartReply

STOP_SECONDS = 0.03
LATE_SECONDS = (2.0, 12.0)
LONGEST_LEASE_MS = 1000


@attrs.define
class ModelRun:
    """One run on a worker."""

    demand: int
    ends_at: float
    fails: bool


@attrs.define(eq=False)
class ModelWorker:
    """What a worker does on orders; it starts whatever it is told, fitting or not.

    Parameters
    ----------
    name, zone : str
        Its name and availability zone.
    millicores : int
        Its whole room, which it does not guard.
    run_seconds : callable
        How long a run of a task takes there.
    """

    name: str
    zone: str
    millicores: int
    run_seconds: Callable[[str], float]
    on_start: Callable[["ModelWorker", RunKey], None]
    on_end: Callable[["ModelWorker", RunKey, EndKind], None] | None = None
    born: int = 1
    is_down: bool = False
    fails_all: bool = False
    token: int = 0
    lease_end: float = 0.0
    last_number: int = 0
    runs: dict[RunKey, ModelRun] = attrs.field(factory=dict)
    ended: list[ReportedEnd] = attrs.field(factory=list)
    highest: dict[str, int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def used(self) -> int:
        """Return the millicores that its runs hold."""
        return sum(run.demand for run in self.runs.values())

    def end_due_runs(self, now: float) -> None:
        """End the runs that are over, and all if the lease has run out."""
        for key, run in sorted(self.runs.items(), key=lambda item: item[1].ends_at):
            over_at = min(run.ends_at, self.lease_end)
            if over_at <= now:
                kind = EndKind.FAILED if run.fails else EndKind.DONE
                self._end(key, kind if run.ends_at <= self.lease_end else EndKind.LAPSED)

    def crash(self) -> None:
        """Lose everything and begin another life."""
        self.runs.clear()
        self.ended.clear()
        self.highest.clear()
        self.token, self.last_number, self.born = 0, 0, self.born + 1

    def start(self, order: StartRun, demand: int, now: float) -> StartReply:
        """Carry out a start."""
        self.end_due_runs(now)
        task, attempt = order.key
        if order.token < self.token:
            return StartReply.FENCED
        self.token = order.token
        if order.key in self.runs:
            return StartReply.STARTED
        if attempt <= self.highest.get(task, 0):
            return StartReply.ATTEMPT_LOW
        if order.lease_end_ms <= now * 1000:
            return StartReply.LEASE_EXPIRED
        self._extend(order.lease_end_ms, now)
        seconds = self.run_seconds(task)
        self.runs[order.key] = ModelRun(demand, now + seconds, self.fails_all)
        self.on_start(self, order.key)
        loop = asyncio.get_running_loop()
        loop.call_at(now + seconds + 1e-6, lambda: self.end_due_runs(loop.time()))
        return StartReply.STARTED

    def stop(self, order: StopRun, now: float) -> None:
        """Carry out a stop."""
        self.end_due_runs(now)
        if order.token < self.token:
            return
        self.token = order.token
        task, attempt = order.key
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(order.key)
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(now + STOP_SECONDS, lambda: self._stopped(order.key, run))

    def poll(self, poll: PollRequest, now: float) -> bool:
        """Carry out a look; return whether the worker obeys it."""
        self.end_due_runs(now)
        if poll.token < self.token:
            return False
        self.token = poll.token
        self.ended = [end for end in self.ended if end.number > poll.last_seen]
        if poll.lease_end_ms is not None:
            self._extend(poll.lease_end_ms, now)
        return True

    def answer(self, now: float) -> WorkerStatus:
        """Return both lists."""
        self.end_due_runs(now)
        running = tuple(ReportedRun(*key) for key in self.runs)
        return WorkerStatus(self.born, int(now * 1000), running, tuple(self.ended))

    def _extend(self, lease_end_ms: int, now: float) -> None:
        end = min(lease_end_ms, now * 1000 + LONGEST_LEASE_MS) / 1000
        self.lease_end = max(self.lease_end, end)

    def _stopped(self, key: RunKey, run: ModelRun) -> None:
        if self.runs.get(key) is run:
            self._end(key, EndKind.STOPPED)

    def _end(self, key: RunKey, kind: EndKind) -> None:
        del self.runs[key]
        if self.on_end is not None:
            self.on_end(self, key, kind)
        self.last_number += 1
        self.ended.append(ReportedEnd(self.last_number, *key, kind))
        task, attempt = key
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define(eq=False)
class ModelCalls:
    """One instance's calls to all workers.

    Parameters
    ----------
    node : str
        The instance.
    late_share : float
        Share of the orders that get no answer and are carried out seconds later.
    """

    node: str
    workers: dict[str, ModelWorker]
    demands: dict[str, int]
    network: Network
    random: Random
    late_share: float = 0.0

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def start_run(self, worker: HeldWorker, start: StartRun, seconds: float) -> StartReply:
        """See :class:`WorkerCalls`."""
        model = self.workers[worker.name]
        demand = self.demands[start.key[0].partition(".")[0]]
        reply = await self._order(model, lambda now: model.start(start, demand, now), seconds)
        return StartReply.UNANSWERED if reply is None else reply

    async def stop_run(self, worker: HeldWorker, stop: StopRun, seconds: float) -> bool:
        """See :class:`WorkerCalls`."""
        model = self.workers[worker.name]
        done = await self._order(model, lambda now: model.stop(stop, now) or True, seconds)
        return done is not None

    async def poll(
        self, worker: HeldWorker, poll: PollRequest, seconds: float
    ) -> Result[WorkerStatus, PollFailure]:
        """See :class:`WorkerCalls`."""
        model = self.workers[worker.name]
        loop = asyncio.get_running_loop()
        limit = loop.time() + seconds
        obeys = await self._order(model, lambda now: model.poll(poll, now), seconds)
        if obeys is None:
            return Err(PollFailure.UNANSWERED)
        if not obeys:
            return Err(PollFailure.FENCED)
        if poll.wait_ms and not model.ended:
            changed = model.changed
            waiter = asyncio.ensure_future(changed.wait())
            await asyncio.wait([waiter], timeout=poll.wait_ms / 1000)
            waiter.cancel()
        answer = model.answer(loop.time())
        await self._travel()
        if self._is_cut(model):
            await asyncio.sleep(max(limit - loop.time(), 0))
            return Err(PollFailure.UNANSWERED)
        return Ok(answer)

    def _is_cut(self, model: ModelWorker) -> bool:
        return model.is_down or self.network.is_blocked(self.node, model.name)

    async def _travel(self) -> None:
        await asyncio.sleep(self.random.uniform(0.0003, 0.002))

    async def _order(self, model: ModelWorker, execute, seconds: float):
        """Carry out a call; ``None`` if it gets no answer."""
        loop = asyncio.get_running_loop()
        await self._travel()
        if self.random.random() < self.late_share:
            self._execute_late(model, execute)
            await asyncio.sleep(seconds)
            return None
        if self._is_cut(model):
            if not model.is_down and self.random.random() < 0.5:
                self._execute_late(model, execute)
            await asyncio.sleep(seconds)
            return None
        result = execute(loop.time())
        await self._travel()
        if self._is_cut(model):
            await asyncio.sleep(seconds)
            return None
        return result

    def _execute_late(self, model: ModelWorker, execute) -> None:
        loop = asyncio.get_running_loop()
        born = model.born

        def carry_out() -> None:
            if model.born == born and not model.is_down:
                execute(loop.time())

        loop.call_later(self.random.uniform(*LATE_SECONDS), carry_out)
