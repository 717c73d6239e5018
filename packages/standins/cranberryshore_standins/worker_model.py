"""Model of a worker: capacity, fencing of owners' sessions, results kept until acknowledged."""

from heapq import heappop, heappush
from itertools import chain

import attrs

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
from cranberryshore.work import ZERO_CAPACITY, Capacity, TaskBatch, TaskResult, TaskStart

RUN_MS_PREFIX = "run_ms="
FAIL_PAYLOAD_PREFIX = "fail"


@attrs.define
class WorkerFaults:
    """Faults that a test can inject.

    ``slow_factor`` multiplies the run time of tasks that start, ``fail_all`` fails tasks that end;
    no task completes or fails while ``stalls`` is set.
    """

    slow_factor: float = 1.0
    fail_all: bool = False
    stalls: bool = False


@attrs.frozen(order=True)
class ScheduledEnd:
    """The end time of a running task."""

    at: float
    owner: str
    job: str
    index: int


@attrs.frozen
class StartLogEntry:
    """One task start, for checks that share no code with the daemon."""

    at: float
    owner: str
    job: str
    index: int
    ends_at: float = 0.0


@attrs.define
class WorkerTask:
    """One started task; until it completes or fails, the output of ``record`` is the payload."""

    record: TaskRecord
    demand: Capacity
    started_at: float


@attrs.define
class OwnerState:
    """The worker's state for one owner.

    ``session`` is the latest session, ``ready`` holds the results that are not yet in a frame, and
    ``unacknowledged`` the frames by sequence number. See ``OwnerReport`` for ``evicted_through``.
    """

    session: int = -1
    is_closed: bool = False
    tasks: dict[tuple[str, int], WorkerTask] = attrs.field(factory=dict)
    ready: list[tuple[str, TaskResult]] = attrs.field(factory=list)
    unacknowledged: dict[int, Results] = attrs.field(factory=dict)
    sequence: int = 0
    evicted_through: int = -1

    def unreceived_tasks(self) -> set[tuple[str, int]]:
        """Return the job id and index of each ended task without an acknowledged result."""
        results = chain(self.ready, *(frame.results for frame in self.unacknowledged.values()))
        return {(job, result.index) for job, result in results}


@attrs.define
class WorkerModel:
    """One worker incarnation, without I/O.

    ``scheduled_ends`` is a heap; ``duplicates`` counts rejected starts of tasks started before.
    """

    name: str
    incarnation: str
    total: Capacity
    used: Capacity = ZERO_CAPACITY
    faults: WorkerFaults = attrs.field(factory=WorkerFaults)
    owners: dict[str, OwnerState] = attrs.field(factory=dict)
    scheduled_ends: list[ScheduledEnd] = attrs.field(factory=list)
    starts: list[StartLogEntry] = attrs.field(factory=list)
    duplicates: int = 0

    def open(self, frame: Open) -> Opened | OpenRefused:
        """Open a session and fence off the owner's earlier sessions."""
        if frame.worker_incarnation != self.incarnation:
            return OpenRefused(RejectReason.WRONG_INCARNATION)
        owner = self._owner_state(frame.owner)
        if frame.session <= owner.session:
            return OpenRefused(RejectReason.STALE_SESSION)
        if owner.is_closed:
            return OpenRefused(RejectReason.OWNER_CLOSED)
        owner.session = frame.session
        return Opened(self.incarnation, self.total, tuple(owner.tasks))

    def unacknowledged_results(self, owner: str) -> list[Results]:
        """Return the results to send again in a new session."""
        return list(self._owner_state(owner).unacknowledged.values())

    def start(self, owner: str, session: int, batch: TaskBatch, now: float) -> list[Rejected]:
        """Start the tasks of a batch; return the rejections by reason."""
        state = self._owner_state(owner)
        reason = None
        if state.is_closed:
            reason = RejectReason.OWNER_CLOSED
        elif session != state.session:
            reason = RejectReason.STALE_SESSION
        refused: dict[RejectReason, list[tuple[str, int]]] = {}
        for task in batch.tasks:
            fault = reason or self._start_task(owner, state, batch, task, now)
            if fault is not None:
                refused.setdefault(fault, []).append((batch.job, task.index))
        return [Rejected(fault, tuple(tasks)) for fault, tasks in refused.items()]

    def stop(self, owner: str, job: str) -> None:
        """Stop the running tasks of a job and report each as stopped."""
        state = self._owner_state(owner)
        for key, held in state.tasks.items():
            if key[0] == job and held.record.state is TaskRecordState.RUNNING:
                held.record = attrs.evolve(held.record, state=TaskRecordState.STOPPED)
                self.used = self.used - held.demand
                state.ready.append((job, TaskResult(key[1], False, is_stopped=True)))

    def acknowledge(self, owner: str, through: int) -> None:
        """Drop the results up to number ``through``, which the owner has received."""
        state = self._owner_state(owner)
        for sequence in [number for number in state.unacknowledged if number <= through]:
            del state.unacknowledged[sequence]

    def close_owner(self, number: int, owner: str) -> OwnerReport:
        """Reject further sessions and starts of an owner; return its task records."""
        state = self._owner_state(owner)
        state.is_closed = True
        records = tuple(held.record for held in state.tasks.values())
        return OwnerReport(number, owner, records, state.evicted_through)

    def end_tasks(self, now: float) -> None:
        """End the tasks that are due."""
        while self.scheduled_ends and self.scheduled_ends[0].at <= now and not self.faults.stalls:
            scheduled_end = heappop(self.scheduled_ends)
            state = self.owners[scheduled_end.owner]
            held = state.tasks.get((scheduled_end.job, scheduled_end.index))
            if held is None or held.record.state is not TaskRecordState.RUNNING:
                continue
            self._end_task(state, held, now)

    def take_results(self) -> dict[str, Results]:
        """Return the new results by owner and keep them until acknowledged."""
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
        """Return the planned end times of all but the first ``count`` started tasks."""
        return [entry.ends_at for entry in self.starts[count:]]

    def usage(self) -> Usage:
        """Return the capacity that running tasks use, by owner."""
        held: dict[str, Capacity] = {}
        for name, state in self.owners.items():
            total = ZERO_CAPACITY
            for task in state.tasks.values():
                if task.record.state is TaskRecordState.RUNNING:
                    total = total + task.demand
            if total != ZERO_CAPACITY:
                held[name] = total
        return Usage(held)

    def evict_ended_tasks(self, before: float) -> None:
        """Drop the records of ended tasks that started before a time.

        Records of results that an owner may not have received are kept until its closure, because
        it starts the tasks again that a new session does not list.
        """
        for state in self.owners.values():
            kept = set() if state.is_closed else state.unreceived_tasks()
            evicted_keys = [
                key
                for key, held in state.tasks.items()
                if held.started_at < before
                and held.record.state is not TaskRecordState.RUNNING
                and key not in kept
            ]
            for key in evicted_keys:
                del state.tasks[key]
                sequence = int(key[0].rpartition(".")[2])
                state.evicted_through = max(state.evicted_through, sequence)

    def _owner_state(self, name: str) -> OwnerState:
        state = self.owners.get(name)
        if state is None:
            state = self.owners[name] = OwnerState()
        return state

    def _start_task(
        self, owner: str, state: OwnerState, batch: TaskBatch, task: TaskStart, now: float
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
        state.tasks[key] = WorkerTask(attrs.evolve(record, output=payload), demand, now)
        seconds = task_run_ms(payload, task.spec.expected_ms) / 1000 * self.faults.slow_factor
        self.starts.append(StartLogEntry(now, owner, batch.job, task.index, now + seconds))
        heappush(self.scheduled_ends, ScheduledEnd(now + seconds, owner, batch.job, task.index))
        return None

    def _end_task(self, state: OwnerState, held: WorkerTask, now: float) -> None:
        self.used = self.used - held.demand
        record = held.record
        is_ok = not self.faults.fail_all and not record.output.startswith(FAIL_PAYLOAD_PREFIX)
        output = (
            task_output(record.job, record.index, record.output) if is_ok else "The task failed."
        )
        end_state = TaskRecordState.OK if is_ok else TaskRecordState.FAILED
        held.record = attrs.evolve(record, state=end_state, output=output)
        run_ms = int((now - held.started_at) * 1000)
        state.ready.append((record.job, TaskResult(record.index, is_ok, output, run_ms)))


def task_run_ms(payload: str, expected_ms: int) -> float:
    """Return a task's actual run time: the payload's, else ``expected_ms``.

    Examples
    --------
    >>> task_run_ms("run_ms=12", 50), task_run_ms("", 50)
    (12.0, 50)
    """
    if payload.startswith(RUN_MS_PREFIX):
        return float(payload.removeprefix(RUN_MS_PREFIX))
    return expected_ms


def task_output(job: str, index: int, payload: str) -> str:
    """Return the output of a task, which shows the caller that it belongs to its job."""
    return f"{job}/{index}/{payload}"
