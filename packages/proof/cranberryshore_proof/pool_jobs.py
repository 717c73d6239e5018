"""Jobs of the callers of a simulated pool."""

import attrs

from cranberryshore.pool import Outcome


@attrs.define
class SimulatedJob:
    """One job of a caller, with its answers."""

    id: str
    submitted_at: float
    answers: list[Outcome] = attrs.field(factory=list)
    ended_at: float | None = None


@attrs.frozen
class JobMix:
    """Numbers of tasks, and millicores and run times of each task, to choose from for a job."""

    millicores: tuple[int, ...] = (900, 1400, 2000)
    seconds: tuple[float, ...] = (0.06, 0.2, 0.9)
    counts: tuple[int, ...] = (1, 2, 4)
