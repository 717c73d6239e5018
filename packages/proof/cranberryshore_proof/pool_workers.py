"""Models of workers with fencing tokens and leases, and a client that calls them unreliably."""

import asyncio
from collections.abc import Callable
from random import Random

import attrs
from result import Err, Ok, Result

from cranberryshore.keyword_arguments import optional_by_name
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

STOP_DURATION_SECONDS = 0.03
LATE_DELAY_RANGE_SECONDS = (2.0, 12.0)
MAX_LEASE_MS = 1000

POLL_REFUSAL_FACTOR = 1.5
"""How much longer it takes until the refusal of a poll is processed than that of a start."""

RENAMED_SUFFIX = "+"
"""Added to the name of a worker by the one that takes its address."""

COMMON_LABEL, OTHER_LABEL = "a", "b"
"""Kinds of workers: all are of the first one at the start."""

RESIZE_SECONDS = 4.5
"""Time in which a scheduler must know of a smaller capacity: 3 s and one report of a worker."""

CALL_SECONDS = 1.5e-4
"""Processor time of a caller to send a request, and to handle the response."""


@attrs.define
class ModelRun:
    """One run on a worker; ``demand`` is in millicores."""

    demand: int
    ends_at: float
    fails: bool


@attrs.frozen
class RefusedStart:
    """Order to start a run that found no process at the address of its worker."""

    key: RunKey
    sent_at: float
    refused_at: float


@attrs.define(eq=False, field_transformer=optional_by_name)
class ModelWorker:
    """Model of a worker, which starts every run that it is ordered to, even beyond its capacity.

    Parameters
    ----------
    born : int
        Start identifier, which changes with each restart.
    former_rooms : list
        Earlier capacities, with the times at which they were replaced.
    refuses : bool
        Whether new connections are refused, as after a crash or behind a partition with resets.
    is_replaced : bool
        Whether another worker has its address.
    is_draining : bool
        Whether the next registration shows that the worker is leaving.
    loses_starts : bool
        Whether starts are not answered, and are carried out late or not at all.
    loses_start_replies : bool
        Whether the answers to starts are lost.
    lost_starts : int
        Number of starts that were lost in either way.
    refusal_seconds : float
        Time until a caller processes a refusal; those of several starts follow one another.
    refused_until : float
        Time at which it processes the latest refusal of a start.
    refused_starts : list of RefusedStart
        Starts whose connections were refused.
    fails_all : bool
        Whether the runs that start now will fail.
    label : str
        Kind of the worker, which may change with a restart.
    token : int
        Highest fencing token received.
    highest_attempts : dict
        Highest attempt of each task that has ended or was stopped; only higher ones may start.
    """

    name: str
    zone: str
    millicores: int
    run_seconds: Callable[[str], float]
    on_start: Callable[["ModelWorker", RunKey], None]
    on_end: Callable[["ModelWorker", RunKey, EndKind], None] | None = None
    born: int = 1
    former_rooms: list[tuple[float, int]] = attrs.field(factory=list)
    is_down: bool = False
    refuses: bool = False
    is_replaced: bool = False
    is_draining: bool = False
    loses_starts: bool = False
    loses_start_replies: bool = False
    lost_starts: int = 0
    refusal_seconds: float = 0.0
    refused_until: float = 0.0
    refused_starts: list[RefusedStart] = attrs.field(factory=list)
    fails_all: bool = False
    label: str = COMMON_LABEL
    token: int = 0
    lease_end: float = 0.0
    last_end_number: int = 0
    runs: dict[RunKey, ModelRun] = attrs.field(factory=dict)
    ended: list[ReportedEnd] = attrs.field(factory=list)
    highest_attempts: dict[str, int] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def address(self) -> str:
        """Return the address, which a worker shares with those that it has replaced."""
        return self.name.rstrip(RENAMED_SUFFIX)

    def used(self) -> int:
        """Return the millicores allocated to runs."""
        return sum(run.demand for run in self.runs.values())

    def refused_at_once(self) -> int:
        """Return the largest number of refused starts that were on their way at the same time."""
        starts = self.refused_starts
        return max(
            (sum(one.sent_at <= at.sent_at < one.refused_at for one in starts) for at in starts),
            default=0,
        )

    def resize(self, millicores: int, now: float) -> None:
        """Change the capacity, which the next registration shows."""
        self.former_rooms.append((now, self.millicores))
        self.millicores = millicores

    def allowed_millicores(self, now: float) -> int:
        """Return how much may be in use when a run starts now."""
        former = [room for at, room in self.former_rooms if now < at + RESIZE_SECONDS]
        return max(self.millicores, *former, 0)

    def return_as(self, label: str, millicores: int) -> None:
        """Become another kind with the next start, to which no former capacity applies."""
        self.label, self.millicores = label, millicores
        self.former_rooms.clear()

    def end_due_runs(self, now: float) -> None:
        """End the finished runs, and all runs if the lease has expired."""
        for key, run in sorted(self.runs.items(), key=lambda item: item[1].ends_at):
            over_at = min(run.ends_at, self.lease_end)
            if over_at <= now:
                kind = EndKind.FAILED if run.fails else EndKind.DONE
                self._end_run(key, kind if run.ends_at <= self.lease_end else EndKind.LAPSED)

    def crash(self) -> None:
        """Restart with a new start identifier and without any state."""
        self.runs.clear()
        self.ended.clear()
        self.changed.set()
        self.changed = asyncio.Event()
        self.highest_attempts.clear()
        self.token, self.last_end_number, self.born = 0, 0, self.born + 1

    def start(self, order: StartRun, demand: int, now: float) -> StartReply:
        """Process an order to start a run."""
        self.end_due_runs(now)
        task, attempt = order.key
        if order.token < self.token:
            return StartReply.FENCED
        self.token = order.token
        if order.key in self.runs:
            return StartReply.STARTED
        if attempt <= self.highest_attempts.get(task, 0):
            return StartReply.ATTEMPT_LOW
        if order.lease_end_ms <= now * 1000:
            return StartReply.LEASE_EXPIRED
        self._extend_lease(order.lease_end_ms, now)
        seconds = self.run_seconds(task)
        self.runs[order.key] = ModelRun(demand, now + seconds, self.fails_all)
        self.on_start(self, order.key)
        loop = asyncio.get_running_loop()
        # 1 µs after the end of the run, since an event loop may run a timer slightly early.
        loop.call_at(now + seconds + 1e-6, lambda: self.end_due_runs(loop.time()))
        return StartReply.STARTED

    def stop(self, order: StopRun, now: float) -> None:
        """Process a stop order, which also prevents a later start of the attempt."""
        self.end_due_runs(now)
        if order.token < self.token:
            return
        self.token = order.token
        task, attempt = order.key
        self.highest_attempts[task] = max(self.highest_attempts.get(task, 0), attempt)
        run = self.runs.get(order.key)
        if run is not None:
            loop = asyncio.get_running_loop()
            loop.call_at(now + STOP_DURATION_SECONDS, lambda: self._finish_stop(order.key, run))

    def poll(self, poll: PollRequest, now: float) -> bool:
        """Process a poll; return ``False`` if its token is fenced off."""
        self.end_due_runs(now)
        if poll.token < self.token:
            return False
        self.token = poll.token
        self.ended = [end for end in self.ended if end.number > poll.last_seen]
        if poll.lease_end_ms is not None:
            self._extend_lease(poll.lease_end_ms, now)
        return True

    def answer(self, now: float) -> WorkerStatus:
        """Return the status report of the worker."""
        self.end_due_runs(now)
        running = tuple(ReportedRun(*key) for key in self.runs)
        return WorkerStatus(self.born, int(now * 1000), running, tuple(self.ended))

    def _extend_lease(self, lease_end_ms: int, now: float) -> None:
        end = min(lease_end_ms, now * 1000 + MAX_LEASE_MS) / 1000
        self.lease_end = max(self.lease_end, end)

    def _finish_stop(self, key: RunKey, run: ModelRun) -> None:
        if self.runs.get(key) is run:
            self._end_run(key, EndKind.STOPPED)

    def _end_run(self, key: RunKey, kind: EndKind) -> None:
        del self.runs[key]
        if self.on_end is not None:
            self.on_end(self, key, kind)
        self.last_end_number += 1
        self.ended.append(ReportedEnd(self.last_end_number, *key, kind))
        task, attempt = key
        self.highest_attempts[task] = max(self.highest_attempts.get(task, 0), attempt)
        self.changed.set()
        self.changed = asyncio.Event()


@attrs.define(eq=False)
class FakeWorkerCalls:
    """Replaces one instance's client for requests to workers.

    ``demands`` holds the millicores per task, by job; ``late_share`` is the share of the requests
    that are not answered and take effect seconds later.
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
        if model.loses_starts or model.loses_start_replies:
            await self._lose_start(model, lambda now: model.start(start, demand, now), seconds)
            return StartReply.UNANSWERED
        sent_at = asyncio.get_running_loop().time()
        reply = await self._call_worker(model, lambda now: model.start(start, demand, now), seconds)
        if reply is PollFailure.REFUSED:
            await self._refuse_start(model, start.key, sent_at)
        return StartReply(reply.value) if isinstance(reply, PollFailure) else reply

    async def _refuse_start(self, model: ModelWorker, key: RunKey, sent_at: float) -> None:
        loop = asyncio.get_running_loop()
        if model.refusal_seconds:
            model.refused_until = max(model.refused_until, loop.time()) + model.refusal_seconds
            await asyncio.sleep(model.refused_until - loop.time())
        model.refused_starts.append(RefusedStart(key, sent_at, loop.time()))

    async def _lose_start(self, model: ModelWorker, execute, seconds: float) -> None:
        model.lost_starts += 1
        if model.loses_starts:
            self._execute_late(model, execute)
        elif not self._is_unreachable(model) and not self._is_refused(model):
            await self._simulate_delay()
            execute(asyncio.get_running_loop().time())
        await asyncio.sleep(seconds)

    async def stop_run(self, worker: HeldWorker, stop: StopRun, seconds: float) -> bool:
        """See :class:`WorkerCalls`."""
        model = self.workers[worker.name]
        done = await self._call_worker(model, lambda now: model.stop(stop, now) or True, seconds)
        return done is True

    async def poll(
        self, worker: HeldWorker, poll: PollRequest, seconds: float
    ) -> Result[WorkerStatus, PollFailure]:
        """See :class:`WorkerCalls`."""
        model = self.workers[worker.name]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        is_accepted = await self._call_worker(model, lambda now: model.poll(poll, now), seconds)
        if is_accepted is PollFailure.REFUSED and model.refusal_seconds:
            await asyncio.sleep(POLL_REFUSAL_FACTOR * model.refusal_seconds)
        if isinstance(is_accepted, PollFailure):
            return Err(is_accepted)
        if not is_accepted:
            return Err(PollFailure.FENCED)
        born = model.born
        if poll.wait_ms and not model.ended:
            changed = model.changed
            waiter = asyncio.ensure_future(changed.wait())
            await asyncio.wait([waiter], timeout=poll.wait_ms / 1000)
            waiter.cancel()
        if model.address in self.network.resetting:
            return Err(PollFailure.DISCONNECTED)
        if model.born != born and not self.network.is_blocked(self.node, model.address):
            return Err(self._failure_of_crash(model))
        answer = model.answer(loop.time())
        await self._simulate_delay()
        if self._is_unreachable(model) or model.born != born:
            await asyncio.sleep(max(deadline - loop.time(), 0))
            return Err(PollFailure.UNANSWERED)
        return Ok(answer)

    def _is_unreachable(self, model: ModelWorker) -> bool:
        return model.is_down or self.network.is_blocked(self.node, model.address)

    @staticmethod
    def _failure_of_crash(model: ModelWorker) -> PollFailure:
        """Return what a call notices when its worker ends; the host may have ended, too."""
        return PollFailure.CLOSED if model.refuses else PollFailure.DISCONNECTED

    def _is_refused(self, model: ModelWorker) -> bool:
        return model.refuses or model.address in self.network.resetting

    async def _simulate_delay(self) -> None:
        await asyncio.sleep(self.random.uniform(0.0003, 0.002))

    async def _call_worker(self, model: ModelWorker, execute, seconds: float):
        """Run ``execute`` at the worker and return its result, or why there is none.

        A request over a cut link takes effect later in half of the cases.
        """
        loop = asyncio.get_running_loop()
        loop.spend(self.node, CALL_SECONDS)
        await self._simulate_delay()
        if self.random.random() < self.late_share:
            self._execute_late(model, execute)
            await asyncio.sleep(seconds)
            return PollFailure.UNANSWERED
        if not self.network.is_blocked(self.node, model.address):
            if model.is_replaced and model.address not in self.network.resetting:
                return PollFailure.WORKER_RESTARTED
            if self._is_refused(model):
                return PollFailure.REFUSED
        if self._is_unreachable(model):
            if not model.is_down and self.random.random() < 0.5:
                self._execute_late(model, execute)
            await asyncio.sleep(seconds)
            return PollFailure.UNANSWERED
        born = model.born
        result = execute(loop.time())
        await self._simulate_delay()
        if model.born != born and not self.network.is_blocked(self.node, model.address):
            return self._failure_of_crash(model)
        if self._is_unreachable(model) or model.born != born:
            await asyncio.sleep(seconds)
            return PollFailure.UNANSWERED
        loop.spend(self.node, CALL_SECONDS)
        return result

    def _execute_late(self, model: ModelWorker, execute) -> None:
        loop = asyncio.get_running_loop()
        born = model.born

        def execute_unless_restarted() -> None:
            if model.born == born and not model.is_down:
                execute(loop.time())

        loop.call_later(self.random.uniform(*LATE_DELAY_RANGE_SECONDS), execute_unless_restarted)
