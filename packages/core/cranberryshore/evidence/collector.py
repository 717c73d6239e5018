"""Collects evidence between two writes to the store."""

from bisect import bisect_left

import attrs

from cranberryshore.evidence.batch import (
    BUCKET_BOUNDS_SECONDS,
    Batch,
    Cell,
    CellKey,
    PromiseKind,
    PromiseOutcome,
    UnkeptPromise,
)

SECONDS_PER_MINUTE = 60
MAX_EXCEPTIONS_PER_BATCH = 500
MAX_CELLS_PER_BATCH = 4000
OTHER_TEAMS_NAME = "(others)"
"""Team of the cells that count further teams after ``MAX_CELLS_PER_BATCH`` cells."""


@attrs.define
class EvidenceCollector:
    """Counts promises and outcomes in bounded memory.

    ``writer`` is the incarnation that writes the batches, and ``since`` the Unix time at which the
    current batch begins. ``current`` indexes the cells of ``minute`` for fast access.

    Examples
    --------
    >>> collector = EvidenceCollector("a.e1.0", since=0.0)
    >>> collector.record_promise(PromiseKind.JOB, "desk", "", now=1.0)
    >>> kept = PromiseOutcome.KEPT
    >>> collector.record_outcome(PromiseKind.JOB, "desk", "", kept, now=2.0, seconds=0.3)
    >>> batch = collector.take_batch(now=3.0)
    >>> batch.cells[0].promised, batch.cells[0].kept, batch.open_promises
    (1, 1, 0)
    """

    writer: str
    since: float
    sequence: int = 0
    cells: dict[CellKey, Cell] = attrs.field(factory=dict)
    exceptions: list[UnkeptPromise] = attrs.field(factory=list)
    dropped: int = 0
    open_promises: int = 0
    minute: int = -1
    current: dict[tuple[PromiseKind, str, str], Cell] = attrs.field(factory=dict)

    def record_promise(self, kind: PromiseKind, team: str, service: str, now: float) -> None:
        """Count a promise, which is open until its outcome is recorded."""
        self._current_cell(kind, team, service, now).promised += 1
        self.open_promises += 1

    def record_outcome(
        self,
        kind: PromiseKind,
        team: str,
        service: str,
        outcome: PromiseOutcome,
        now: float,
        seconds: float | None = None,
        subject: str = "",
        detail: str = "",
    ) -> None:
        """Count the outcome of a promise; add it to ``exceptions`` if it was not kept."""
        cell = self._current_cell(kind, team, service, now)
        self.open_promises -= 1
        if seconds is not None:
            cell.times[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        if outcome is PromiseOutcome.KEPT:
            cell.kept += 1
            return
        if outcome is PromiseOutcome.BROKEN:
            cell.broken += 1
        else:
            cell.unknown += 1
        if len(self.exceptions) < MAX_EXCEPTIONS_PER_BATCH:
            exception = UnkeptPromise(now, kind, subject, team, outcome, detail)
            self.exceptions.append(exception)
        else:
            self.dropped += 1

    def take_batch(self, now: float, is_last: bool = False) -> Batch:
        """Return the evidence recorded since the last batch and begin the next batch."""
        batch = Batch(
            self.writer,
            self.sequence,
            self.since,
            now,
            tuple(self.cells.values()),
            tuple(self.exceptions),
            self.dropped,
            self.open_promises,
            is_last,
        )
        self.sequence += 1
        self.since = now
        self.cells, self.exceptions, self.dropped = {}, [], 0
        self.current = {}
        return batch

    def _current_cell(self, kind: PromiseKind, team: str, service: str, now: float) -> Cell:
        minute = int(now // SECONDS_PER_MINUTE)
        if minute != self.minute:
            self.minute = minute
            self.current = {}
        cell = self.current.get((kind, team, service))
        if cell is None:
            key = CellKey(minute, kind.value, team, service)
            cell = self.current[(kind, team, service)] = self._get_or_create_cell(key)
        return cell

    def _get_or_create_cell(self, key: CellKey) -> Cell:
        if key not in self.cells and len(self.cells) >= MAX_CELLS_PER_BATCH:
            key = attrs.evolve(key, team=OTHER_TEAMS_NAME)
        cell = self.cells.get(key)
        if cell is None:
            cell = self.cells[key] = Cell(key)
        return cell
