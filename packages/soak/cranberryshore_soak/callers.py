"""Callers that submit jobs over connections that they keep, and the balancer in front of them."""

import asyncio
import time
from random import Random
from signal import SIGKILL, SIGSTOP, SIGTERM

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientSession, TCPConnector

from cranberryshore.pool import QueueSpec, StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshore_platform.tests import platform_api
from cranberryshore_soak.history import History
from cranberryshore_soak.processes import DaemonProcess
from cranberryshored.loop_lag import LoopLag
from cranberryshored.platform.session import single_try_session

BUDGET_SECONDS = 3.0
RETRY_SECONDS = 1.3
"""Pause before a job that got no answer is sent again; the users' callers wait as long."""

LOSS_SLACK_SECONDS = 0.2
"""A request that was sent so shortly before its connection ended may not have been read."""

LOOK_SECONDS = 1.0
"""Time between two looks of the balancer."""

MISSES_UNTIL_OUT = 2
LEAVING_SHARE = 0.05
COMPLETED, REFUSALS, UNKNOWN = 200, {429, 503}, {502, 504}


@attrs.define(eq=False)
class Balancer:
    """Tells which instances new connections go to."""

    daemons: dict[str, DaemonProcess]
    random: Random
    misses: dict[str, int] = attrs.field(factory=dict)
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to look at instances."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop."""
        self.task.cancel()

    def choose(self) -> DaemonProcess:
        """Return an instance in rotation, or any if none is."""
        names = sorted(self.daemons)
        ready = [name for name in names if self.misses.get(name, 0) < MISSES_UNTIL_OUT]
        return self.daemons[self.random.choice(ready or names)]

    async def _run(self) -> None:
        async with ClientSession(connector=TCPConnector(limit=0, force_close=True)) as session:
            while True:
                looks = [self._look(session, name) for name in list(self.daemons)]
                await asyncio.gather(asyncio.sleep(LOOK_SECONDS), *looks)

    async def _look(self, session: ClientSession, name: str) -> None:
        try:
            is_ready = await platform_api.is_ready(session, self.daemons[name].ready)
        except (ClientError, TimeoutError, OSError):
            # No answer counts as a miss, like any other status.
            is_ready = False
        self.misses[name] = 0 if is_ready else self.misses.get(name, 0) + 1


@attrs.define
class SoakJob:
    """One caller's job.

    Parameters
    ----------
    begun_at : float
        When it was first sent, on the steady clock.
    status : int
        Status of its last answer; 0 if it had none.
    has_left : bool
        Whether its caller leaves before the answer.
    may_have_run : bool
        Whether it was sent and got no answer, or one that leaves open whether it has run.
    """

    id: str
    count: int
    millicores: int
    seconds: float
    begun_at: float
    status: int = 0
    is_completed: bool = False
    has_left: bool = False
    may_have_run: bool = False


@attrs.define(eq=False)
class Callers:
    """Submits drawn jobs and checks every answer.

    Parameters
    ----------
    jobs : dict
        All jobs by id, for the workers' model.
    task_counts : tuple of int
        Numbers of tasks that jobs are drawn with.
    """

    balancer: Balancer
    queue: QueueSpec
    history: History
    random: Random
    lag: LoopLag
    jobs: dict[str, SoakJob] = attrs.field(factory=dict)
    task_counts: tuple[int, ...] = (1, 2, 4, 8)

    def demand_of(self, job: str) -> int:
        """Return the millicores of one task of a job."""
        return self.jobs[job].millicores

    def seconds_of(self, task: str) -> float:
        """Return how long a task runs."""
        return self.jobs[task.partition(".")[0]].seconds

    def _draw_job(self) -> SoakJob:
        job = SoakJob(
            f"{self.random.getrandbits(64):016x}",
            self.random.choice(self.task_counts),
            self.random.choice((900, 1400, 2000)),
            self.random.choice((0.06, 0.06, 0.2, 0.9)),
            time.monotonic(),
            has_left=self.random.random() < LEAVING_SHARE,
        )
        self.jobs[job.id] = job
        return job

    async def call_until(self, end: float, pause: float) -> list[SoakJob]:
        """Act as one caller until a time; return its jobs."""
        served = []
        async with single_try_session(TCPConnector(limit=1)) as session:
            daemon = self.balancer.choose()
            while time.monotonic() < end:
                await asyncio.sleep(self.random.expovariate(1 / pause))
                job = self._draw_job()
                daemon = await self._serve(session, daemon, job)
                served.append(job)
        return served

    async def _serve(
        self, session: ClientSession, daemon: DaemonProcess, job: SoakJob
    ) -> DaemonProcess:
        """Submit a job until it has an answer; return the instance that is connected then."""
        while (left := job.begun_at + BUDGET_SECONDS - time.monotonic()) > 0.05:
            try:
                async with asyncio.timeout(left / 4 if job.has_left else None):
                    answer = await self._submit(session, daemon, job, left)
            except TimeoutError:
                # The caller leaves, and its connection is closed.
                return self.balancer.choose()
            if answer is None:
                daemon = self.balancer.choose()
            elif answer.status not in UNKNOWN:
                job.status, job.is_completed = answer.status, answer.is_completed
                self._check(job)
                return daemon
            job.may_have_run = True
            await asyncio.sleep(RETRY_SECONDS)
        return daemon

    async def _submit(
        self, session: ClientSession, daemon: DaemonProcess, job: SoakJob, left: float
    ) -> platform_api.CallerResponse | None:
        """Submit a job once; ``None`` if there is no answer."""
        step = StepSpec(job.count, Capacity(job.millicores, 64), int(job.seconds * 1000))
        work = WorkRequest(job.id, self.queue.name, "", (step,), int(left * 1000))
        sent_at = time.monotonic()
        try:
            return await platform_api.submit(session, daemon.front, self.queue, work)
        except (ClientError, OSError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and job.has_left:
                raise
            self._check_lost(daemon, job, sent_at, error)
            return None

    def _check_lost(
        self, daemon: DaemonProcess, job: SoakJob, sent_at: float, error: Exception
    ) -> None:
        """Report a request without an answer unless its instance was killed or stood still."""
        if isinstance(error, ClientConnectorError):
            # Nothing was sent.
            return
        waited = time.monotonic() - sent_at
        # This process sees the end of a connection as late as its own loop runs.
        slack = LOSS_SLACK_SECONDS + self.lag.max_seconds
        if waited <= slack or daemon.was_signalled(sent_at - 0.5, {SIGKILL}):
            return
        if daemon.was_signalled(sent_at - BUDGET_SECONDS, {SIGSTOP}):
            return
        if daemon.paused_until > sent_at:
            return
        left = " after SIGTERM" if daemon.was_signalled(sent_at - 10.0, {SIGTERM}) else ""
        self.history.report(
            f"{daemon.name} did not answer {job.id} in {waited:.2f} s{left}: {error!r}"
        )

    def _check(self, job: SoakJob) -> None:
        if job.status in REFUSALS:
            if not job.may_have_run:
                self.history.job_refused(job.id)
        elif job.is_completed:
            self.history.job_completed(job.id, job.count)
        elif job.status != COMPLETED:
            self.history.report(f"job {job.id} was answered with status {job.status}")
