"""Tests of the outcomes of jobs in messages between instances."""

from unittest import TestCase

from cranberryshore.pool import JobEnded, Outcome
from cranberryshore.pool.stream import StreamPosition
from cranberryshored.pool.outcomes import decode_end, encode_end

PLACE = StreamPosition(1, 1, 1)


class CancelledOutcomeTest(TestCase):
    def test_outcome_that_earlier_versions_cannot_read_blocks_their_stream(self):
        message = encode_end(PLACE, JobEnded("e", "j", Outcome.CANCELLED, "cancelled"))
        self.assertIs(message.outcome, Outcome.GIVEN_UP)
        self.assertIs(decode_end(message).outcome, Outcome.CANCELLED)

    def test_other_outcomes_count_as_cancelled(self):
        for outcome in set(Outcome) - {Outcome.CANCELLED}:
            with self.subTest(outcome=outcome):
                end = JobEnded("", "j", outcome, "detail", 7)
                self.assertEqual(decode_end(encode_end(PLACE, end)), end)
