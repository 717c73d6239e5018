"""Callers that submit jobs over persistent connections, and a model of the load balancer."""

import asyncio
import time
from random import Random
from signal import SIGKILL, SIGSTOP, SIGTERM

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientSession, TCPConnector

from cranberryshore.pool import QueueSpec, StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshore_platform.tests import platform_api
from cranberryshore_proof.pool_crashes import CrashModel
from cranberryshore_soak.cancelling import Canceller
from cranberryshore_soak.history import History, job_of
from cranberryshore_soak.processes import DaemonProcess
from cranberryshored.loop_lag import LoopLag
from cranberryshored.platform.session import single_try_session

BUDGET_SECONDS = 3.0
"""Time limit of a job, including its retries."""

RETRY_DELAY_SECONDS = 1.3
"""Delay before an unanswered job is submitted again; the users' callers wait as long."""

UNREAD_REQUEST_SECONDS = 0.2
"""A request sent less than this long before its connection closed may not have been read."""

PROBE_INTERVAL_SECONDS = 1.0
"""Interval of the balancer's readiness probes."""

UNHEALTHY_THRESHOLD = 2
EARLY_DISCONNECT_SHARE = 0.05

DEADLY_SHARE = 0.06
"""Share of the jobs with a task that crashes each worker that starts it."""

SHORT_JOB_TASKS, SHORT_TASK_SECONDS = 8, 0.06
"""Size of the jobs of callers with short ones only."""

PATIENT_SHARE, PATIENT_TASK_SECONDS = 0.15, 1.4
"""Share of the jobs with sound tasks that are long enough to lose several workers."""

LONG_BUDGET_SECONDS = 8.0
"""Time limit of both, so that a task could be started many times."""

COMMON_LABEL, OTHER_LABEL = "a", "b"
"""Label of the workers' usual kind, and of the one that some are of after a restart."""

LABELLED_ENDINGS = "048c"
"""Last digits of the ids of the jobs that need workers of the usual kind."""

OK_STATUS, REFUSED_STATUSES, UNKNOWN_OUTCOME_STATUSES = 200, {429, 503}, {502, 504}


@attrs.define(eq=False)
class Balancer:
    """Probes instances and chooses the one for a new connection.

    Parameters
    ----------
    failed_probes : dict
        Number of consecutive failed readiness probes, by instance.
    """

    daemons: dict[str, DaemonProcess]
    random: Random
    failed_probes: dict[str, int] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start probing."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop probing."""
        self.task.cancel()

    def choose(self) -> DaemonProcess:
        """Return a random instance among those in rotation, or among all if none is."""
        names = sorted(self.daemons)
        ready = [name for name in names if self.failed_probes.get(name, 0) < UNHEALTHY_THRESHOLD]
        return self.daemons[self.random.choice(ready or names)]

    async def _run(self) -> None:
        async with ClientSession(connector=TCPConnector(limit=0, force_close=True)) as session:
            while True:
                probes = [self._probe(session, name) for name in list(self.daemons)]
                await asyncio.gather(asyncio.sleep(PROBE_INTERVAL_SECONDS), *probes)

    async def _probe(self, session: ClientSession, name: str) -> None:
        try:
            is_ready = await platform_api.is_ready(session, self.daemons[name].ready)
        except (ClientError, TimeoutError, OSError):
            # A failed connection counts like an error status.
            is_ready = False
        self.failed_probes[name] = 0 if is_ready else self.failed_probes.get(name, 0) + 1


@attrs.define
class SoakJob:
    """Job of a caller.

    Parameters
    ----------
    count, seconds : int, float
        Number of tasks, and the run time of each.
    begun_at : float
        Time of its creation, on the monotonic clock.
    status : int
        Status of the final response; 0 if there was none.
    disconnects_early : bool
        Whether its caller disconnects if there is no response within part of the budget.
    may_have_run : bool
        Whether an attempt got no response, or one that leaves open whether the job has run.
    """

    id: str
    count: int
    millicores: int
    seconds: float
    begun_at: float
    status: int = 0
    is_completed: bool = False
    disconnects_early: bool = False
    may_have_run: bool = False
    budget_seconds: float = BUDGET_SECONDS

    @property
    def label(self) -> str:
        """Return the label that its workers must have, if there is one."""
        return COMMON_LABEL if self.id[-1] in LABELLED_ENDINGS else ""


@attrs.define(eq=False)
class Callers:
    """Submits random jobs and checks every response.

    Parameters
    ----------
    jobs : dict
        All jobs by id; model workers read demands and durations from it.
    deadly_share, patient_share : float
        Shares of the jobs with a task that crashes its workers, and with long tasks.
    canceller : Canceller or None
        Cancels some of the jobs.
    task_counts : tuple of int
        Numbers of tasks to choose from for a job.
    """

    balancer: Balancer
    queue: QueueSpec
    history: History
    random: Random
    lag: LoopLag
    crash_model: CrashModel
    deadly_share: float = DEADLY_SHARE
    patient_share: float = PATIENT_SHARE
    canceller: Canceller | None = None
    jobs: dict[str, SoakJob] = attrs.field(factory=dict)
    task_counts: tuple[int, ...] = (1, 2, 4, 8)

    def task_demand(self, job: str) -> int:
        """Return the millicores of one task of a job."""
        return self.jobs[job].millicores

    def task_seconds(self, task: str) -> float:
        """Return the run time of a task in seconds."""
        return self.jobs[task.partition(".")[0]].seconds

    def task_label(self, task: str) -> str:
        """Return the label that a task requires."""
        return self.jobs[job_of(task)].label

    def _draw_short_job(self) -> SoakJob:
        """Return a job that occupies several workers for a short time."""
        id, millicores = f"{self.random.getrandbits(64):016x}", self.random.choice((1400, 2000))
        job = SoakJob(id, SHORT_JOB_TASKS, millicores, SHORT_TASK_SECONDS, time.monotonic())
        self.jobs[job.id] = job
        return job

    def _draw_job(self) -> SoakJob:
        job = SoakJob(
            f"{self.random.getrandbits(64):016x}",
            self.random.choice(self.task_counts),
            self.random.choice((900, 1400, 2000)),
            self.random.choice((0.06, 0.06, 0.2, 0.9)),
            time.monotonic(),
            disconnects_early=self.random.random() < EARLY_DISCONNECT_SHARE,
        )
        drawn = self.crash_model.random.random()
        if drawn < self.deadly_share:
            self.crash_model.deadly_tasks.add(f"{job.id}.0.0.0")
        elif drawn < self.deadly_share + self.patient_share:
            job.seconds = PATIENT_TASK_SECONDS
        if drawn < self.deadly_share + self.patient_share:
            job.budget_seconds, job.disconnects_early = LONG_BUDGET_SECONDS, False
        if self.canceller is not None and self.canceller.is_chosen():
            job.seconds, job.budget_seconds = PATIENT_TASK_SECONDS, LONG_BUDGET_SECONDS
            job.disconnects_early = False
            self.canceller.cancel_soon(job.id)
        self.jobs[job.id] = job
        return job

    async def run_caller(self, end: float, pause: float, is_short: bool = False) -> list[SoakJob]:
        """Submit jobs over one connection until a time, with random pauses; return the jobs.

        ``is_short`` is whether all of them are short.
        """
        submitted = []
        async with single_try_session(TCPConnector(limit=1)) as session:
            daemon = self.balancer.choose()
            while time.monotonic() < end:
                await asyncio.sleep(self.random.expovariate(1 / pause))
                job = self._draw_short_job() if is_short else self._draw_job()
                daemon = await self._submit_until_answered(session, daemon, job)
                submitted.append(job)
        return submitted

    async def _submit_until_answered(
        self, session: ClientSession, daemon: DaemonProcess, job: SoakJob
    ) -> DaemonProcess:
        """Submit a job until it is answered; return the instance for the next job."""
        while (left := job.begun_at + job.budget_seconds - time.monotonic()) > 0.05:
            try:
                async with asyncio.timeout(left / 4 if job.disconnects_early else None):
                    answer = await self._submit(session, daemon, job, left)
            except TimeoutError:
                # The caller disconnects early, which closes its connection.
                return self.balancer.choose()
            if answer is None:
                daemon = self.balancer.choose()
            elif answer.status not in UNKNOWN_OUTCOME_STATUSES:
                job.status, job.is_completed = answer.status, answer.is_completed
                if answer.is_failed:
                    self.check_failure(job, answer)
                self._check_answer(job)
                return daemon
            job.may_have_run = True
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return daemon

    async def _submit(
        self, session: ClientSession, daemon: DaemonProcess, job: SoakJob, left: float
    ) -> platform_api.CallerResponse | None:
        """Submit a job once, with ``left`` seconds of its budget; return ``None`` if unanswered."""
        demand, estimate_ms = Capacity(job.millicores, 64), int(job.seconds * 1000)
        step = StepSpec(job.count, demand, estimate_ms, label=job.label)
        work = WorkRequest(job.id, self.queue.name, "", (step,), int(left * 1000))
        sent_at = time.monotonic()
        try:
            return await platform_api.submit(session, daemon.front, self.queue, work)
        except (ClientError, OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and job.disconnects_early:
                raise
            self._check_unanswered(daemon, job, sent_at, error)
            return None

    def _check_unanswered(
        self, daemon: DaemonProcess, job: SoakJob, sent_at: float, error: Exception
    ) -> None:
        """Report an unanswered request unless its instance was killed or suspended."""
        if isinstance(error, ClientConnectorError):
            # The connection was refused, so nothing was sent.
            return
        waited = time.monotonic() - sent_at
        # Lag of this process's event loop delays the detection of a closed connection.
        slack = UNREAD_REQUEST_SECONDS + self.lag.max_seconds
        if waited <= slack or daemon.was_signalled(sent_at - 0.5, {SIGKILL}):
            return
        if daemon.was_signalled(sent_at - job.budget_seconds, {SIGSTOP}):
            return
        if daemon.paused_until > sent_at:
            return
        left = " after SIGTERM" if daemon.was_signalled(sent_at - 10.0, {SIGTERM}) else ""
        self.history.report(
            f"{daemon.name} did not answer {job.id} in {waited:.2f} s{left}: {error!r}"
        )

    def check_failure(self, job: SoakJob, answer: platform_api.CallerResponse) -> None:
        """Check that the workers have seen what a job is said to have failed for."""
        task = answer.crashing_task or answer.failing_task
        self.history.record_event(f"job {job.id} is answered as failed because of {task}")
        if job_of(task) != job.id:
            self.history.report(f"job {job.id} failed because of {task or 'no task'}")
        elif answer.crashing_task:
            self.crash_model.check_given_up(task)
        else:
            self.history.task_given_up(task, self.queue.max_attempts)

    def _check_answer(self, job: SoakJob) -> None:
        if job.status in REFUSED_STATUSES:
            if not job.may_have_run:
                self.history.job_refused(job.id)
        elif job.is_completed:
            self.history.job_completed(job.id, job.count)
        elif job.status != OK_STATUS:
            self.history.report(f"job {job.id} was answered with unexpected status {job.status}")
