from unittest import TestCase

from cranberryshore.evidence import (
    EvidenceCollector,
    Outcome,
    PromiseKind,
    decode_batch,
    encode_batch,
    make_report,
)
from cranberryshore.evidence.book import CELLS_PER_BATCH, EXCEPTIONS_PER_BATCH


class EvidenceTest(TestCase):
    def setUp(self):
        self.book = EvidenceCollector("a.e1.0", since=0.0)

    def note(self, outcome, now, team="desk", count=1):
        for number in range(count):
            self.book.record_promise(PromiseKind.JOB, team, "", now)
            subject = f"job-{number}"
            self.book.record_outcome(PromiseKind.JOB, team, "", outcome, now, 0.3, subject, "why")

    def report(self, batches, damaged=(), since=0.0, until=1e9, team=None, now=200.0):
        return make_report(batches, damaged, since, until, team, now)

    def test_sums_by_team_with_exceptions_in_full(self):
        self.note(Outcome.KEPT, 10.0, count=98)
        self.note(Outcome.BROKEN, 70.0)
        self.note(Outcome.UNKNOWN, 80.0, team="gate")
        report = self.report([self.book.take_batch(90.0, is_last=True)])
        rows = {row.team: row for row in report.rows}
        self.assertEqual(
            (rows["desk"].promised, rows["desk"].kept, rows["desk"].broken), (99, 98, 1)
        )
        self.assertEqual(rows["desk"].p99_seconds, 0.5)
        self.assertEqual(
            [noted.outcome for noted in report.exceptions], [Outcome.BROKEN, Outcome.UNKNOWN]
        )
        self.assertEqual(report.gaps, ())
        only = self.report([self.book.take_batch(91.0)], team="gate")
        self.assertEqual(only.rows, ())

    def test_crash_shows_as_a_gap_with_its_beginning(self):
        self.note(Outcome.KEPT, 10.0)
        self.book.record_promise(PromiseKind.JOB, "desk", "", 20.0)
        batch = self.book.take_batch(30.0)
        gap = self.report([batch], now=500.0).gaps[0]
        self.assertEqual((gap.since, gap.until), (30.0, None))
        self.assertIn("1 were open", gap.reason)

    def test_missing_and_damaged_batches_are_said(self):
        batches = []
        for number in range(3):
            self.note(Outcome.KEPT, 30.0 * number + 10)
            batches.append(self.book.take_batch(30.0 * number + 30, is_last=number == 2))
        report = self.report([batches[0], batches[2]], damaged=["evidence/x"])
        self.assertEqual(
            {gap.reason for gap in report.gaps}, {"a batch is missing", "a batch is damaged"}
        )
        text = encode_batch(batches[0])
        self.assertIsNone(decode_batch(text.replace('promised\\":1', 'promised\\":2')))

    def test_memory_is_bounded_and_what_was_cut_is_counted(self):
        for number in range(CELLS_PER_BATCH + 50):
            self.note(Outcome.BROKEN, 1.0, team=f"team-{number}")
        batch = self.book.take_batch(2.0)
        self.assertLessEqual(len(batch.cells), CELLS_PER_BATCH + 1)
        self.assertEqual(len(batch.exceptions), EXCEPTIONS_PER_BATCH)
        self.assertEqual(batch.dropped, CELLS_PER_BATCH + 50 - EXCEPTIONS_PER_BATCH)
        self.assertEqual(sum(cell.broken for cell in batch.cells), CELLS_PER_BATCH + 50)
