"""Pending jobs of the callers of an entry instance, and their submission to the scheduler."""

import asyncio
from typing import Protocol

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import CancelledJobs, JobEnded, Outcome, QueueSpec, WorkRequest
from cranberryshore.pool.config import MAX_LATENESS_FACTOR
from cranberryshore.pool.refusing import RETRY_AFTER_MS
from cranberryshore.pool.work import CANCELLED_DETAIL
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.pool.overload_control import LATE_DETAIL, NO_SCHEDULER_DETAIL, EntryOverload
from cranberryshored.pool.untried_jobs import UntriedCause, is_untried_too_long
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task

TICK_SECONDS = 0.05
"""Interval of the checks for jobs that no scheduler has accepted or answered."""


UNANSWERED_DETAIL = "The scheduler has not answered."

RESUBMIT = -1
"""Epoch of a job that must be submitted again, even to the scheduler that has it."""


class SchedulerClient(Protocol):
    """Sends jobs to the scheduler that this instance follows."""

    def scheduler(self) -> str:
        """Return the incarnation of the scheduler, or an empty string if there is none."""
        ...

    def claim_term(self) -> int:
        """Return the term of the scheduler's claim, 0 if there is none."""
        ...

    def claim_zone(self) -> str:
        """Return the zone that the scheduler's claim is limited to, or an empty string."""
        ...

    def epoch(self) -> int:
        """Return how often this instance has changed its scheduler."""
        ...

    def has_released(self, scheduler: str) -> bool:
        """Return whether a former scheduler can start nothing more for this instance."""
        ...

    def rosters_since(self, moment: float) -> tuple[int, ...]:
        """Return the versions of the rosters that this instance has had since a time."""
        ...

    def submit(self, request: WorkRequest) -> None:
        """Submit a job."""
        ...

    def cancel(self, job: str) -> None:
        """Cancel a job whose caller has disconnected."""
        ...


@attrs.define(eq=False)
class PendingJob:
    """A job whose caller waits for the result.

    Parameters
    ----------
    sent_to : str
        Incarnation of the last scheduler that it was submitted to; empty if it must be submitted.
    sent_term : int
        Term of its claim at that time.
    sent_epoch : int
        Epoch of this instance at that time, or ``RESUBMIT``.
    first_sent_at : float
        Time of the first submission.
    zones : set of str
        Zones of the claims that it was submitted under; an empty string stands for all zones.
    is_resumed : bool
        Whether another scheduler, or another claim of the same one, may have started its tasks.
    may_have_run : bool
        Whether an earlier submission may have started its tasks, in the same claim too.
    """

    request: WorkRequest
    queue: QueueSpec
    arrived_at: float
    answer: asyncio.Future
    sent_to: str = ""
    sent_term: int = 0
    sent_epoch: int = 0
    first_sent_at: float = float("inf")
    zones: set[str] = attrs.field(factory=set)
    is_resumed: bool = False
    may_have_run: bool = False

    def expires_at(self) -> float:
        """Return the time after which a result is of no use to the caller."""
        return self.arrived_at + _useful_seconds(self.request, self.queue)


def _useful_seconds(request: WorkRequest, queue: QueueSpec) -> float:
    target_ms = queue.response_target_ms(request.steps[0].estimate_ms)
    return min(MAX_LATENESS_FACTOR * target_ms, request.budget_ms) / 1000


@attrs.define(eq=False)
class EntryService:
    """Tracks the jobs of this instance's callers until they end, across changes of scheduler.

    Parameters
    ----------
    is_stopping : bool
        Whether further jobs are refused, since nothing waits for their ends any more.
    cancelled : CancelledJobs
        Jobs that are not run if they arrive.
    overload : EntryOverload or None
        Decides which jobs are not worth a submission; without it, all are submitted.
    """

    scheduler_client: SchedulerClient
    metrics: Metrics
    log: FilteringBoundLogger
    pending: dict[str, PendingJob] = attrs.field(factory=dict)
    is_stopping: bool = False
    cancelled: CancelledJobs = attrs.field(factory=CancelledJobs)
    overload: EntryOverload | None = None
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the checks."""
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop the checks."""
        await cancel_tasks([self.task])

    async def submit(self, request: WorkRequest, queue: QueueSpec) -> JobEnded:
        """Submit a job and return how it ended; if the caller disconnects, both are cancelled."""
        if request.id in self.cancelled:
            return self._refuse(request, Outcome.CANCELLED, CANCELLED_DETAIL)
        if self.is_stopping:
            return self._refuse(request, Outcome.REFUSED, "This instance leaves.", RETRY_AFTER_MS)
        if self.overload is not None and request.id not in self.pending:
            expires_at = now() + _useful_seconds(request, queue)
            end = self.overload.check_new(request, queue, len(self.pending), expires_at)
            if end is not None:
                return self._refuse(request, end.outcome, end.detail, end.retry_after_ms)
        older = self.pending.pop(request.id, None)
        if older is not None and not older.answer.done():
            older.answer.set_result(
                JobEnded("", request.id, Outcome.GIVEN_UP, "The caller has asked again.")
            )
        future = asyncio.get_running_loop().create_future()
        job = self.pending[request.id] = PendingJob(request, queue, now(), future)
        if older is not None:
            # The scheduler of the first request may have started tasks.
            job.sent_to, job.sent_term, job.sent_epoch = older.sent_to, older.sent_term, RESUBMIT
            job.first_sent_at, job.is_resumed = older.first_sent_at, older.is_resumed
            job.zones = older.zones
            job.may_have_run = older.may_have_run or bool(older.sent_to)
        self._submit_to_scheduler(job)
        try:
            end = await future
            self._record_answer(job, end)
            return end
        except asyncio.CancelledError:
            self.log.info("Caller left.", job=request.id, queue=queue.name)
            self._record_left(job)
            if self.pending.get(request.id) is job:
                del self.pending[request.id]
                if job.sent_to:
                    self.scheduler_client.cancel(request.id)
            raise

    def _refuse(
        self, request: WorkRequest, outcome: Outcome, detail: str, retry_after_ms: int = 0
    ) -> JobEnded:
        self.log.info(
            "Job refused.",
            job=request.id,
            queue=request.queue,
            outcome=outcome.value,
            reason=detail,
        )
        self.metrics.jobs.labels(outcome.value).inc()
        return JobEnded("", request.id, outcome, detail, retry_after_ms)

    def cancel(self, job_id: str) -> None:
        """Answer the caller of a job that was cancelled, at this instance or another one."""
        job = self.pending.pop(job_id, None)
        if job is None:
            return
        if job.sent_to:
            self.scheduler_client.cancel(job_id)
        if not job.answer.done():
            end = JobEnded("", job_id, Outcome.CANCELLED, CANCELLED_DETAIL)
            job.answer.set_result(end)

    def _record_left(self, job: PendingJob) -> None:
        self._remember_unsettled(job)
        is_submitted = bool(job.sent_to)
        self._count_untried(job, UntriedCause.LEFT if is_submitted else UntriedCause.NO_SCHEDULER)

    def _remember_unsettled(self, job: PendingJob) -> None:
        if self.overload is not None and job.sent_to:
            self.overload.unsettled.add(job.request.id, now())

    def _count_untried(self, job: PendingJob, cause: UntriedCause) -> None:
        if is_untried_too_long(job.queue, job.request, now() - job.arrived_at):
            self.metrics.untried_jobs.labels(cause.value).inc()

    def _record_answer(self, job: PendingJob, end: JobEnded) -> None:
        if end.outcome is Outcome.GIVEN_UP:
            self._remember_unsettled(job)
        cause = _untried_cause(job, end)
        if cause is not None:
            self._count_untried(job, cause)
        seconds = now() - job.arrived_at
        self.metrics.jobs.labels(end.outcome.value).inc()
        self.metrics.job_seconds.observe(seconds)
        self.log.info(
            "Caller answered.",
            job=job.request.id,
            queue=job.queue.name,
            outcome=end.outcome.value,
            reason=end.detail,
            scheduler=job.sent_to,
            resumed=job.is_resumed,
            ms=int(seconds * 1000),
            budget_ms=job.request.budget_ms,
        )

    def job_ended(self, end: JobEnded, scheduler: str) -> None:
        """Deliver the outcome of a job to its caller."""
        job = self.pending.get(end.job)
        if job is None or job.sent_to != scheduler:
            return
        if end.outcome is Outcome.DROPPED:
            refusal = self._refusal_of_dropped(job, end)
            if refusal is None:
                self._resubmit(job)
                return
            end = refusal
        del self.pending[end.job]
        if end.outcome is Outcome.REFUSED and job.may_have_run:
            # REFUSED means that the job has not run, but an earlier submission may have started it.
            end = attrs.evolve(end, outcome=Outcome.GIVEN_UP)
        if not job.answer.done():
            job.answer.set_result(end)

    def _refusal_of_dropped(self, job: PendingJob, end: JobEnded) -> JobEnded | None:
        if self.overload is None:
            return None
        return self.overload.check_dropped(end, job.may_have_run, job.is_resumed)

    def scheduler_changed(self) -> None:
        """Submit all pending jobs to the scheduler that this instance follows now.

        Jobs that a former scheduler may still start are submitted once it has released them.
        """
        for job in self.pending.values():
            self._submit_to_scheduler(job)

    def resubmit_all(self) -> None:
        """Submit all pending jobs again: this process stalled, so they may have been dropped."""
        for job in self.pending.values():
            job.sent_epoch = RESUBMIT
            self._submit_to_scheduler(job)

    def _resubmit(self, job: PendingJob) -> None:
        """Submit a job again that its scheduler has dropped."""
        job.sent_epoch = RESUBMIT
        self._submit_to_scheduler(job)

    def _submit_to_scheduler(self, job: PendingJob) -> None:
        client = self.scheduler_client
        scheduler, epoch = client.scheduler(), client.epoch()
        if not scheduler or (scheduler, epoch) == (job.sent_to, job.sent_epoch):
            return
        if job.sent_to not in ("", scheduler) and not client.has_released(job.sent_to):
            return
        job.may_have_run |= bool(job.sent_to)
        # Within a claim, a scheduler knows what it has started.
        term = client.claim_term()
        job.is_resumed |= bool(job.sent_to) and (job.sent_to, job.sent_term) != (scheduler, term)
        job.sent_to, job.sent_term, job.sent_epoch = scheduler, term, epoch
        job.first_sent_at = min(job.first_sent_at, now())
        waited_ms = int((now() - job.arrived_at) * 1000)
        zones = tuple(sorted(job.zones))
        job.zones.add(client.claim_zone())
        client.submit(
            attrs.evolve(
                job.request,
                waited_ms=waited_ms,
                is_resumed=job.is_resumed,
                rosters=client.rosters_since(job.first_sent_at),
                zones=zones,
            )
        )

    def give_up_all(self, detail: str) -> None:
        """Cancel all pending jobs because this instance stops; their tasks may have run.

        Jobs that callers send from now on, over connections that are still open, are refused.
        """
        self.is_stopping = True
        for job in list(self.pending.values()):
            if job.sent_to:
                self.scheduler_client.cancel(job.request.id)
            self._give_up(job, Outcome.GIVEN_UP, detail)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            with failures_logged(self.log, "submission"):
                self.scheduler_changed()
            moment = now()
            for job in list(self.pending.values()):
                with failures_logged(self.log, "deadline", job=job.request.id):
                    self._check_deadline(job, moment)

    def _check_deadline(self, job: PendingJob, moment: float) -> None:
        if not job.sent_to and self._is_expired(job, moment):
            outcome = Outcome.GIVEN_UP if job.may_have_run else Outcome.REFUSED
            self._give_up(job, outcome, NO_SCHEDULER_DETAIL)
        # A scheduler ends the job when its budget is used up; its message gets 0.2 s more.
        elif moment > job.arrived_at + job.request.budget_ms / 1000 + 0.2:
            self.scheduler_client.cancel(job.request.id)
            self._give_up(job, Outcome.GIVEN_UP, UNANSWERED_DETAIL)

    def _is_expired(self, job: PendingJob, moment: float) -> bool:
        expires_at = job.expires_at()
        if self.overload is not None and not self.overload.can_wait(job.request, expires_at):
            return True
        return moment > expires_at

    def _give_up(self, job: PendingJob, outcome: Outcome, detail: str) -> None:
        del self.pending[job.request.id]
        self.log.warning("Job ended without a result.", job=job.request.id, reason=detail)
        if not job.answer.done():
            end = JobEnded("", job.request.id, outcome, detail, RETRY_AFTER_MS)
            job.answer.set_result(end)


def _untried_cause(job: PendingJob, end: JobEnded) -> UntriedCause | None:
    """Return why a job has ended untried, ``None`` if a worker may have had it."""
    if end.outcome is Outcome.GIVEN_UP:
        return UntriedCause.UNANSWERED if end.detail == UNANSWERED_DETAIL else None
    if end.outcome is not Outcome.REFUSED:
        return None
    if not job.sent_to:
        return UntriedCause.NO_SCHEDULER
    return UntriedCause.LATE if end.detail == LATE_DETAIL else UntriedCause.REFUSED
