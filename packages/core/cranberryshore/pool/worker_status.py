"""Status reports of workers: active and finished runs."""

from enum import Enum

import attrs

RunKey = tuple[str, int]
"""Task name and attempt number."""


class EndKind(Enum):
    """Reason for the end of a run.

    A run has lapsed if its lease has expired, and has vanished if it was started but is missing
    from a status report, for example after a restart of the worker.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    NEVER_BEGAN = "never_began"
    VANISHED = "vanished"


@attrs.frozen
class ReportedRun:
    """Active run in the status report of a worker."""

    task: str
    attempt: int
    percent: float = 0.0


@attrs.frozen
class ReportedEnd:
    """Finished run in the status report of a worker.

    ``number`` increases by one with each finished run since the start of the worker.
    """

    number: int
    task: str
    attempt: int
    kind: EndKind


@attrs.frozen
class WorkerStatus:
    """Status report of a worker: start identifier, clock, active and finished runs."""

    born: int
    clock_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]
