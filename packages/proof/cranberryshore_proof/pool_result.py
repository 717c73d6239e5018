"""Results of simulations of a pool."""

import attrs


@attrs.frozen
class PoolResult:
    """Result of one simulation.

    Parameters
    ----------
    events : tuple of str
        Injected faults, with their times.
    faults : tuple of str
        Violations that were found.
    jobs, completed : int
        Jobs submitted under faults, and those of them that completed.
    refused_starts, refused_at_once : int
        Starts whose connections were refused, and the most of them that were on their way to one
        worker at the same time.
    """

    seed: int
    events: tuple[str, ...]
    faults: tuple[str, ...]
    jobs: int
    completed: int
    jobs_after_faults: int
    completed_after_faults: int
    refused_starts: int
    refused_at_once: int
