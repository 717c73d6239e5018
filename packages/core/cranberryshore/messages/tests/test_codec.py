from hashlib import sha256
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import DecodeError

from cranberryshore.evidence.batch import StoredBatch, decode_batch
from cranberryshore.messages import (
    decode_envelope,
    decode_frames,
    decode_json,
    decode_message,
    encode_envelope,
    encode_json,
)
from cranberryshore.messages.codec import encode_message
from cranberryshore.messages.peer import Heartbeat, KnownPeer
from cranberryshore.timeline import parse_log_records
from cranberryshore.timeline.clock import HybridTimestamp

NESTING = 100_000
DEEP_ARRAYS = b"\x91" * NESTING + b"\x90"
DEEP_JSON = b"[" * NESTING + b"]" * NESTING


class CodecTest(TestCase):
    def test_round_trip(self):
        message = Heartbeat("x:1", True, 7, True, (KnownPeer("a.b.c", "y:2"),))
        part = encode_message(message)
        self.assertEqual(decode_message(part.kind, part.body), message)

    def test_time_of_a_received_envelope_leaves_no_room_for_later_ones(self):
        for stamp in (HybridTimestamp(5, 2**64 - 1), HybridTimestamp(2**64 - 1, 5)):
            self.assertIsNone(decode_envelope(encode_envelope("a", "", stamp, [])))

    @settings(max_examples=200, derandomize=True)
    @given(st.binary(max_size=60))
    def test_malformed_data_decodes_to_none_without_an_exception(self, data):
        self.assertIsNone(decode_envelope(data))
        for kind in ("Heartbeat", "PeerCall", "nothing"):
            found = decode_message(kind, data)
            self.assertTrue(found is None or type(found).__name__ == kind)

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
