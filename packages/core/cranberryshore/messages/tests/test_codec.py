from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryshore.messages import decode_envelope, decode_message
from cranberryshore.messages.codec import encode_message
from cranberryshore.messages.peer import Heartbeat, KnownPeer


class CodecTest(TestCase):
    def test_round_trip(self):
        message = Heartbeat("x:1", True, 7, True, (KnownPeer("a.b.c", "y:2"),))
        part = encode_message(message)
        self.assertEqual(decode_message(part.kind, part.body), message)

    @settings(max_examples=200, derandomize=True)
    @given(st.binary(max_size=60))
    def test_malformed_data_decodes_to_none_without_an_exception(self, data):
        self.assertIsNone(decode_envelope(data))
        for kind in ("Heartbeat", "PeerCall", "nothing"):
            found = decode_message(kind, data)
            self.assertTrue(found is None or type(found).__name__ == kind)
