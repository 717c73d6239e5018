"""Reports on the evidence batches of all incarnations."""

from collections.abc import Iterable

import attrs

from cranberryshore.evidence.batch import BUCKET_BOUNDS_SECONDS, Batch, Cell, UnkeptPromise
from cranberryshore.evidence.collector import SECONDS_PER_MINUTE

WRITER_TIMEOUT_SECONDS = 120.0
"""Two periods of 60 s, after each of which an idle writer writes an empty batch."""


@attrs.frozen
class Gap:
    """A period in which evidence of a writer is missing, and the reason.

    ``until`` is ``None`` if the writer has no later batch. The period of a damaged batch is
    unknown: ``writer`` is its store key, ``since`` is 0 and ``until`` is ``None``.
    """

    writer: str
    since: float
    until: float | None
    reason: str


@attrs.frozen
class ReportRow:
    """Totals of one kind, team and service.

    ``p50_seconds`` and ``p99_seconds`` are upper bounds of percentiles of the response times, or
    ``None`` if there are no times or the percentile is above the last bound of the histogram.
    """

    kind: str
    team: str
    service: str
    promised: int
    kept: int
    broken: int
    unknown: int
    p50_seconds: float | None
    p99_seconds: float | None


@attrs.frozen
class Report:
    """Promises and outcomes of a period, with the gaps in the evidence."""

    since: float
    until: float
    rows: tuple[ReportRow, ...]
    exceptions: tuple[UnkeptPromise, ...]
    exceptions_dropped: int
    gaps: tuple[Gap, ...]


def make_report(
    batches: Iterable[Batch],
    damaged: Iterable[str],
    since: float,
    until: float,
    team: str | None,
    now: float,
) -> Report:
    """Aggregate the batches of a period.

    Parameters
    ----------
    batches : iterable of Batch
        Stored batches of all incarnations for the period.
    damaged : iterable of str
        Keys of batches that could not be read.
    since, until : float
        Unix times; counts include every minute that overlaps the period.
    team : str or None
        Team to report on; ``None`` for all teams.
    now : float
        Unix time, used to detect writers that have stopped.
    """
    held = sorted(batches, key=lambda batch: (batch.writer, batch.sequence))
    sums: dict[tuple[str, str, str], Cell] = {}
    exceptions: list[UnkeptPromise] = []
    dropped = 0
    for batch in held:
        for cell in batch.cells:
            if _is_selected(cell, since, until, team):
                _add_counts(sums, cell)
        exceptions += [
            exception
            for exception in batch.exceptions
            if since <= exception.at <= until and team in (None, exception.team)
        ]
        if batch.until >= since and batch.since <= until:
            dropped += batch.dropped
    gaps = _gaps_within(find_gaps(held, damaged, now), since, until)
    rows = tuple(_make_row(key, cell) for key, cell in sorted(sums.items()))
    ordered = tuple(sorted(exceptions, key=lambda exception: exception.at))
    return Report(since, until, rows, ordered, dropped, tuple(gaps))


def find_gaps(batches: Iterable[Batch], damaged: Iterable[str], now: float) -> list[Gap]:
    """Return the gaps in the evidence of each writer.

    Examples
    --------
    >>> one = Batch("a.e1.0", 0, 0.0, 30.0, (), (), 0, 2, False)
    >>> two = attrs.evolve(one, sequence=2, since=60.0, until=90.0, is_last=True)
    >>> [(gap.since, gap.until) for gap in find_gaps([one, two], [], now=1000.0)]
    [(30.0, 60.0)]
    >>> find_gaps([one], [], now=1000.0)[0].until is None
    True
    """
    gaps = [Gap(key, 0.0, None, "a batch is damaged") for key in damaged]
    batches_by_writer: dict[str, list[Batch]] = {}
    for batch in batches:
        batches_by_writer.setdefault(batch.writer, []).append(batch)
    for writer, own in batches_by_writer.items():
        for before, after in zip(own, own[1:], strict=False):
            if after.sequence != before.sequence + 1:
                gaps.append(Gap(writer, before.until, after.since, "a batch is missing"))
        last = own[-1]
        if not last.is_last and now - last.until > WRITER_TIMEOUT_SECONDS:
            reason = f"the writer ended without a last batch; {last.open_promises} were open"
            gaps.append(Gap(writer, last.until, None, reason))
    return gaps


def _gaps_within(gaps: Iterable[Gap], since: float, until: float) -> list[Gap]:
    return [gap for gap in gaps if gap.since <= until and (gap.until is None or gap.until >= since)]


def _is_selected(cell: Cell, since: float, until: float, team: str | None) -> bool:
    begin = cell.key.minute * SECONDS_PER_MINUTE
    is_in_period = begin + SECONDS_PER_MINUTE > since and begin <= until
    return is_in_period and team in (None, cell.key.team)


def _add_counts(sums: dict[tuple[str, str, str], Cell], cell: Cell) -> None:
    key = (cell.key.kind, cell.key.team, cell.key.service)
    total = sums.get(key)
    if total is None:
        total = sums[key] = Cell(cell.key)
    total.promised += cell.promised
    total.kept += cell.kept
    total.broken += cell.broken
    total.unknown += cell.unknown
    for index, count in enumerate(cell.times):
        total.times[index] += count


def _make_row(key: tuple[str, str, str], cell: Cell) -> ReportRow:
    return ReportRow(
        *key,
        cell.promised,
        cell.kept,
        cell.broken,
        cell.unknown,
        _quantile_bound(cell.times, 0.5),
        _quantile_bound(cell.times, 0.99),
    )


def _quantile_bound(times: list[int], share: float) -> float | None:
    """Return the upper bound of the bucket that contains the quantile ``share`` of the times."""
    target_count = share * sum(times)
    cumulative_count = 0
    for bound, count in zip(BUCKET_BOUNDS_SECONDS, times, strict=False):
        cumulative_count += count
        if cumulative_count and cumulative_count >= target_count:
            return bound
    return None
