"""What the scheduler of a pool asks its surroundings to do."""

import attrs

from cranberryshore.pool.held_worker import EndKind, RunKey
from cranberryshore.pool.job_summary import JobAccount
from cranberryshore.pool.work import Outcome


class PoolEffect:
    """Base of all effects."""


@attrs.frozen
class StartRun(PoolEffect):
    """Ask a worker to start an attempt of a task."""

    worker: str
    key: RunKey
    payload: str
    token: int
    lease_end_ms: int


@attrs.frozen
class StopRun(PoolEffect):
    """Ask a worker to stop an attempt of a task."""

    worker: str
    key: RunKey
    token: int


@attrs.frozen
class PollWorker(PoolEffect):
    """Look at a worker now."""

    worker: str


@attrs.frozen
class UnsuccessfulRun(PoolEffect):
    """Note that a run did not end well.

    Parameters
    ----------
    worker : str
        Where it ran.
    key : RunKey
        Task and attempt.
    kind : EndKind
        How it ended.
    ran_ms : int
        Time since it was asked for.
    """

    worker: str
    key: RunKey
    kind: EndKind
    ran_ms: int


@attrs.frozen
class JobEnded(PoolEffect):
    """Tell an entry instance how a job ended.

    Parameters
    ----------
    entry : str
        Entry instance that waits for it.
    job : str
        Id of the job.
    outcome : Outcome
        How it ended.
    detail : str
        One sentence for people.
    retry_after_ms : int
        When the caller may come back with a job that has not run; 0 if that cannot help.
    account : JobAccount or None
        What decided it; not sent to other instances.
    """

    entry: str
    job: str
    outcome: Outcome
    detail: str = ""
    retry_after_ms: int = 0
    summary: JobAccount | None = None
