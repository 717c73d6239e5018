"""Dispatcher aggregate: admits jobs, places their tasks and records their outcomes."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import islice

import attrs

from cranberryshore.dispatch import effects as out
from cranberryshore.dispatch import inputs
from cranberryshore.dispatch.admission import Admission
from cranberryshore.dispatch.lending import LoanBalancer
from cranberryshore.dispatch.placer import TaskPlacer
from cranberryshore.dispatch.workers import WorkerSet
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.limits.fair_queue import FairQueue
from cranberryshore.limits.quota import TeamQuotas
from cranberryshore.settings.dispatch import DispatchSettings
from cranberryshore.work.job import Job, TaskResult

__all__ = ["DispatchSettings", "Dispatcher"]

REJECT_PAUSE_SECONDS = 0.05
MAX_EVICTIONS_PER_TICK = 1000
MILLISECONDS_PER_SECOND = 1000


@attrs.define
class Dispatcher:
    """Deterministic state machine for the jobs of one entry instance; performs no I/O.

    Every event goes through :meth:`handle`, which returns the effects that the caller has to
    carry out. The same inputs at the same times produce the same effects.

    Parameters
    ----------
    owner : str
        Text form of the current incarnation; only jobs that it issued may be started. Empty after
        its closure until the next one is set.
    doubted_at : float or None
        Time from which on no tasks are started until the ownership is confirmed.
    jobs : dict
        Unsettled jobs and retained settled jobs, by the text form of their id.
    late_results : int
        Results without effect: repeated, or of an unknown or settled job.
    settled : dict
        Settlement time by job id, oldest first.
    """

    settings: DispatchSettings
    owner: str
    jobs: dict[str, Job] = attrs.field(factory=dict)
    workers: WorkerSet = attrs.field(factory=WorkerSet)
    queue: FairQueue[Job] = attrs.field(init=False)
    quotas: TeamQuotas = attrs.field(factory=TeamQuotas)
    admission: Admission = attrs.field(init=False)
    placer: TaskPlacer = attrs.field(init=False)
    loan_balancer: LoanBalancer = attrs.field(init=False)
    doubted_at: float | None = None
    is_draining: bool = False
    late_results: int = 0
    rejected_starts: int = 0
    settled: dict[str, float] = attrs.field(factory=dict)
    settled_tasks: int = 0
    deadlines: list[tuple[float, str]] = attrs.field(factory=list)
    handlers: dict[type, Callable] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.queue = FairQueue(is_live=lambda job: bool(job.waiting))
        self.admission = Admission(self.settings, self.workers)
        self.placer = TaskPlacer(self.queue, self.workers, self.quotas)
        self.loan_balancer = LoanBalancer(self.workers.pool)
        self.handlers = {
            inputs.Submit: self._submit,
            inputs.Cancel: self._cancel,
            inputs.WorkerAdded: self._worker_added,
            inputs.WorkerOpened: self._worker_opened,
            inputs.WorkerLost: self._worker_lost,
            inputs.TasksFinished: self._tasks_finished,
            inputs.TasksRejected: self._tasks_rejected,
            inputs.WorkerIsolated: self._worker_isolated,
            inputs.UsageReported: self._usage_reported,
            inputs.Assigned: self._assigned,
            inputs.LoanHeld: self._loan_held,
            inputs.LoanWanted: self._loan_wanted,
            inputs.LoanGranted: self._loan_granted,
            inputs.LoanReturned: self._loan_returned,
            inputs.LoansRecalled: self._loans_recalled,
            inputs.PeerDead: self._peer_dead,
            inputs.PeerDemand: self._peer_demand,
            inputs.QuotasSet: self._quotas_set,
            inputs.LimitsSet: self._limits_set,
            inputs.OwnerClosed: self._owner_closed,
            inputs.OwnershipDoubted: self._ownership_doubted,
            inputs.OwnershipConfirmed: self._ownership_confirmed,
            inputs.OwnerNamed: self._owner_named,
            inputs.Drain: self._drain,
            inputs.Tick: self._tick,
        }

    def handle(self, input: inputs.Input, now: float) -> list[out.Effect]:
        """Handle one input; return the effects to carry out, in order.

        ``now`` is in seconds on this instance's monotonic clock.
        """
        effects = self.loan_balancer.check_pause(now)
        effects += self.handlers[type(input)](input, now)
        if self.doubted_at is None:
            effects += self.placer.place_waiting(now)
        effects += self.loan_balancer.balance(self.placer.backlog, now)
        return effects

    def demands(self) -> dict[str, int]:
        """Return the running and waiting millicores by team, which peers use to divide quotas."""
        return self.placer.demands()

    def _submit(self, input: inputs.Submit, now: float) -> list[out.Effect]:
        job = Job(input.id, input.caller, input.request, now)
        refusal = self._refusal(job, now)
        if refusal is not None:
            return [out.JobRefused(input.id, refusal)]
        self.jobs[str(input.id)] = job
        self.placer.add(job)
        if job.request.deadline_ms is not None:
            deadline_at = now + job.request.deadline_ms / MILLISECONDS_PER_SECOND
            heappush(self.deadlines, (deadline_at, str(job.id)))
        return []

    def _refusal(self, job: Job, now: float) -> Refusal | None:
        if self.is_draining:
            detail = "This instance is leaving; use a new id from another one."
            return Refusal(ErrorType.DRAINING, ExecutionStatus.NOT_RUN, detail, 0)
        if str(job.id.issuer) != self.owner:
            detail = "The incarnation that issued this id is closed; use a new id."
            return Refusal(ErrorType.OWNER_CLOSED, ExecutionStatus.NOT_RUN, detail)
        return self.admission.refusal(job, self.placer.waiting_work(), now)

    def _settle(self, job: Job, refusal: Refusal | None, now: float) -> list[out.Effect]:
        """Finalize ``job``, as failed if ``refusal`` is given, and stop its running tasks."""
        stops: list[out.Effect] = [
            out.StopTasks(worker, str(job.id)) for worker in job.running_by_worker()
        ]
        if refusal is not None:
            job.fail(refusal, now)
        self.placer.remove_waiting(job)
        self.settled[str(job.id)] = now
        self.settled_tasks += len(job.states)
        return [*stops, out.JobSettled(job.id)]

    def _cancel(self, input: inputs.Cancel, now: float) -> list[out.Effect]:
        job = self.jobs.get(str(input.id))
        if job is None or job.is_settled:
            return []
        claim = ExecutionStatus.MAY_HAVE_RUN if job.has_started else ExecutionStatus.NOT_RUN
        refusal = Refusal(ErrorType.CANCELLED, claim, "The caller cancelled the job.")
        return self._settle(job, refusal, now)

    def _worker_added(self, input: inputs.WorkerAdded, now: float) -> list[out.Effect]:
        is_replaced = self.workers.add(input.worker, input.incarnation, input.total)
        return self._fail_lost_tasks(input.worker, now) if is_replaced else []

    def _worker_opened(self, input: inputs.WorkerOpened, now: float) -> list[out.Effect]:
        if not self.workers.open(input.worker, input.incarnation):
            return []
        known = set(input.known)
        for job in list(self.jobs.values()):
            for index, worker in list(job.workers.items()):
                if worker == input.worker and (str(job.id), index) not in known:
                    # The worker rejects the previous session's messages, so a late start is void.
                    self._requeue(job, index, input.worker)
        return [
            out.StopTasks(input.worker, job_id)
            for job_id in {job_id for job_id, _ in known}
            if job_id not in self.jobs or self.jobs[job_id].is_settled
        ]

    def _worker_lost(self, input: inputs.WorkerLost, now: float) -> list[out.Effect]:
        if not self.workers.close(input.worker, input.incarnation, input.is_leaving):
            return []
        return [] if input.is_leaving else self._fail_lost_tasks(input.worker, now)

    def _fail_lost_tasks(self, worker: str, now: float) -> list[out.Effect]:
        effects: list[out.Effect] = []
        for job in list(self.jobs.values()):
            lost = [index for index, name in job.workers.items() if name == worker]
            for index in lost:
                self._release_capacity(job, index, worker)
                detail = f"Worker {worker} was lost while task {index} may have been running."
                was_settled = job.is_settled
                job.mark_lost(
                    index, Refusal(ErrorType.TASK_LOST, ExecutionStatus.MAY_HAVE_RUN, detail), now
                )
                if not was_settled:
                    effects += self._settle(job, None, now)
        return effects

    def _tasks_finished(self, input: inputs.TasksFinished, now: float) -> list[out.Effect]:
        effects: list[out.Effect] = []
        for job_id, result in input.results:
            job = self.jobs.get(job_id)
            if job is None or result.index >= len(job.states):
                self.late_results += 1
                continue
            was_settled = job.is_settled
            if not job.finish(result, now):
                self.late_results += 1
                continue
            self._release_capacity(job, result.index, input.worker)
            effects += self._update_health(job, result, input.worker, now)
            if was_settled:
                # A task that was stopped because its job was settled reports no late result.
                self.late_results += not result.is_stopped
                job.compact()
            elif job.is_settled:
                effects += self._settle(job, None, now)
                job.compact()
        return effects

    def _update_health(
        self, job: Job, result: TaskResult, worker: str, now: float
    ) -> list[out.Effect]:
        """Update worker health and the run time ratio; failures in a cancelled job do not count."""
        if result.is_stopped:
            return []
        if result.is_ok:
            expected = job.request.tasks[result.index].expected_ms
            self.workers.health.on_success(worker, result.run_ms, expected)
            self.admission.on_result(result.run_ms, expected)
        elif not job.is_settled or job.failure.type is not ErrorType.CANCELLED:
            health = self.workers.health
            if health.on_failure(worker, str(job.id), now):
                incarnation = self.workers.states[worker].incarnation
                seconds = health.record_for(worker).isolation_seconds
                return [out.AnnounceIsolation(worker, incarnation, seconds)]
        return []

    def _worker_isolated(self, input: inputs.WorkerIsolated, now: float) -> list[out.Effect]:
        state = self.workers.states.get(input.worker)
        if state is not None and state.incarnation == input.incarnation:
            self.workers.health.isolate(input.worker, input.seconds, now)
        return []

    def _tasks_rejected(self, input: inputs.TasksRejected, now: float) -> list[out.Effect]:
        for job_id, index in input.tasks:
            job = self.jobs.get(job_id)
            if job is not None and job.workers.get(index) == input.worker:
                self._requeue(job, index, input.worker)
                self.rejected_starts += 1
        self.workers.block(input.worker, now + REJECT_PAUSE_SECONDS)
        return []

    def _requeue(self, job: Job, index: int, worker: str) -> None:
        self._release_capacity(job, index, worker)
        if job.requeue(index):
            self.placer.requeue(job, index)
        else:
            job.workers.pop(index, None)

    def _release_capacity(self, job: Job, index: int, worker: str) -> None:
        demand = job.request.tasks[index].demand
        self.workers.pool.release(worker, demand)
        self.placer.on_task_end(job, demand)

    def _usage_reported(self, input: inputs.UsageReported, now: float) -> list[out.Effect]:
        self.workers.pool.report(input.worker, input.usage)
        return []

    def _assigned(self, input: inputs.Assigned, now: float) -> list[out.Effect]:
        held = self.workers.assign(input.assignment)
        return [out.ReportHeldLoans(tuple(held))] if held else []

    def _loan_held(self, input: inputs.LoanHeld, now: float) -> list[out.Effect]:
        self.workers.pool.record_loans(input.peer, input.grants)
        return []

    def _loan_wanted(self, input: inputs.LoanWanted, now: float) -> list[out.Effect]:
        self.workers.pool.add_loan_request(input.peer, input.demand, input.count, now)
        return []

    def _loan_granted(self, input: inputs.LoanGranted, now: float) -> list[out.Effect]:
        self.workers.pool.borrow(input.grants)
        if self.placer.backlog is not None:
            self.loan_balancer.on_granted(self.placer.backlog.demand, input.grants)
        return []

    def _loan_returned(self, input: inputs.LoanReturned, now: float) -> list[out.Effect]:
        self.workers.pool.record_returns(input.peer, input.grants)
        return []

    def _loans_recalled(self, input: inputs.LoansRecalled, now: float) -> list[out.Effect]:
        self.workers.pool.recall(input.workers)
        return []

    def _peer_dead(self, input: inputs.PeerDead, now: float) -> list[out.Effect]:
        self.workers.pool.drop_peer(input.peer)
        self.quotas.drop_peer(input.peer)
        return []

    def _peer_demand(self, input: inputs.PeerDemand, now: float) -> list[out.Effect]:
        self.quotas.set_peer_demand(input.peer, input.demands, input.is_whole)
        return []

    def _quotas_set(self, input: inputs.QuotasSet, now: float) -> list[out.Effect]:
        self.quotas.limits = dict(input.limits)
        return []

    def _limits_set(self, input: inputs.LimitsSet, now: float) -> list[out.Effect]:
        self.settings = attrs.evolve(
            self.settings,
            queued_tasks=input.queued_tasks,
            longest_wait_ms=input.longest_wait_ms,
        )
        self.admission.settings = self.settings
        return []

    def _owner_closed(self, input: inputs.OwnerClosed, now: float) -> list[out.Effect]:
        """Refuse jobs without started tasks; the workers' records decide the other jobs."""
        if input.owner != self.owner:
            return []
        effects: list[out.Effect] = [out.OwnerRetired(input.owner)]
        self.owner = ""
        for job in list(self.jobs.values()):
            if job.is_settled or str(job.id.issuer) != input.owner:
                continue
            if job.has_started:
                effects.append(self._give_up_job(job))
            else:
                detail = "A peer closed this instance's ownership; use a new id."
                refusal = Refusal(ErrorType.OWNER_CLOSED, ExecutionStatus.NOT_RUN, detail, 0)
                effects += self._settle(job, refusal, now)
        return effects

    def _ownership_doubted(self, input: inputs.OwnershipDoubted, now: float) -> list[out.Effect]:
        self.doubted_at = now
        return []

    def _ownership_confirmed(
        self, input: inputs.OwnershipConfirmed, now: float
    ) -> list[out.Effect]:
        """Start tasks again, unless the process was paused again after the store was asked."""
        is_current = self.doubted_at is not None and input.asked_at >= self.doubted_at
        if input.owner == self.owner and is_current:
            self.doubted_at = None
        return []

    def _owner_named(self, input: inputs.OwnerNamed, now: float) -> list[out.Effect]:
        self.owner = input.owner
        self.doubted_at = None
        return []

    def _give_up_job(self, job: Job) -> out.Effect:
        self.placer.remove_waiting(job)
        for index, worker in job.workers.items():
            self._release_capacity(job, index, worker)
        del self.jobs[str(job.id)]
        return out.JobOwnershipLost(job.id, job.request.team)

    def _drain(self, input: inputs.Drain, now: float) -> list[out.Effect]:
        self.is_draining = True
        effects: list[out.Effect] = []
        if not input.is_final:
            return effects
        for job in list(self.jobs.values()):
            if not job.waiting:
                continue
            claim = ExecutionStatus.MAY_HAVE_RUN if job.has_started else ExecutionStatus.NOT_RUN
            detail = "The instance left before the job could be started whole."
            effects += self._settle(job, Refusal(ErrorType.DRAINING, claim, detail, 0), now)
        return effects

    def _tick(self, input: inputs.Tick, now: float) -> list[out.Effect]:
        effects: list[out.Effect] = []
        while self.deadlines and self.deadlines[0][0] < now:
            job = self.jobs.get(heappop(self.deadlines)[1])
            if job is not None and job.waiting:
                claim = ExecutionStatus.MAY_HAVE_RUN if job.has_started else ExecutionStatus.NOT_RUN
                detail = "The job's deadline passed before all of its tasks had started."
                effects += self._settle(job, Refusal(ErrorType.DEADLINE_PASSED, claim, detail), now)
        self._evict_settled(now)
        return effects

    def _evict_settled(self, now: float) -> None:
        cutoff = now - self.settings.retention_seconds
        for job_id in list(islice(self.settled, MAX_EVICTIONS_PER_TICK)):
            is_over_limit = (
                len(self.settled) > self.settings.retained_jobs
                or self.settled_tasks > self.settings.retained_tasks
            )
            if self.settled[job_id] > cutoff and not is_over_limit:
                break
            job = self.jobs[job_id]
            if not job.workers:
                self.settled_tasks -= len(job.states)
                del self.jobs[job_id]
                del self.settled[job_id]
