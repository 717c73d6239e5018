"""What results tell about workers: which fail everything and which are slow."""

import attrs

SMOOTHING = 0.1
SLOW_FACTOR = 1.5
FAILED_JOBS_TO_ISOLATE = 2
POOL_SUCCESS_TO_ISOLATE = 0.5
FIRST_ISOLATION_SECONDS = 5.0
LONGEST_ISOLATION_SECONDS = 60.0


@attrs.define
class WorkerHealth:
    """Record of one worker's recent results."""

    failed_jobs: int = 0
    last_failed_job: str = ""
    run_ratio: float = 1.0
    isolated_until: float = 0.0
    isolation_seconds: float = 0.0
    probe_running: bool = False


@attrs.define
class PoolHealth:
    """Records of a pool's workers and of the pool as a whole.

    A worker is isolated when several jobs in a row failed on it while most of the pool's results
    are good, so that a job which fails everywhere isolates nobody. An isolated worker receives
    one task at a time once its isolation has passed, until one succeeds.
    """

    workers: dict[str, WorkerHealth] = attrs.field(factory=dict)
    success: float = 1.0
    run_ratio: float = 1.0

    def record_for(self, name: str) -> WorkerHealth:
        """Return the record of a worker."""
        record = self.workers.get(name)
        if record is None:
            record = self.workers[name] = WorkerHealth()
        return record

    def on_success(self, name: str, run_ms: float, expected_ms: float) -> None:
        """Record a good result and its run time against the declared one."""
        record = self.record_for(name)
        record.failed_jobs = 0
        record.isolation_seconds = 0.0
        record.isolated_until = 0.0
        record.probe_running = False
        self.success += SMOOTHING * (1.0 - self.success)
        ratio = run_ms / max(expected_ms, 1.0)
        record.run_ratio += SMOOTHING * (ratio - record.run_ratio)
        self.run_ratio += SMOOTHING * (ratio - self.run_ratio) / max(len(self.workers), 1)

    def on_failure(self, name: str, job: str, now: float) -> bool:
        """Record a failed task; return whether the worker is isolated because of it."""
        record = self.record_for(name)
        record.probe_running = False
        if record.last_failed_job == job:
            return False
        record.last_failed_job = job
        record.failed_jobs += 1
        others = max(len(self.workers), 1)
        self.success -= SMOOTHING * self.success / others
        if record.failed_jobs < FAILED_JOBS_TO_ISOLATE or self.success < POOL_SUCCESS_TO_ISOLATE:
            return False
        doubled = max(record.isolation_seconds * 2, FIRST_ISOLATION_SECONDS)
        self.isolate(name, min(doubled, LONGEST_ISOLATION_SECONDS), now)
        return True

    def isolate(self, name: str, seconds: float, now: float) -> None:
        """Isolate a worker, by own experience or because a peer has."""
        record = self.record_for(name)
        record.isolation_seconds = max(record.isolation_seconds, seconds)
        record.isolated_until = max(record.isolated_until, now + seconds)

    def is_slow(self, name: str) -> bool:
        """Tell whether a worker takes much longer than the pool for the same declared times."""
        return self.record_for(name).run_ratio > SLOW_FACTOR * self.run_ratio

    def preference(self, name: str) -> float:
        """Return the placing preference of a worker, lower first."""
        record = self.record_for(name)
        if record.isolation_seconds:
            return 2.0
        return 1.0 if self.is_slow(name) else 0.0

    def allowance(self, name: str, now: float) -> int:
        """Return how many tasks a worker may be given now."""
        record = self.record_for(name)
        if not record.isolation_seconds:
            return 1_000_000
        if now < record.isolated_until or record.probe_running:
            return 0
        return 1
