"""A worker's rules: capacity, leases by owner, fencing, results kept until acknowledged."""

from heapq import heappop, heappush

import attrs

from cranberryshore.dispatch import TaskBatch, TaskStart
from cranberryshore.messages import (
    Open,
    Opened,
    OpenRefused,
    OwnerReport,
    Rejected,
    RejectReason,
    Results,
    Usage,
)
from cranberryshore.ownership import TaskRecord, TaskRecordState
from cranberryshore.work import ZERO_CAPACITY, Capacity, TaskResult

RUN_MS_PREFIX = "run_ms="
FAIL_PAYLOAD = "fail"


@attrs.define
class WorkerFaults:
    """Faults that a test can turn on; while it stalls, no task ends."""

    slow_factor: float = 1.0
    fail_all: bool = False
    stalls: bool = False


@attrs.frozen(order=True)
class Ending:
    """When a running task ends."""

    at: float
    owner: str
    job: str
    index: int


@attrs.frozen
class StartLogEntry:
    """One start, for checks that share no code with the product."""

    at: float
    owner: str
    job: str
    index: int
    ends_at: float = 0.0


@attrs.define
class HeldTask:
    """One task that the worker has started."""

    record: TaskRecord
    demand: Capacity
    started_at: float


@attrs.define
class OwnerSession:
    """What the worker keeps for one owner."""

    session: int = -1
    is_closed: bool = False
    tasks: dict[tuple[str, int], HeldTask] = attrs.field(factory=dict)
    ready: list[tuple[str, TaskResult]] = attrs.field(factory=list)
    unacknowledged: dict[int, Results] = attrs.field(factory=dict)
    sequence: int = 0


@attrs.define
class WorkerModel:
    """One worker incarnation, without input or output."""

    name: str
    incarnation: str
    total: Capacity
    used: Capacity = ZERO_CAPACITY
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)
    owners: dict[str, OwnerSession] = attrs.field(factory=dict)
    endings: list[Ending] = attrs.field(factory=list)
    starts: list[StartLogEntry] = attrs.field(factory=list)
    duplicates: int = 0

    def open(self, frame: Open) -> Opened | OpenRefused:
        """Open a session; earlier sessions of the owner are fenced off by it."""
        if frame.worker_incarnation != self.incarnation:
            return OpenRefused(RejectReason.WRONG_INCARNATION)
        owner = self._owner(frame.owner)
        if frame.session <= owner.session:
            return OpenRefused(RejectReason.STALE_SESSION)
        if owner.is_closed:
            return OpenRefused(RejectReason.OWNER_CLOSED)
        owner.session = frame.session
        return Opened(self.incarnation, self.total, tuple(owner.tasks))

    def unacknowledged_results(self, owner: str) -> list[Results]:
        """Return the results that the owner has not acknowledged, for a new session."""
        return list(self._owner(owner).unacknowledged.values())

    def start(self, owner: str, session: int, batch: TaskBatch, now: float) -> list[Rejected]:
        """Start tasks; return the refusals."""
        state = self._owner(owner)
        reason = None
        if state.is_closed:
            reason = RejectReason.OWNER_CLOSED
        elif session != state.session:
            reason = RejectReason.STALE_SESSION
        refused: dict[RejectReason, list[tuple[str, int]]] = {}
        for task in batch.tasks:
            fault = reason or self._start_one(owner, state, batch, task, now)
            if fault is not None:
                refused.setdefault(fault, []).append((batch.job, task.index))
        return [Rejected(fault, tuple(tasks)) for fault, tasks in refused.items()]

    def stop(self, owner: str, job: str) -> None:
        """Stop all running tasks of a job; their results say so."""
        state = self._owner(owner)
        for key, held in state.tasks.items():
            if key[0] == job and held.record.state is TaskRecordState.RUNNING:
                held.record = attrs.evolve(held.record, state=TaskRecordState.STOPPED)
                self.used = self.used - held.demand
                state.ready.append((job, TaskResult(key[1], False, is_stopped=True)))

    def acknowledge(self, owner: str, through: int) -> None:
        """Drop results that the owner has received."""
        state = self._owner(owner)
        for sequence in [number for number in state.unacknowledged if number <= through]:
            del state.unacknowledged[sequence]

    def close_owner(self, number: int, owner: str) -> OwnerReport:
        """Refuse an owner from now on and report its tasks."""
        state = self._owner(owner)
        state.is_closed = True
        return OwnerReport(number, owner, tuple(held.record for held in state.tasks.values()))

    def end_tasks(self, now: float) -> None:
        """End the tasks whose time has come."""
        while self.endings and self.endings[0].at <= now and not self.faults.stalls:
            ending = heappop(self.endings)
            state = self.owners[ending.owner]
            held = state.tasks.get((ending.job, ending.index))
            if held is None or held.record.state is not TaskRecordState.RUNNING:
                continue
            self._end(state, held, now)

    def take_results(self) -> dict[str, Results]:
        """Return new results by owner, each batch under the next sequence number."""
        batches = {}
        for name, state in self.owners.items():
            if not state.ready:
                continue
            state.sequence += 1
            frame = Results(state.sequence, tuple(state.ready))
            state.ready = []
            state.unacknowledged[state.sequence] = frame
            batches[name] = frame
        return batches

    def end_times_since(self, count: int) -> list[float]:
        """Return when the tasks end that were started after the first ``count``."""
        return [entry.ends_at for entry in self.starts[count:]]

    def usage(self) -> Usage:
        """Return what each owner holds."""
        held: dict[str, Capacity] = {}
        for name, state in self.owners.items():
            total = ZERO_CAPACITY
            for task in state.tasks.values():
                if task.record.state is TaskRecordState.RUNNING:
                    total = total + task.demand
            if total != ZERO_CAPACITY:
                held[name] = total
        return Usage(held)

    def forget(self, before: float) -> None:
        """Drop ended tasks that started before a time."""
        for state in self.owners.values():
            old = [
                key
                for key, held in state.tasks.items()
                if held.started_at < before and held.record.state is not TaskRecordState.RUNNING
            ]
            for key in old:
                del state.tasks[key]

    def _owner(self, name: str) -> OwnerSession:
        state = self.owners.get(name)
        if state is None:
            state = self.owners[name] = OwnerSession()
        return state

    def _start_one(
        self, owner: str, state: OwnerSession, batch: TaskBatch, task: TaskStart, now: float
    ) -> RejectReason | None:
        key = (batch.job, task.index)
        if key in state.tasks:
            self.duplicates += 1
            return RejectReason.DUPLICATE
        demand = task.spec.demand
        if not (self.total - self.used).holds(demand):
            return RejectReason.BUSY
        self.used = self.used + demand
        record = TaskRecord(
            batch.job, batch.caller, batch.task_count, task.index, TaskRecordState.RUNNING
        )
        payload = task.spec.payload
        state.tasks[key] = HeldTask(attrs.evolve(record, output=payload), demand, now)
        seconds = run_ms_of(payload, task.spec.expected_ms) / 1000 * self.faults.slow_factor
        self.starts.append(StartLogEntry(now, owner, batch.job, task.index, now + seconds))
        heappush(self.endings, Ending(now + seconds, owner, batch.job, task.index))
        return None

    def _end(self, state: OwnerSession, held: HeldTask, now: float) -> None:
        self.used = self.used - held.demand
        record = held.record
        is_ok = not self.faults.fail_all and not record.output.startswith(FAIL_PAYLOAD)
        output = output_of(record.job, record.index, record.output) if is_ok else "The task failed."
        final = TaskRecordState.OK if is_ok else TaskRecordState.FAILED
        held.record = attrs.evolve(record, state=final, output=output)
        run_ms = int((now - held.started_at) * 1000)
        state.ready.append((record.job, TaskResult(record.index, is_ok, output, run_ms)))


def run_ms_of(payload: str, expected_ms: int) -> float:
    """Return a task's real run time: the payload's, or else the declared one.

    Examples
    --------
    >>> run_ms_of("run_ms=12", 50), run_ms_of("", 50)
    (12.0, 50)
    """
    if payload.startswith(RUN_MS_PREFIX):
        return float(payload.removeprefix(RUN_MS_PREFIX))
    return expected_ms


def output_of(job: str, index: int, payload: str) -> str:
    """Return the output of a task, from which a caller can tell that it is its own."""
    return f"{job}/{index}/{payload}"
