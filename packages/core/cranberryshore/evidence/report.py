"""Reports over the batches of all incarnations."""

from collections.abc import Iterable

import attrs

from cranberryshore.evidence.batch import BUCKET_SECONDS, Batch, Cell, EvidenceException
from cranberryshore.evidence.book import SECONDS_A_MINUTE

SILENT_SECONDS = 120.0


@attrs.frozen
class Gap:
    """A time for which evidence is missing: whose, between when, and why.

    ``until`` is ``None`` if nothing later of this writer bounds the gap.
    """

    writer: str
    since: float
    until: float | None
    reason: str


@attrs.frozen
class ReportRow:
    """Sums of one kind, team and service."""

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
    """What was promised in a time, and whether it was kept."""

    since: float
    until: float
    rows: tuple[ReportRow, ...]
    exceptions: tuple[EvidenceException, ...]
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
    """Sum up the batches that concern a time.

    Parameters
    ----------
    batches : iterable of Batch
        All batches that the store holds for the time, of all incarnations.
    damaged : iterable of str
        Keys of batches that could not be read.
    since, until : float
        Unix times; counts are taken by whole minutes.
    team : str or None
        Only this team.
    now : float
        Present Unix time, by which silent writers are noticed.

    Returns
    -------
    Report
        Sums, exceptions, and every gap in the evidence.
    """
    held = sorted(batches, key=lambda batch: (batch.writer, batch.sequence))
    sums: dict[tuple[str, str, str], Cell] = {}
    exceptions: list[EvidenceException] = []
    dropped = 0
    for batch in held:
        for cell in batch.cells:
            if _concerns(cell, since, until, team):
                _add(sums, cell)
        exceptions += [
            noted
            for noted in batch.exceptions
            if since <= noted.at <= until and team in (None, noted.team)
        ]
        if batch.until >= since and batch.since <= until:
            dropped += batch.dropped
    gaps = _gaps_within(find_gaps(held, damaged, now), since, until)
    rows = tuple(_row(key, cell) for key, cell in sorted(sums.items()))
    ordered = tuple(sorted(exceptions, key=lambda noted: noted.at))
    return Report(since, until, rows, ordered, dropped, tuple(gaps))


def find_gaps(batches: Iterable[Batch], damaged: Iterable[str], now: float) -> list[Gap]:
    """Return the times that no batch covers, writer by writer.

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
    by_writer: dict[str, list[Batch]] = {}
    for batch in batches:
        by_writer.setdefault(batch.writer, []).append(batch)
    for writer, own in by_writer.items():
        for before, after in zip(own, own[1:], strict=False):
            if after.sequence != before.sequence + 1:
                gaps.append(Gap(writer, before.until, after.since, "a batch is missing"))
        last = own[-1]
        if not last.is_last and now - last.until > SILENT_SECONDS:
            reason = f"the writer ended without a last batch; {last.open_promises} were open"
            gaps.append(Gap(writer, last.until, None, reason))
    return gaps


def _gaps_within(gaps: Iterable[Gap], since: float, until: float) -> list[Gap]:
    return [gap for gap in gaps if gap.since <= until and (gap.until is None or gap.until >= since)]


def _concerns(cell: Cell, since: float, until: float, team: str | None) -> bool:
    begin = cell.key.minute * SECONDS_A_MINUTE
    is_in_time = begin + SECONDS_A_MINUTE > since and begin <= until
    return is_in_time and team in (None, cell.key.team)


def _add(sums: dict[tuple[str, str, str], Cell], cell: Cell) -> None:
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


def _row(key: tuple[str, str, str], cell: Cell) -> ReportRow:
    return ReportRow(
        *key,
        cell.promised,
        cell.kept,
        cell.broken,
        cell.unknown,
        _bucket_bound(cell.times, 0.5),
        _bucket_bound(cell.times, 0.99),
    )


def _bucket_bound(times: list[int], share: float) -> float | None:
    """Return the upper bound of the bucket in which a share of the times is reached."""
    wanted = share * sum(times)
    counted = 0
    for bound, count in zip(BUCKET_SECONDS, times, strict=False):
        counted += count
        if counted and counted >= wanted:
            return bound
    return None
