from types import SimpleNamespace
from unittest import TestCase

from cranberryshore.pool import InStream, OutStream
from cranberryshore.pool.stream import RESEND_SECONDS


def message(number: int) -> SimpleNamespace:
    return SimpleNamespace(number=number)


class StreamTest(TestCase):
    def test_unconfirmed_messages_are_sent_again_in_order(self):
        stream = OutStream()
        for _ in range(3):
            stream.sent(message(stream.next_number()), 0.0)
        stream.confirm(1)
        self.assertEqual(stream.due(RESEND_SECONDS / 2), [])
        self.assertEqual([item.number for item in stream.due(RESEND_SECONDS)], [2, 3])
        self.assertEqual(stream.due(RESEND_SECONDS), [])

    def test_messages_arrive_once_and_in_order(self):
        stream = InStream()
        got = []
        for number in (2, 1, 1, 3, 2):
            got += [item.number for item in stream.take(message(number))]
        self.assertEqual(got, [1, 2, 3])
