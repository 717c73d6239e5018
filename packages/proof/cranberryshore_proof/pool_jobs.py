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
