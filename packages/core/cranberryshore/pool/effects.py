"""Effects: requests of the pool scheduler that its caller has to carry out."""

import attrs

from cranberryshore.pool.departures import Departure
from cranberryshore.pool.job_failure import JobFailure
from cranberryshore.pool.job_summary import JobSummary
from cranberryshore.pool.lost_run import LossState
from cranberryshore.pool.work import Outcome
from cranberryshore.pool.worker_status import EndKind, RunKey


class PoolEffect:
    """Base class of all effects."""


@attrs.frozen
class StartRun(PoolEffect):
    """Request a worker to start an attempt of a task.

    Parameters
    ----------
    lease_end_ms : int
        New end of the lease, on the clock of the worker.
    """

    worker: str
    key: RunKey
    payload: str
    token: int
    lease_end_ms: int


@attrs.frozen
class StopRun(PoolEffect):
    """Request a worker to stop an attempt of a task."""

    worker: str
    key: RunKey
    token: int


@attrs.frozen
class PollWorker(PoolEffect):
    """Poll the status of a worker now."""

    worker: str


@attrs.frozen
class UnsuccessfulRun(PoolEffect):
    """Log that a run ended without success.

    Parameters
    ----------
    ran_ms : int
        Time since the start was requested, in milliseconds.
    """

    worker: str
    key: RunKey
    kind: EndKind
    ran_ms: int


@attrs.frozen
class WorkerLost(PoolEffect):
    """Log that a worker was lost, with the runs on it.

    Parameters
    ----------
    running : tuple of RunKey
        Runs that were provably on it.
    possible : tuple of RunKey
        Runs that may have been on it.
    state : LossState
        Whether its process has provably ended.
    silent_ms : int
        Time since the latest poll that it has answered was sent, in milliseconds.
    lapsed : tuple of RunKey
        Runs that were on it when it fell silent, and whose leases were over when it returned.
    """

    worker: str
    running: tuple[RunKey, ...]
    possible: tuple[RunKey, ...]
    state: LossState
    silent_ms: int
    lapsed: tuple[RunKey, ...] = ()


@attrs.frozen
class WorkerLossJudged(PoolEffect):
    """Log what the registrations tell of a lost worker."""

    worker: str
    departure: Departure


@attrs.frozen
class ResumedJobReleased(PoolEffect):
    """Log that a resumed job may be started by this scheduler.

    Parameters
    ----------
    verified_workers : int
        Workers that have reported, since the job arrived, that no run of it is active.
    unverified_workers : int
        Workers that have not; the job has waited until the runs on them have ended.
    waited_ms : int
        Time since the job arrived at this scheduler.
    """

    job: str
    verified_workers: int
    unverified_workers: int
    waited_ms: int


@attrs.frozen
class SpeedsChanged(PoolEffect):
    """Log that the workers of a service have turned out to be uneven, or to be equal.

    Parameters
    ----------
    workers : int
        Workers whose speeds are known.
    slowest, median, fastest : float
        Speeds relative to the mean; 1 if the workers are equal.
    """

    service: str
    is_uneven: bool
    workers: int
    slowest: float = 1.0
    median: float = 1.0
    fastest: float = 1.0


@attrs.frozen
class InterferenceChanged(PoolEffect):
    """Log that other pairs of queues than before slow each other down.

    Parameters
    ----------
    slowdowns : dict
        Factor in run time by one co-runner, by pair ("QUEUE beside OTHER").
    """

    slowdowns: dict[str, float]


@attrs.frozen
class JobEnded(PoolEffect):
    """Notify an entry instance of the outcome of a job.

    Parameters
    ----------
    detail : str
        Human-readable explanation, one sentence.
    retry_after_ms : int
        Delay after which the caller may retry a refused job; 0 if a retry cannot succeed.
    summary : JobSummary or None
        Summary for the log; not sent to other instances.
    failure : JobFailure or None
        Why the job has failed, if it has.
    is_late : bool
        Whether the job was dropped only because its submission was read too late.
    """

    entry: str
    job: str
    outcome: Outcome
    detail: str = ""
    retry_after_ms: int = 0
    summary: JobSummary | None = None
    failure: JobFailure | None = None
    is_late: bool = False
