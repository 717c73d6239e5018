from types import SimpleNamespace
from unittest import TestCase

from cranberryshore.pool import ReceiveStream, SendStream
from cranberryshore.pool.stream import RESEND_TIMEOUT_SECONDS


def send(stream: SendStream, now: float = 0.0) -> SimpleNamespace:
    message = SimpleNamespace(place=stream.next_position())
    stream.record_sent(message, now)
    return message


class StreamTest(TestCase):
    def setUp(self):
        self.out, self.into = SendStream(5), ReceiveStream()

    def test_unconfirmed_messages_are_sent_again_in_order(self):
        for _ in range(3):
            send(self.out)
        self.out.acknowledge(5, 1)
        self.assertEqual(self.out.due_for_resend(RESEND_TIMEOUT_SECONDS / 2), [])
        numbers = [item.place.number for item in self.out.due_for_resend(RESEND_TIMEOUT_SECONDS)]
        self.assertEqual(numbers, [2, 3])
        self.assertEqual(self.out.due_for_resend(RESEND_TIMEOUT_SECONDS), [])

    def test_messages_arrive_once_and_in_order(self):
        one, two, three = (send(self.out) for _ in range(3))
        got = []
        for message in (two, one, one, three, two):
            got += self.into.take(message)
        self.assertEqual(got, [one, two, three])

    def test_receiver_that_has_forgotten_the_sender(self):
        # Cause: an instance frozen for longer than peers are remembered went on with its numbers,
        # and its scheduler waited for those before them for ever.
        send(self.out)
        self.out.acknowledge(5, 1)
        later = send(self.out)
        self.assertEqual(self.into.take(later), [later])

    def test_sender_that_has_forgotten_the_receiver(self):
        # Cause: the same with a frozen scheduler, which took new messages for old ones.
        for _ in range(3):
            self.into.take(send(self.out))
        again = SendStream(6)
        message = send(again)
        again.acknowledge(self.into.id, self.into.received)
        self.assertIn(1, again.unacknowledged)
        self.assertEqual(self.into.take(message), [message])

    def test_message_of_an_older_stream_is_ignored(self):
        self.into.take(send(SendStream(6)))
        self.assertEqual(self.into.take(send(self.out)), [])
