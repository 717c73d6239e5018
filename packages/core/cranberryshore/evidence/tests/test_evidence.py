from unittest import TestCase

from cranberryshore.evidence import (
    EvidenceCollector,
    PromiseKind,
    PromiseOutcome,
    decode_batch,
    encode_batch,
    make_report,
)
from cranberryshore.evidence.collector import MAX_CELLS_PER_BATCH, MAX_EXCEPTIONS_PER_BATCH


class EvidenceTest(TestCase):
    def setUp(self):
        self.collector = EvidenceCollector("a.e1.0", since=0.0)

    def record_outcomes(self, outcome, now, team="desk", count=1):
        for number in range(count):
            self.collector.record_promise(PromiseKind.JOB, team, "", now)
            subject = f"job-{number}"
            self.collector.record_outcome(
                PromiseKind.JOB, team, "", outcome, now, 0.3, subject, "why"
            )

    def report(self, batches, damaged=(), since=0.0, until=1e9, team=None, now=200.0):
        return make_report(batches, damaged, since, until, team, now)

    def test_totals_by_team_with_exceptions(self):
        self.record_outcomes(PromiseOutcome.KEPT, 10.0, count=98)
        self.record_outcomes(PromiseOutcome.BROKEN, 70.0)
        self.record_outcomes(PromiseOutcome.UNKNOWN, 80.0, team="gate")
        report = self.report([self.collector.take_batch(90.0, is_last=True)])
        rows = {row.team: row for row in report.rows}
        self.assertEqual(
            (rows["desk"].promised, rows["desk"].kept, rows["desk"].broken), (99, 98, 1)
        )
        self.assertEqual(rows["desk"].p99_seconds, 0.5)
        self.assertEqual(
            [exception.outcome for exception in report.exceptions],
            [PromiseOutcome.BROKEN, PromiseOutcome.UNKNOWN],
        )
        self.assertEqual(report.gaps, ())
        only = self.report([self.collector.take_batch(91.0)], team="gate")
        self.assertEqual(only.rows, ())

    def test_crash_is_reported_as_an_open_ended_gap(self):
        self.record_outcomes(PromiseOutcome.KEPT, 10.0)
        self.collector.record_promise(PromiseKind.JOB, "desk", "", 20.0)
        batch = self.collector.take_batch(30.0)
        gap = self.report([batch], now=500.0).gaps[0]
        self.assertEqual((gap.since, gap.until), (30.0, None))
        self.assertIn("1 were open", gap.reason)

    def test_missing_and_damaged_batches_are_reported(self):
        batches = []
        for number in range(3):
            self.record_outcomes(PromiseOutcome.KEPT, 30.0 * number + 10)
            batches.append(self.collector.take_batch(30.0 * number + 30, is_last=number == 2))
        report = self.report([batches[0], batches[2]], damaged=["evidence/x"])
        self.assertEqual(
            {gap.reason for gap in report.gaps}, {"a batch is missing", "a batch is damaged"}
        )
        text = encode_batch(batches[0])
        self.assertIsNone(decode_batch(text.replace('promised\\":1', 'promised\\":2')))

    def test_memory_is_bounded_and_dropped_exceptions_are_counted(self):
        for number in range(MAX_CELLS_PER_BATCH + 50):
            self.record_outcomes(PromiseOutcome.BROKEN, 1.0, team=f"team-{number}")
        batch = self.collector.take_batch(2.0)
        self.assertLessEqual(len(batch.cells), MAX_CELLS_PER_BATCH + 1)
        self.assertEqual(len(batch.exceptions), MAX_EXCEPTIONS_PER_BATCH)
        self.assertEqual(batch.dropped, MAX_CELLS_PER_BATCH + 50 - MAX_EXCEPTIONS_PER_BATCH)
        self.assertEqual(sum(cell.broken for cell in batch.cells), MAX_CELLS_PER_BATCH + 50)
