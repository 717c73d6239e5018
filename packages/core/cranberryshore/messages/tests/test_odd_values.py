from hashlib import sha256
from unittest import TestCase

from msgspec import DecodeError

from cranberryshore.evidence.batch import StoredBatch, decode_batch
from cranberryshore.messages import (
    LossNews,
    RosterNews,
    decode_envelope,
    decode_frames,
    decode_json,
    decode_message,
    encode_envelope,
    encode_json,
)
from cranberryshore.messages.codec import without_unencodable
from cranberryshore.messages.peer import KnownPeer
from cranberryshore.pool import LostRun, WorkerRegistration
from cranberryshore.timeline import parse_log_records
from cranberryshore.timeline.clock import HybridTimestamp
from cranberryshore.work import Capacity

NESTING = 100_000
DEEP_ARRAYS = b"\x91" * NESTING + b"\x90"
DEEP_JSON = b"[" * NESTING + b"]" * NESTING


class OddValueTest(TestCase):
    def test_time_of_a_received_envelope_leaves_no_room_for_later_ones(self):
        for stamp in (HybridTimestamp(5, 2**64 - 1), HybridTimestamp(2**64 - 1, 5)):
            self.assertIsNone(decode_envelope(encode_envelope("a", "", stamp, [])))

    def test_one_item_that_cannot_be_sent_costs_the_others(self):
        good, odd = LostRun("j.0.0.0", 1, "w", 5), LostRun("j.0.0.1", 1, "w", 2**70)
        reduced, names = without_unencodable(LossNews((odd, good)))
        self.assertEqual((reduced, names), (LossNews((good,)), ("j.0.0.1 on w",)))

    def test_list_that_has_a_version_is_reduced(self):
        # Instances that have the version would differ in what it lists.
        worker = WorkerRegistration("w", "10.0.0.1:1", "z", "s", Capacity(2**70), born=1)
        news = RosterNews(1, (worker,))
        self.assertEqual(without_unencodable(news), (news, ()))

    def test_deep_nesting_in_an_unknown_field_raises_an_undeclared_error(self):
        part = b"\x81\xa1x" + DEEP_ARRAYS
        self.assertIsNone(decode_envelope(part))
        for kind in ("Heartbeat", "Leave", "RosterNews"):
            self.assertIsNone(decode_message(kind, part))
        with self.assertRaises(DecodeError):
            decode_json(b'{"x": ' + DEEP_JSON + b"}", KnownPeer)
        text = DEEP_JSON.decode()
        for frames in (text, f'[["Ack", {{"x": {text}}}]]', '[["Nothing", {}]]'):
            with self.assertRaises(DecodeError):
                decode_frames(frames)
        digest = sha256(text.encode()).hexdigest()
        self.assertIsNone(decode_batch(encode_json(StoredBatch(digest, text)).decode()))
        self.assertIsNone(decode_batch(f'{{"x": {text}}}'))
        self.assertEqual(parse_log_records([f'{{"x": {text}}}', '{"timestamp": 5}']), [])
