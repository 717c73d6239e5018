"""Limits of the dispatcher."""

import attrs


@attrs.frozen
class DispatchSettings:
    """Limits of the dispatcher.

    Parameters
    ----------
    queued_tasks : int
        Maximum number of accepted tasks that wait for a worker.
    longest_wait_ms : int
        Maximum estimated wait at which a job is still accepted.
    retained_jobs : int
        Maximum number of settled jobs whose answers are retained.
    retained_tasks : int
        Maximum total number of tasks of the settled jobs that are retained.
    retention_seconds : float
        How long the answer of a settled job is retained.
    """

    queued_tasks: int = 50_000
    longest_wait_ms: int = 30_000
    retained_jobs: int = 20_000
    retained_tasks: int = 200_000
    retention_seconds: float = 600.0
