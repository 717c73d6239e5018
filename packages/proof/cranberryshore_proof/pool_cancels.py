"""Cancels in a simulated pool, and checks of what runs after their acknowledgements."""

import asyncio

import attrs

from cranberryshore.pool import RunKey
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_jobs import SimulatedJob
from cranberryshore_proof.pool_workers import ModelWorker

CANCEL_SECONDS = 3.0
"""Time after the acknowledgement from which no task of the job may start."""

STOP_SECONDS = 0.05
"""Time after that in which a running task has to be stopped."""

CALLER_SECONDS = 5.0
CANCEL_AGAIN_SECONDS = 1.0

REJOIN_SECONDS = 1.0
"""Time after the end of a partition in which instances on its other side may still act alone."""


@attrs.define(eq=False)
class CancellingDeployment(PoolDeployment):
    """Pool whose callers cancel jobs.

    Parameters
    ----------
    acknowledged : dict
        Time of the first acknowledgement of each cancelled job.
    apart_until : float
        Time until which the workers of ``apart_zones`` are excused: these were cut off from the
        platform as well.
    cancels : list of bool
        Answers to all cancels, whether they hold.
    """

    acknowledged: dict[str, float] = attrs.field(factory=dict)
    apart_zones: set[str] = attrs.field(factory=set)
    apart_until: float = float("-inf")
    cancels: list[bool] = attrs.field(factory=list)

    def cut(self, cut_numbers: set[int], zones: set[str]) -> None:
        """See :class:`PoolDeployment`."""
        super().cut(cut_numbers, zones)
        self.apart_zones, self.apart_until = zones, float("inf")

    def heal(self) -> None:
        """See :class:`PoolDeployment`."""
        super().heal()
        self.apart_until = self.now() + REJOIN_SECONDS

    def _check_start(self, worker: ModelWorker, key: RunKey) -> None:
        super()._check_start(worker, key)
        if self._is_late(worker, key, CANCEL_SECONDS):
            self.faults.append(f"{self.now():.3f} {key[0]} starts after its cancel")

    def _is_late(self, worker: ModelWorker, key: RunKey, seconds: float) -> bool:
        if worker.zone in self.apart_zones and self.now() < self.apart_until:
            return False
        acknowledged_at = self.acknowledged.get(key[0].partition(".")[0], float("inf"))
        return self.now() > acknowledged_at + seconds

    async def check_runs(self) -> None:
        """Find the tasks that run on after their job was cancelled, until this is cancelled."""
        while True:
            await asyncio.sleep(0.02)
            for worker in self.workers.values():
                worker.end_due_runs(self.now())
                for key in worker.runs:
                    if self._is_late(worker, key, CANCEL_SECONDS + STOP_SECONDS):
                        self.faults.append(f"{self.now():.3f} {key[0]} runs on after its cancel")

    def submit(self, number: int, seconds: float, count: int = 2) -> SimulatedJob:
        """Let a caller submit a job to an instance, and again until it has an answer."""
        job = SimulatedJob(f"{self.job_count:016x}", self.now())
        self.job_count += 1
        self.demands[job.id], self.seconds[job.id] = 1000, seconds
        self.jobs.append(job)
        self.background.append(asyncio.ensure_future(self.call(number, job, count)))
        return job

    async def cancel(self, number: int, job: str) -> bool:
        """Cancel a job at an instance, and return whether that was acknowledged."""
        address = self.address(number)
        daemon = self.daemons.get(address)
        if daemon is None or address in self.network.frozen:
            return False
        work = daemon.cancelling.cancel(job, CALLER_SECONDS, "caller")
        task = self.network.spawn(address, work)
        done, _ = await asyncio.wait([task], timeout=CALLER_SECONDS + 0.5)
        if not done:
            task.cancel()
        is_held = bool(done) and not task.cancelled() and not task.exception() and task.result()
        self.cancels.append(is_held)
        if is_held:
            self.acknowledged.setdefault(job, self.now())
        return is_held

    async def cancel_until_acknowledged(self, job: str, seconds: float) -> bool:
        """Cancel a job at one instance after the other."""
        end = self.now() + seconds
        while self.now() < end:
            if await self.cancel(self.random.randrange(len(self.zones)), job):
                return True
            await asyncio.sleep(CANCEL_AGAIN_SECONDS)
        return False

    async def play_jobs(self, seconds: float, per_second: float, cancelled_share: float) -> None:
        """Let callers submit jobs that last for seconds, and cancel some of them."""
        end = self.now() + seconds
        while self.now() < end:
            await asyncio.sleep(self.random.expovariate(per_second))
            is_cancelled = self.random.random() < cancelled_share
            work = self._play_job(self.random.uniform(0.5, 6.0), is_cancelled)
            self.background.append(asyncio.ensure_future(work))

    async def _play_job(self, seconds: float, is_cancelled: bool) -> None:
        """Submit a job; perhaps cancel it before or after, twice, and submit it again later."""
        job = SimulatedJob(f"{self.job_count:016x}", self.now())
        self.job_count += 1
        self.demands[job.id], self.seconds[job.id] = 1000, seconds
        self.jobs.append(job)
        if is_cancelled:
            for _ in range(self.random.choice((1, 1, 2))):
                self.background.append(asyncio.ensure_future(self._cancel_later(job.id)))
        await asyncio.sleep(0.3)
        await self.call(self.random.randrange(len(self.zones)), job, 2)
        if is_cancelled and self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0.0, 6.0))
            again = SimulatedJob(job.id, self.now())
            await self.call(self.random.randrange(len(self.zones)), again, 2)

    async def _cancel_later(self, job: str) -> None:
        await asyncio.sleep(self.random.uniform(0.0, 2.0))
        await self.cancel_until_acknowledged(job, 8.0)
