"""Drives the dispatcher: passes events to it and executes its effects."""

import asyncio
from time import time

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.dispatch import (
    AnnounceIsolation,
    Dispatcher,
    Effect,
    GrantLoans,
    Input,
    JobOwnershipLost,
    JobSettled,
    OwnerClosed,
    OwnerRetired,
    OwnershipDoubted,
    RecallLoans,
    ReportHeldLoans,
    RequestLoans,
    ReturnLoans,
    StartTasks,
    StopTasks,
    TasksFinished,
    TasksRejected,
    Tick,
    Trace,
    UsageReported,
    WorkerLost,
    WorkerOpened,
)
from cranberryshore.dispatch.lending import PAUSE_THRESHOLD_SECONDS
from cranberryshore.messages import (
    IsolatedWorker,
    JobAnswer,
    LoanAsk,
    LoanGrants,
    LoanRecall,
    LoanReturns,
    LoansHeld,
    Opened,
    OwnerReport,
    Rejected,
    Results,
    Start,
    Stop,
    Usage,
)
from cranberryshore.messages.peer import JOBS_SCOPE
from cranberryshore.ownership import OwnedWorker
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshore.work import Job
from cranberryshored.evidence import EvidenceService
from cranberryshored.jobs.closures import ClosureService
from cranberryshored.jobs.workers import WorkerLinks
from cranberryshored.loans import LoanExchange
from cranberryshored.metrics import Metrics
from cranberryshored.tasks import cancel_tasks


@attrs.define(eq=False)
class JobService:
    """Passes events to the dispatcher and executes the effects that it returns.

    Parameters
    ----------
    dispatcher : Dispatcher
        Makes the decisions; performs no input or output.
    loans : LoanExchange
        Sends loan messages to the peers of the zone.
    owner_retired : asyncio.Event
        Set when a peer has closed the incarnation, which must then be replaced.
    ownership_doubted : asyncio.Event
        Set when the process was paused; no tasks are started until the ownership is confirmed.
    unsent : list of StartTasks
        Starts on workers without an open session, which have certainly not run.
    """

    dispatcher: Dispatcher
    loans: LoanExchange
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    tick_seconds: float
    evidence: EvidenceService
    links: WorkerLinks | None = None
    closures: ClosureService | None = None
    trace: Trace | None = None
    owner_retired: asyncio.Event = attrs.field(factory=asyncio.Event)
    ownership_doubted: asyncio.Event = attrs.field(factory=asyncio.Event)
    handled_at: float | None = None
    unsent: list[StartTasks] = attrs.field(factory=list)
    waiters: dict[str, list[asyncio.Future]] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start checking periodically for passed deadlines and silent workers."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the periodic checks."""
        await cancel_tasks([self.task])

    def handle(self, input: Input) -> list[Effect]:
        """Pass one input to the dispatcher, execute the effects and return them."""
        now = asyncio.get_running_loop().time()
        if self.handled_at is not None and now - self.handled_at > PAUSE_THRESHOLD_SECONDS:
            self._handle_at(OwnershipDoubted(), now)
            self.ownership_doubted.set()
        self.handled_at = now
        return self._handle_at(input, now)

    def _handle_at(self, input: Input, now: float) -> list[Effect]:
        if self.trace is not None:
            self.trace.record(input, now)
        effects = self.dispatcher.handle(input, now)
        for effect in effects:
            self._execute(effect)
        unsent, self.unsent = self.unsent, []
        for start in unsent:
            tasks = tuple((start.batch.job, task.index) for task in start.batch.tasks)
            effects += self._handle_at(TasksRejected(start.worker, tasks), now)
        return effects

    async def wait(self, job: Job, seconds: float) -> None:
        """Wait until a job is settled, at most ``seconds``."""
        if job.is_settled or seconds <= 0:
            return
        future = asyncio.get_running_loop().create_future()
        self.waiters.setdefault(str(job.id), []).append(future)
        await asyncio.wait([future], timeout=seconds)

    def answer(self, job: Job) -> JobAnswer:
        """Return the answer for the caller, with all outputs or none."""
        count = len(job.states)
        outputs = None
        if job.is_complete:
            outputs = tuple(job.outputs)
        return JobAnswer(str(job.id), job.state, count, outputs, job.failure)

    def worker_opened(self, worker: OwnedWorker, frame: Opened) -> None:
        """See :class:`WorkerEvents`."""
        self.log.info("Worker session opened.", worker=worker.name)
        self.handle(WorkerOpened(worker.name, frame.worker_incarnation, frame.known))
        self.closures.on_worker_opened(worker)

    def worker_lost(self, worker: OwnedWorker) -> None:
        """See :class:`WorkerEvents`."""
        self.recorder.record(time(), EventKind.WORKER_LOST, worker.name, worker.incarnation)
        self.log.warning("Worker lost.", worker=worker.name)
        self.handle(WorkerLost(worker.name, worker.incarnation))

    def worker_results(self, worker: OwnedWorker, frame: Results) -> None:
        """See :class:`WorkerEvents`."""
        late = self.dispatcher.late_results
        self.handle(TasksFinished(worker.name, frame.results))
        self.metrics.wasted_messages.labels("late_result").inc(self.dispatcher.late_results - late)

    def worker_rejected(self, worker: OwnedWorker, frame: Rejected) -> None:
        """See :class:`WorkerEvents`."""
        self.metrics.wasted_messages.labels(f"rejected_{frame.reason.value}").inc()
        self.handle(TasksRejected(worker.name, frame.tasks))

    def worker_usage(self, worker: OwnedWorker, frame: Usage) -> None:
        """See :class:`WorkerEvents`."""
        own = self.dispatcher.owner
        others = {owner: held for owner, held in frame.by_owner.items() if owner != own}
        self.handle(UsageReported(worker.name, others))

    def worker_report(self, worker: OwnedWorker, frame: OwnerReport) -> None:
        """See :class:`WorkerEvents`."""
        self.closures.on_report(worker, frame)

    def owner_refused(self, owner: str) -> None:
        """See :class:`WorkerEvents`."""
        self.handle(OwnerClosed(owner))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, StartTasks):
            self._start_tasks(effect)
        elif isinstance(effect, StopTasks):
            self._stop_tasks(effect)
        elif isinstance(effect, JobSettled):
            self._on_settled(effect)
        elif isinstance(effect, RequestLoans):
            self.loans.request_loans(LoanAsk(JOBS_SCOPE, effect.demand, effect.count))
        elif isinstance(effect, GrantLoans):
            self.loans.lend(effect.peer, LoanGrants(JOBS_SCOPE, effect.grants))
        elif isinstance(effect, ReturnLoans):
            self.loans.return_grants(LoanReturns(JOBS_SCOPE, effect.grants))
        elif isinstance(effect, AnnounceIsolation):
            self.log.warning("Worker isolated.", worker=effect.worker)
            message = IsolatedWorker(effect.worker, effect.incarnation, effect.seconds)
            self.loans.report_isolated(message)
        elif isinstance(effect, ReportHeldLoans):
            self.loans.report_held(LoansHeld(JOBS_SCOPE, effect.grants))
        elif isinstance(effect, RecallLoans):
            recall = LoanRecall(JOBS_SCOPE, tuple(sorted(effect.workers)))
            self.loans.recall(effect.peer, recall)
        elif isinstance(effect, JobOwnershipLost):
            self.evidence.job_outcome_unknown(str(effect.id), effect.team)
            self._wake_waiters(str(effect.id))
        elif isinstance(effect, OwnerRetired):
            self.recorder.record(time(), EventKind.OWNER_RETIRED, effect.owner)
            self.log.warning("Ownership was closed by a peer.", owner=effect.owner)
            self.owner_retired.set()

    def _start_tasks(self, effect: StartTasks) -> None:
        link = self.links.open_link(OwnedWorker(effect.worker, effect.incarnation))
        batch = effect.batch
        count = len(batch.tasks)
        if link is None:
            self.metrics.wasted_messages.labels("start_without_session").inc()
            self.unsent.append(effect)
            return
        self.recorder.record(time(), EventKind.TASKS_STARTED, batch.job, effect.worker, count)
        link.send(Start((batch,)))

    def _stop_tasks(self, effect: StopTasks) -> None:
        link = self.links.links.get(effect.worker)
        self.recorder.record(time(), EventKind.TASKS_STOPPED, effect.job, effect.worker)
        if link is not None:
            link.send(Stop((effect.job,)))

    def _on_settled(self, effect: JobSettled) -> None:
        key = str(effect.id)
        job = self.dispatcher.jobs[key]
        seconds = job.settled_at - job.accepted_at
        outcome = "complete" if job.failure is None else job.failure.type.value
        self.metrics.jobs.labels(outcome).inc()
        self.metrics.job_seconds.observe(seconds)
        self.evidence.job_settled(job)
        detail = outcome if job.failure is None else f"{outcome}: {job.failure.claim.value}"
        self.recorder.record(time(), EventKind.JOB_ANSWERED, key, detail, len(job.states))
        self._wake_waiters(key)

    def _wake_waiters(self, key: str) -> None:
        for future in self.waiters.pop(key, ()):
            if not future.done():
                future.set_result(None)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.tick_seconds)
            self.handle(Tick())
            self.links.check_silence(loop.time())
            self.metrics.queued_tasks.set(self.dispatcher.placer.waiting_tasks)
