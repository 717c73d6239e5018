"""Detection of failing and slow workers from task results."""

import attrs

from cranberryshore.placement.rejections import RejectionPauses

SMOOTHING_WEIGHT = 0.1
SLOW_FACTOR = 1.5
MIN_FAILED_JOBS = 2
MIN_POOL_SUCCESS_RATE = 0.5
INITIAL_ISOLATION_SECONDS = 5.0
MAX_ISOLATION_SECONDS = 60.0

PLACEMENT_RANKS = (0, 1, 2)
"""Ranks of workers in placement: sound, slow, and recently isolated."""


@attrs.define
class WorkerHealth:
    """Health record of one worker.

    Parameters
    ----------
    failed_jobs : int
        Number of jobs with a failed task on the worker since its last successful task.
    run_ratio : float
        Moving average of run time over expected run time.
    isolation_seconds : float
        Length of the last isolation; 0 unless the worker is isolated or waits for a successful
        probe.
    """

    failed_jobs: int = 0
    last_failed_job: str = ""
    run_ratio: float = 1.0
    isolated_until: float = 0.0
    isolation_seconds: float = 0.0
    probe_running: bool = False


@attrs.define
class PoolHealth:
    """Health records of the workers of a pool, and averages over the pool.

    A worker is isolated when several consecutive jobs fail on it while the pool's success rate is
    high, so that a job that fails on every worker isolates none of them. After the isolation
    period, the worker receives one probe task at a time until one succeeds.
    """

    workers: dict[str, WorkerHealth] = attrs.field(factory=dict)
    success_rate: float = 1.0
    run_ratio: float = 1.0
    rejections: RejectionPauses = attrs.field(factory=RejectionPauses)

    def record_for(self, name: str) -> WorkerHealth:
        """Return the record of a worker, creating it if necessary."""
        record = self.workers.get(name)
        if record is None:
            record = self.workers[name] = WorkerHealth()
        return record

    def forget(self, name: str) -> None:
        """Forget what a worker has done, since another process has its place."""
        self.workers.pop(name, None)
        self.rejections.forget(name)

    def on_success(self, name: str, run_ms: float, expected_ms: float) -> None:
        """Record a successful task and the ratio of its run time to the expected one."""
        record = self.record_for(name)
        record.failed_jobs = 0
        record.isolation_seconds = 0.0
        record.isolated_until = 0.0
        record.probe_running = False
        self.success_rate += SMOOTHING_WEIGHT * (1.0 - self.success_rate)
        ratio = run_ms / max(expected_ms, 1.0)
        record.run_ratio += SMOOTHING_WEIGHT * (ratio - record.run_ratio)
        self.run_ratio += SMOOTHING_WEIGHT * (ratio - self.run_ratio) / max(len(self.workers), 1)

    def on_failure(self, name: str, job: str, now: float) -> bool:
        """Record a failed task and return whether it caused the worker to be isolated.

        Further failures of the same job are not counted.
        """
        record = self.record_for(name)
        record.probe_running = False
        if record.last_failed_job == job:
            return False
        record.last_failed_job = job
        record.failed_jobs += 1
        known_workers = max(len(self.workers), 1)
        self.success_rate -= SMOOTHING_WEIGHT * self.success_rate / known_workers
        if record.failed_jobs < MIN_FAILED_JOBS or self.success_rate < MIN_POOL_SUCCESS_RATE:
            return False
        isolation_seconds = max(record.isolation_seconds * 2, INITIAL_ISOLATION_SECONDS)
        self.isolate(name, min(isolation_seconds, MAX_ISOLATION_SECONDS), now)
        return True

    def isolate(self, name: str, seconds: float, now: float) -> None:
        """Isolate a worker, because of local results or because a peer has isolated it."""
        record = self.record_for(name)
        record.isolation_seconds = max(record.isolation_seconds, seconds)
        record.isolated_until = max(record.isolated_until, now + seconds)

    def is_slow(self, name: str) -> bool:
        """Return whether the run time ratio of a worker is well above the pool average."""
        return self.record_for(name).run_ratio > SLOW_FACTOR * self.run_ratio

    def placement_rank(self, name: str) -> int:
        """Return the placement rank of a worker; lower ranks are preferred."""
        record = self.record_for(name)
        if record.isolation_seconds:
            return 2
        return 1 if self.is_slow(name) else 0

    def allowance(self, name: str, now: float) -> int:
        """Return how many tasks may be placed on a worker now."""
        if self.rejections.is_paused(name, now):
            return 0
        record = self.record_for(name)
        if not record.isolation_seconds:
            return 1_000_000  # effectively unlimited
        if now < record.isolated_until or record.probe_running:
            return 0
        return 1
