"""The scheduler aggregate: jobs and the workers that this instance holds, without input or output.

A task runs at most once at a time. It is started again only after its last attempt has ended, or
can have run nowhere, or its lease has surely run out.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.placement.health import PoolHealth
from cranberryshore.pool import ordering, placing, refusing
from cranberryshore.pool.config import LATE_FACTOR, PoolConfig
from cranberryshore.pool.effects import (
    JobAccount,
    JobEnded,
    LookAt,
    PoolEffect,
    RunLost,
    StartRun,
    StopRun,
)
from cranberryshore.pool.held_worker import (
    LEASE_OVER_SECONDS,
    EndKind,
    HeldWorker,
    HoldState,
    LookAnswer,
    RunEnd,
    RunKey,
    RunState,
)
from cranberryshore.pool.learning import RunTimes
from cranberryshore.pool.placing import Candidate
from cranberryshore.pool.work import Outcome, PoolJob, PoolTask, TaskPhase, WorkRequest

STOP_AGAIN_SECONDS = 0.15
"""A stop that has shown no effect for so long is sent again; workers stop within 50 ms."""

RESUMED_WAIT_SECONDS = 1.4
"""Longest wait until nothing of another scheduler can still run: a lease, and 0.3 s to stop it."""

VERIFY_SECONDS = 0.25
"""A new scheduler has mostly looked at all workers after so long, also where an answer is lost."""

SILENT_LOOKS = 2
"""Looks without an answer after which nothing is placed on a worker."""

ADOPT_SECONDS = 0.15
"""Runs of another holder are stopped unless their jobs are handed over in this time: entry
instances hear of a new scheduler within some milliseconds."""

ATTEMPT_STEP = 8
"""Added to a number of attempt that a worker has called too low."""

REMEMBERED_ATTEMPTS = 20_000
"""Ended jobs whose attempts are remembered: some minutes at 100 jobs a second."""


@attrs.define(eq=False)
class Scheduler:
    """Decides which task runs where and when, and how jobs end.

    Every method returns nothing; what is to be done stands in ``effects`` until it is taken.

    Parameters
    ----------
    config : PoolConfig
        Queues in force.
    covers_all : bool
        Whether ``workers`` are all that another scheduler may have used: the list of workers was
        read since this scheduler began, and no availability zone is left out.
    """

    config: PoolConfig = PoolConfig()
    covers_all: bool = False
    jobs: dict[str, PoolJob] = attrs.field(factory=dict)
    workers: dict[str, HeldWorker] = attrs.field(factory=dict)
    health: PoolHealth = attrs.field(factory=PoolHealth)
    run_times: RunTimes = attrs.field(factory=RunTimes)
    effects: list[PoolEffect] = attrs.field(factory=list)
    owners: dict[RunKey, tuple[PoolJob, PoolTask]] = attrs.field(factory=dict)
    active_names: dict[str, int] = attrs.field(factory=dict)
    attempts: dict[str, int] = attrs.field(factory=dict)

    def take_effects(self) -> list[PoolEffect]:
        """Return what is to be done, once."""
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
        queue = self.config.named(request.queue)
        if queue is None:
            self._refuse(request.id, entry, "The queue is not declared.", 0)
            return
        job = PoolJob(request, entry, now - request.waited_ms / 1000)
        self._set_times(job, now)
        job.priority, job.max_attempts = queue.priority, queue.max_attempts
        if not self._can_ever_run(job):
            self._refuse(request.id, entry, "No worker can hold a task of the job.", 0)
            return
        first = self.attempts.get(request.id, 0)
        for task in job.tasks:
            task.attempt = first
        self.jobs[request.id] = job
        if request.is_resumed:
            job.held_back_until = now + RESUMED_WAIT_SECONDS
            self._adopt_job(job, now)
            self.effects += [LookAt(name) for name in self.workers]
        self._place(now)

    def _set_times(self, job: PoolJob, now: float) -> None:
        queue = self.config.named(job.request.queue)
        work = self.run_times.expected_ms(queue.name, job.request_work_ms) / 1000
        aim = queue.aim_of(work * 1000) / 1000
        job.aim_at = job.arrived_at + aim
        job.late_at = job.arrived_at + LATE_FACTOR * aim
        job.gives_up_at = job.arrived_at + job.request.budget_ms / 1000
        job.start_by = job.aim_at - work - refusing.ANSWER_SECONDS

    def _can_ever_run(self, job: PoolJob) -> bool:
        members = list(self._members(job))
        if not members:
            return True
        return all(
            any(worker.total.holds(job.step_of(task).demand) for worker in members)
            for task in job.tasks
        )

    def cancel(self, job_id: str, entry: str, now: float) -> None:
        """Stop a job whose caller has left."""
        job = self.jobs.get(job_id)
        if job is not None and job.entry == entry:
            self._end(job, None, "", now)
            self._place(now)

    def entry_lost(self, entry: str, now: float) -> None:
        """Stop all jobs of an entry instance that is silent or follows another scheduler.

        It is told, so that it hands them over again if it is alive and their callers still wait.
        """
        for job in [job for job in self.jobs.values() if job.entry == entry]:
            self._end(job, Outcome.DROPPED, "The entry instance fell silent.", now)
        self._place(now)

    def _refuse(self, job_id: str, entry: str, detail: str, retry_after_ms: int) -> None:
        self.effects.append(JobEnded(entry, job_id, Outcome.REFUSED, detail, retry_after_ms))

    def _end(
        self, job: PoolJob, outcome: Outcome | None, detail: str, now: float, retry_ms: int = 0
    ) -> None:
        """End a job, stop what still runs of it, and tell its entry instance if it waits."""
        job.is_ended = True
        del self.jobs[job.request.id]
        self._remember_attempts(job)
        for task in job.tasks:
            if task.phase is TaskPhase.PLACED:
                self._stop(task.worker, (self._name(job, task), task.attempt), now)
        if outcome is not None:
            account = self._account(job, now)
            end = JobEnded(job.entry, job.request.id, outcome, detail, retry_ms, account)
            self.effects.append(end)

    def _account(self, job: PoolJob, now: float) -> JobAccount:
        started_at = job.started_at if job.has_started else now
        return JobAccount(
            job.request.queue,
            int((started_at - job.arrived_at) * 1000),
            int((now - job.arrived_at) * 1000),
            int(self.run_times.expected_ms(job.request.queue, job.request_work_ms)),
            int(job.longest_run_ms),
            int((job.aim_at - job.arrived_at) * 1000),
            len(self.jobs),
            tuple(f"{task.last_worker}/{task.attempt}" for task in job.tasks if task.attempt),
        )

    def _remember_attempts(self, job: PoolJob) -> None:
        last = max(task.attempt for task in job.tasks)
        if last:
            self.attempts.pop(job.request.id, None)
            self.attempts[job.request.id] = last
        while len(self.attempts) > REMEMBERED_ATTEMPTS:
            del self.attempts[next(iter(self.attempts))]

    # Workers

    def hold(self, worker: HeldWorker) -> None:
        """Take over a worker; nothing is placed there before it has answered a look."""
        self.workers[worker.name] = worker
        self.effects.append(LookAt(worker.name))

    def release(self, name: str, now: float) -> None:
        """Give up a worker that is gone; what ran there counts as lost after its lease."""
        worker = self.workers.get(name)
        if worker is None:
            return
        worker.state = HoldState.LOST
        worker.is_draining = True
        worker.lost_at = now

    def look_answered(
        self, name: str, answer: LookAnswer, token: int, asked_at: float, now: float
    ) -> None:
        """Take a worker's answer to a look."""
        worker = self.workers.get(name)
        if worker is None:
            return
        for end in worker.look_answered(answer, token, asked_at, now):
            self._run_ended(worker, end, now)
        for key in sorted(worker.strangers):
            self._adopt_run(worker, key, now)
        if now >= worker.strangers_since + ADOPT_SECONDS:
            for key in sorted(worker.strangers):
                self.effects.append(StopRun(name, key, worker.token))
        for key, run in worker.runs.items():
            if run.state is RunState.STOPPING and now > run.stop_asked_at + STOP_AGAIN_SECONDS:
                self._stop(name, key, now)
        self._place(now)

    def _adopt_job(self, job: PoolJob, now: float) -> None:
        """Take over what another scheduler has started of a job, and what has ended since."""
        names = {self._name(job, task): task for task in job.tasks}
        for worker in self.workers.values():
            for name in sorted(names.keys() & worker.strange_ends.keys()):
                end, task = worker.strange_ends.pop(name), names[name]
                task.attempt = max(task.attempt, end.attempt)
                if end.kind is EndKind.DONE and task.phase is TaskPhase.WAITING:
                    job.has_started = True
                    job.waiting_tasks -= 1
                    self._task_done(job, task, now)
            for key in sorted(worker.strangers):
                if key[0] in names:
                    self._adopt_run(worker, key, now)

    def _adopt_run(self, worker: HeldWorker, key: RunKey, now: float) -> None:
        """Take over a run that another scheduler has started, if its job was handed over."""
        job = self.jobs.get(key[0].partition(".")[0])
        if job is None or self.active_names.get(key[0]):
            return
        for task in job.tasks:
            if self._name(job, task) == key[0] and task.phase is TaskPhase.WAITING:
                task.attempt = max(task.attempt, key[1])
                self._note_start(job, task, worker, key, now)
                worker.adopt(key, job.step_of(task).demand, now)

    def look_failed(self, name: str, failures: int, now: float) -> None:
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
        if is_attempt_low and key in self.owners:
            self.owners[key][1].attempt += ATTEMPT_STEP
        self._run_ended(worker, RunEnd(key, EndKind.NEVER_BEGAN, run), now)
        self._place(now)

    def start_unanswered(self, name: str, token: int, now: float) -> None:
        """Void the orders that a worker has not answered, and look what became of them."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.raise_token(token)
            worker.fall_silent()
            self.effects.append(LookAt(name))

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
        self._place(now)

    def _check_hope(self, job: PoolJob, now: float) -> None:
        if job.has_started:
            if now > job.gives_up_at:
                self._end(job, Outcome.GIVEN_UP, "The caller's time is over.", now)
            return
        expected = self.run_times.expected_ms(job.request.queue, job.request_work_ms) / 1000
        if refusing.is_hopeless(job, expected, self._earliest_start(job, now)):
            detail = "The job can no longer be answered in time."
            self._end(job, Outcome.REFUSED, detail, now, refusing.RETRY_AFTER_MS)

    @staticmethod
    def _earliest_start(job: PoolJob, now: float) -> float:
        """Return when a job may start, of one handed over once the workers ought to be known."""
        is_verifying = now < job.held_back_until - RESUMED_WAIT_SECONDS + VERIFY_SECONDS
        return now if is_verifying else max(now, job.held_back_until)

    # Placing

    def _members(self, job: PoolJob) -> Iterable[HeldWorker]:
        queue = self.config.named(job.request.queue)
        if queue is None:
            return ()
        return (worker for worker in self.workers.values() if worker.service == queue.service)

    def _place(self, now: float) -> None:
        waiting = [job for job in self.jobs.values() if job.waiting_tasks]
        if not waiting:
            return
        smallest = min(job.smallest_millicores for job in waiting)
        candidates = [
            Candidate(worker, self.health.preference(worker.name))
            for worker in self.workers.values()
            if worker.room.millicores >= smallest
            and worker.is_usable()
            and self.health.allowance(worker.name, now) > 0
        ]
        if not candidates:
            return
        waiting.sort(key=lambda job: ordering.waiting_order(job, now))
        largest = _largest_room(candidates)
        for job in waiting:
            if job.smallest_millicores > largest:
                continue
            if job.held_back_until > now and not self._is_verified(job):
                continue
            if self._place_job(job, candidates, now):
                largest = _largest_room(candidates)

    def _is_verified(self, job: PoolJob) -> bool:
        """Tell whether every worker has answered a look since a resumed job arrived."""
        if not self.covers_all:
            return False
        arrived = job.held_back_until - RESUMED_WAIT_SECONDS
        is_verified = all(
            worker.looked_at >= arrived and not worker.strangers for worker in self.workers.values()
        )
        if is_verified:
            job.held_back_until = 0.0
        return is_verified

    def _place_job(self, job: PoolJob, candidates: list[Candidate], now: float) -> bool:
        """Place what fits of a job; return whether anything was placed."""
        queue = self.config.named(job.request.queue)
        if queue is None:
            return False
        members = [item for item in candidates if item.worker.service == queue.service]
        has_placed = False
        for task in job.startable():
            if self.active_names.get(self._name(job, task)):
                continue
            worker = placing.best_worker(members, job, task)
            if worker is None:
                break
            has_placed |= self._start(job, task, worker, now)
            if not self.health.allowance(worker.name, now):
                members = [item for item in members if item.worker is not worker]
        return has_placed

    def _start(self, job: PoolJob, task: PoolTask, worker: HeldWorker, now: float) -> bool:
        lease_end_ms = worker.lease_end_ms(now)
        if lease_end_ms is None:
            return False
        task.attempt += 1
        key = (self._name(job, task), task.attempt)
        self._note_start(job, task, worker, key, now)
        worker.begin(key, job.step_of(task).demand, now)
        record = self.health.of(worker.name)
        record.probe_running = bool(record.isolation_seconds)
        payload = job.request.payload
        self.effects.append(StartRun(worker.name, key, payload, worker.token, lease_end_ms))
        return True

    def _note_start(
        self, job: PoolJob, task: PoolTask, worker: HeldWorker, key: RunKey, now: float
    ) -> None:
        job.waiting_tasks -= 1
        task.phase, task.worker = TaskPhase.PLACED, worker.name
        task.last_worker = worker.name
        if not job.has_started:
            job.has_started, job.started_at = True, now
        self.owners[key] = (job, task)
        self.active_names[key[0]] = self.active_names.get(key[0], 0) + 1

    def _stop(self, name: str, key: RunKey, now: float) -> None:
        worker = self.workers.get(name)
        run = worker.runs.get(key) if worker is not None else None
        if run is not None:
            run.state, run.stop_asked_at = RunState.STOPPING, now
            self.effects.append(StopRun(name, key, worker.token))

    # Ends

    def _run_ended(self, worker: HeldWorker, end: RunEnd, now: float) -> None:
        job, task = self.owners.pop(end.key)
        name = end.key[0]
        self.active_names[name] -= 1
        if not self.active_names[name]:
            del self.active_names[name]
        self._learn(worker, end, job, task, now)
        if end.kind is not EndKind.DONE:
            ran_ms = int((now - end.run.started_at) * 1000)
            self.effects.append(RunLost(worker.name, end.key, end.kind, ran_ms))
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
                self._end(job, Outcome.FAILED, f"Task {name} failed too often.", now)

    def _task_done(self, job: PoolJob, task: PoolTask, now: float) -> None:
        task.phase = TaskPhase.DONE
        job.open_tasks -= 1
        if job.open_tasks == 0:
            if not job.was_slowed and len(job.request.steps) == 1:
                request = job.request
                self.run_times.learn(request.queue, job.longest_run_ms, job.request_work_ms)
            self._end(job, Outcome.COMPLETED, "", now)

    def _learn(
        self, worker: HeldWorker, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        queue, estimate = job.request.queue, job.step_of(task).estimate_ms
        if end.kind is EndKind.DONE:
            run_ms = (now - end.run.started_at) * 1000
            job.longest_run_ms = max(job.longest_run_ms, run_ms)
            expected = self.run_times.expected_ms(queue, estimate)
            self.health.on_success(worker.name, run_ms, expected)
            job.was_slowed |= self.health.is_slow(worker.name)
        elif end.kind is EndKind.FAILED:
            self.health.on_failure(worker.name, job.request.id, now)

    @staticmethod
    def _name(job: PoolJob, task: PoolTask) -> str:
        return f"{job.request.id}.0.{task.step}.{task.index}"


def _largest_room(candidates: list[Candidate]) -> int:
    return max(item.worker.room.millicores for item in candidates)
