"""Limits of the dispatcher."""

import attrs


@attrs.frozen
class DispatchSettings:
    """Limits of the dispatcher.

    Parameters
    ----------
    queued_tasks : int
        Largest number of accepted tasks that wait for room.
    longest_wait_ms : int
        Largest estimated wait at which a job is still accepted.
    retained_jobs : int
        Number of settled jobs whose answers are kept.
    retained_tasks : int
        Number of tasks of settled jobs whose answers are kept.
    retention_seconds : float
        How long the answer of a settled job is kept.
    """

    queued_tasks: int = 50_000
    longest_wait_ms: int = 30_000
    retained_jobs: int = 20_000
    retained_tasks: int = 200_000
    retention_seconds: float = 600.0
