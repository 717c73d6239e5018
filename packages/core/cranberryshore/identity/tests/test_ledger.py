from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryshore.identity import (
    Incarnation,
    SubmissionIdStatus,
    SubmissionLedger,
    parse_submission_id,
)
from cranberryshore.identity.ledger import ID_LIFETIME_SECONDS

OWNER = Incarnation("zone-a", "entry-1", "0" * 16)


class LedgerTest(TestCase):
    @settings(max_examples=50, derandomize=True)
    @given(st.lists(st.integers(1, 5), min_size=1, max_size=8), st.data())
    def test_each_id_is_fresh_once(self, counts, data):
        ledger = SubmissionLedger(OWNER)
        ids = [id for count in counts for id in ledger.issue("desk", count, 0.0)]
        self.assertEqual(len(set(ids)), sum(counts))
        drawn = data.draw(st.lists(st.sampled_from(ids), max_size=20))
        kinds = [ledger.claim(id, "desk", 1.0).kind for id in drawn]
        self.assertEqual(kinds.count(SubmissionIdStatus.FRESH), len(set(drawn)))

    def test_expired_and_foreign_ids(self):
        ledger = SubmissionLedger(OWNER)
        first = ledger.issue("desk", 1, 0.0)[0]
        later = ID_LIFETIME_SECONDS + 1
        self.assertIs(ledger.claim(first, "desk", later).kind, SubmissionIdStatus.EXPIRED)
        other = SubmissionLedger(Incarnation("zone-a", "entry-1", "1" * 16)).issue("desk", 1, 0.0)
        self.assertIs(ledger.claim(other[0], "desk", later).kind, SubmissionIdStatus.NOT_ISSUED)

    def test_malformed_text(self):
        for text in ("", "a.b.c.1", f"{OWNER}", f"{OWNER}.01", f"{OWNER}.-1", f"{OWNER}.1.2"):
            self.assertTrue(parse_submission_id(text).is_err(), text)
