"""The scheduler aggregate: jobs and the workers that this instance holds, without input or output.

A task runs at most once at a time. It is started again only after its last attempt has ended, or
can have run nowhere, or its lease has surely run out.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.pool import adoption, ordering, placing, refusing
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.effects import (
    JobEnded,
    PollWorker,
    PoolEffect,
    StartRun,
    StopRun,
    UnsuccessfulRun,
)
from cranberryshore.pool.experience import Experience
from cranberryshore.pool.held_worker import (
    LEASE_OVER_SECONDS,
    EndKind,
    HeldWorker,
    HoldState,
    RunEnd,
    RunKey,
    RunState,
    WorkerStatus,
)
from cranberryshore.pool.job_summary import account_of
from cranberryshore.pool.placing import Candidate
from cranberryshore.pool.refusing import RESUMED_WAIT_SECONDS
from cranberryshore.pool.run_book import RunBook
from cranberryshore.pool.verifying import Verification, release_verified
from cranberryshore.pool.work import Outcome, PoolJob, PoolTask, TaskPhase, WorkRequest

STOP_AGAIN_SECONDS = 0.15
"""A stop that has shown no effect for so long is sent again; workers stop within 50 ms."""

SILENT_LOOKS = 2
"""Looks without an answer after which nothing is placed on a worker."""

ADOPT_SECONDS = 0.15
"""Runs of another holder are stopped unless their jobs are handed over in this time: entry
instances hear of a new scheduler within some milliseconds."""

ATTEMPT_STEP = 8
"""Added to a number of attempt that a worker has called too low."""


@attrs.define(eq=False)
class Scheduler:
    """Decides which task runs where and when, and how jobs end.

    Every method returns nothing; what is to be done stands in ``effects`` until it is taken.

    Parameters
    ----------
    config : PoolConfig
        Queues in force.
    changed_at : float or None
        When something was told since jobs were placed last.
    covers_all : bool
        Whether ``workers`` are all that another scheduler may have used: the list of workers was
        read since this scheduler began, and no availability zone is left out.
    """

    config: PoolConfig = PoolConfig()
    covers_all_workers: bool = False
    jobs: dict[str, PoolJob] = attrs.field(factory=dict)
    workers: dict[str, HeldWorker] = attrs.field(factory=dict)
    experience: Experience = attrs.field(factory=Experience)
    effects: list[PoolEffect] = attrs.field(factory=list)
    book: RunBook = attrs.field(factory=RunBook)
    verification: Verification = attrs.field(factory=Verification)
    changed_at: float | None = None

    def take_effects(self) -> list[PoolEffect]:
        """Place what can be placed after all that was told, and return what is to be done, once."""
        if self.changed_at is not None:
            self._place(self.changed_at)
            self.changed_at = None
        effects, self.effects = self.effects, []
        return effects

    def waiting_tasks(self) -> int:
        """Return the number of tasks that wait for room."""
        return sum(job.waiting_tasks for job in self.jobs.values())

    # Jobs

    def submit(self, request: WorkRequest, entry: str, now: float) -> None:
        """Accept a job, or let its new entry instance wait for the job that is known already."""
        known = self.jobs.get(request.id)
        if known is not None:
            known.entry = entry
            known.gives_up_at = now + (request.budget_ms - request.waited_ms) / 1000
            return
        queue = self.config.get_queue(request.queue)
        if queue is None:
            self._refuse(request.id, entry, "The queue is not declared.", 0)
            return
        job = PoolJob(request, entry, now - request.waited_ms / 1000)
        job.set_times(queue, self.experience.job_seconds(job))
        if not self._can_ever_run(job):
            self._refuse(request.id, entry, "No worker can hold a task of the job.", 0)
            return
        self.book.recall(job)
        self.jobs[request.id] = job
        if request.is_resumed:
            job.held_back_until = now + RESUMED_WAIT_SECONDS
            self._adopt_job(job, now)
            self.verification.want(now)
            self._verify(now)
        self.changed_at = now

    def _verify(self, now: float) -> None:
        self.effects += [
            PollWorker(name) for name in self.verification.due(self.workers.values(), now)
        ]

    def _can_ever_run(self, job: PoolJob) -> bool:
        members = list(self._members(job))
        if not members:
            return True
        demands = {step.demand for step in job.request.steps}
        return all(any(worker.total.holds(demand) for worker in members) for demand in demands)

    def cancel(self, job_id: str, entry: str, now: float) -> None:
        """Stop a job whose caller has left."""
        job = self.jobs.get(job_id)
        if job is not None and job.entry == entry:
            self._end(job, None, "", now)
            self.changed_at = now

    def entry_lost(self, entry: str, now: float) -> None:
        """Stop all jobs of an entry instance that is silent or follows another scheduler.

        It is told, so that it hands them over again if it is alive and their callers still wait.
        """
        for job in [job for job in self.jobs.values() if job.entry == entry]:
            self._end(job, Outcome.DROPPED, "The entry instance fell silent.", now)
        self.changed_at = now

    def _refuse(self, job_id: str, entry: str, detail: str, retry_after_ms: int) -> None:
        self.effects.append(JobEnded(entry, job_id, Outcome.REFUSED, detail, retry_after_ms))

    def _end(
        self, job: PoolJob, outcome: Outcome | None, detail: str, now: float, retry_ms: int = 0
    ) -> None:
        """End a job, stop what still runs of it, and tell its entry instance if it waits."""
        job.is_ended = True
        del self.jobs[job.request.id]
        self.book.remember(job)
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED:
                self._stop(task.worker, (job.name_of(task), task.attempt), now)
        if outcome is not None:
            summary = account_of(job, self.experience.job_seconds(job), len(self.jobs), now)
            end = JobEnded(job.entry, job.request.id, outcome, detail, retry_ms, summary)
            self.effects.append(end)

    # Workers

    def add_worker(self, worker: HeldWorker) -> None:
        """Take over a worker; nothing is placed there before it has answered a look."""
        self.workers[worker.name] = worker
        self.effects.append(PollWorker(worker.name))

    def release(self, name: str, now: float) -> None:
        """Give up a worker that is gone; what ran there counts as lost after its lease."""
        worker = self.workers.get(name)
        if worker is None:
            return
        worker.state = HoldState.LOST
        worker.is_draining = True
        worker.lost_at = now

    def record_status(
        self, name: str, answer: WorkerStatus, token: int, asked_at: float, now: float
    ) -> None:
        """Take a worker's answer to a look."""
        worker = self.workers.get(name)
        if worker is None:
            return
        for end in worker.record_status(answer, token, asked_at, now):
            self._run_ended(worker, end, now)
        for key in sorted(worker.strangers):
            self._adopt_run(worker, key, now)
        if now >= worker.strangers_since + ADOPT_SECONDS:
            for key in sorted(worker.strangers):
                self.effects.append(StopRun(name, key, worker.token))
        self._stop_stragglers(worker, {(run.task, run.attempt) for run in answer.running}, now)
        for key, run in worker.runs.items():
            if run.state is RunState.STOPPING and now > run.stop_asked_at + STOP_AGAIN_SECONDS:
                self._stop(name, key, now)
        self.changed_at = now

    def _adopt_job(self, job: PoolJob, now: float) -> None:
        """Take over what another scheduler has started of a job, and what has ended since."""
        for task, end in adoption.take_ends(job, self.workers.values()):
            task.attempt = max(task.attempt, end.attempt)
            if end.kind is EndKind.DONE and task.phase is TaskPhase.WAITING:
                if not job.has_started:
                    job.has_started, job.started_at = True, now
                job.was_adopted = True
                job.waiting_tasks -= 1
                self._task_done(job, task, now)
        for worker in self.workers.values():
            for key in sorted(worker.strangers):
                if adoption.job_id_of(key) == job.request.id:
                    self._adopt_run(worker, key, now)

    def _adopt_run(self, worker: HeldWorker, key: RunKey, now: float) -> None:
        """Take over a run that another scheduler has started, if its job was handed over."""
        job = self.jobs.get(adoption.job_id_of(key))
        task = adoption.task_of(job, key) if job is not None else None
        if task is not None and not self.book.is_active(key[0]):
            task.attempt = max(task.attempt, key[1])
            self.book.begin(job, task, worker.name, key, now)
            worker.adopt(key, job.step_of(task).demand, now)

    def record_poll_failure(self, name: str, failures: int, now: float) -> None:
        """Record that a worker did not answer so many looks in a row.

        One lost answer changes nothing: a look that is carried out late extends no lease, since
        the end that it carries is a time.
        """
        worker = self.workers.get(name)
        if worker is not None and failures >= SILENT_LOOKS:
            worker.fall_silent()

    def fenced(self, name: str, now: float) -> None:
        """Record that a worker obeys another holder."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.lose(now)

    def start_answered(self, name: str, key: RunKey, now: float) -> None:
        """Record that a worker has started a run."""
        if name in self.workers:
            self.workers[name].confirm(key, now)

    def start_rejected(self, name: str, key: RunKey, is_attempt_low: bool, now: float) -> None:
        """Record that a worker has not started a run and never will."""
        worker = self.workers.get(name)
        run = worker.drop(key) if worker is not None else None
        if run is None:
            return
        if is_attempt_low:
            self.book.owners[key][1].attempt += ATTEMPT_STEP
        self._run_ended(worker, RunEnd(key, EndKind.NEVER_BEGAN, run), now)
        self.changed_at = now

    def start_unanswered(self, name: str, token: int, now: float) -> None:
        """Void the orders that a worker has not answered, and look what became of them."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.raise_token(token)
            worker.fall_silent()
            self.effects.append(PollWorker(name))

    # Time

    def tick(self, now: float) -> None:
        """Refuse what can no longer be served, and give up runs whose lease has run out."""
        for name, worker in list(self.workers.items()):
            for end in worker.overdue(now):
                self._run_ended(worker, end, now)
            is_gone = worker.is_draining and worker.state is HoldState.LOST and not worker.runs
            if is_gone and now > worker.lost_at + LEASE_OVER_SECONDS:
                del self.workers[name]
        for job in list(self.jobs.values()):
            self._check_hope(job, now)
        self._verify(now)
        self.changed_at = now

    def _stop_stragglers(self, worker: HeldWorker, listed: set[RunKey], now: float) -> None:
        """Stop listed runs that take too long, so that their tasks start elsewhere.

        A run that is not in the latest list may have ended while looks were lost.
        """
        for key, run in worker.runs.items():
            if run.state is not RunState.RUNNING or key not in listed:
                continue
            if self.experience.stop_straggler(worker.name, run, *self.book.owners[key], now):
                self._stop(worker.name, key, now)

    def _check_hope(self, job: PoolJob, now: float) -> None:
        if job.has_started:
            if now > job.gives_up_at:
                self._end(job, Outcome.GIVEN_UP, "The caller's time is over.", now)
            return
        earliest = refusing.earliest_start(job, now)
        if refusing.is_hopeless(job, self.experience.job_seconds(job), earliest):
            detail = "The job can no longer be answered in time."
            self._end(job, Outcome.REFUSED, detail, now, refusing.RETRY_AFTER_MS)

    # Placing

    def _members(self, job: PoolJob) -> Iterable[HeldWorker]:
        queue = self.config.get_queue(job.request.queue)
        if queue is None:
            return ()
        return (worker for worker in self.workers.values() if worker.service == queue.service)

    def _place(self, now: float) -> None:
        waiting = [job for job in self.jobs.values() if job.waiting_tasks]
        if not waiting:
            return
        if self.covers_all_workers:
            release_verified(waiting, self.workers.values(), now)
        smallest = min(job.smallest_millicores for job in waiting)
        candidates = placing.candidates_of(
            self.workers.values(), smallest, self.experience.health, now
        )
        if not candidates:
            return
        waiting.sort(key=lambda job: ordering.waiting_order(job, now))
        largest = placing.largest_room(candidates)
        for job in waiting:
            if job.smallest_millicores > largest or job.held_back_until > now:
                continue
            if self._place_job(job, candidates, now):
                largest = placing.largest_room(candidates)

    def _place_job(self, job: PoolJob, candidates: list[Candidate], now: float) -> bool:
        """Place what fits of a job; return whether anything was placed."""
        queue = self.config.get_queue(job.request.queue)
        if queue is None:
            return False
        members = [item for item in candidates if item.worker.service == queue.service]
        has_placed = False
        for task in job.startable():
            if self.book.is_active(job.name_of(task)):
                continue
            worker = placing.best_worker(members, job, task)
            if worker is None:
                break
            has_placed |= self._start(job, task, worker, now)
            if not self.experience.health.allowance(worker.name, now):
                members = [item for item in members if item.worker is not worker]
        return has_placed

    def _start(self, job: PoolJob, task: PoolTask, worker: HeldWorker, now: float) -> bool:
        lease_end_ms = worker.lease_end_ms(now)
        if lease_end_ms is None:
            return False
        task.attempt += 1
        key = (job.name_of(task), task.attempt)
        self.book.begin(job, task, worker.name, key, now)
        worker.begin(key, job.step_of(task).demand, now)
        record = self.experience.health.record_for(worker.name)
        record.probe_running = bool(record.isolation_seconds)
        payload = job.request.payload
        self.effects.append(StartRun(worker.name, key, payload, worker.token, lease_end_ms))
        return True

    def _stop(self, name: str, key: RunKey, now: float) -> None:
        worker = self.workers.get(name)
        run = worker.runs.get(key) if worker is not None else None
        if run is not None:
            run.state, run.stop_asked_at = RunState.STOPPING, now
            self.effects.append(StopRun(name, key, worker.token))

    # Ends

    def _run_ended(self, worker: HeldWorker, end: RunEnd, now: float) -> None:
        job, task = self.book.finish(end.key)
        self.experience.take_end(worker.name, end, job, task, now)
        if end.kind is not EndKind.DONE:
            ran_ms = int((now - end.run.started_at) * 1000)
            self.effects.append(UnsuccessfulRun(worker.name, end.key, end.kind, ran_ms))
        if job.is_ended:
            return
        if end.kind is EndKind.DONE:
            self._task_done(job, task, now)
            return
        task.phase, task.worker = TaskPhase.WAITING, ""
        job.waiting_tasks += 1
        if end.kind is not EndKind.NEVER_BEGAN:
            task.avoided.add(worker.name)
        if end.kind is EndKind.FAILED:
            task.failures += 1
            if task.failures >= job.max_attempts:
                self._end(job, Outcome.FAILED, f"Task {end.key[0]} failed too often.", now)

    def _task_done(self, job: PoolJob, task: PoolTask, now: float) -> None:
        task.phase = TaskPhase.DONE
        job.open_tasks -= 1
        if job.open_tasks == 0:
            self.experience.take_completed(job)
            self._end(job, Outcome.COMPLETED, "", now)
