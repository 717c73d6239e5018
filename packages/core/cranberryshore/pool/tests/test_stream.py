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
        self.sender, self.receiver = SendStream(5), ReceiveStream()

    def test_unacknowledged_messages_are_sent_again_in_order(self):
        for _ in range(3):
            send(self.sender)
        self.sender.acknowledge(5, 1)
        self.assertEqual(self.sender.due_for_resend(RESEND_TIMEOUT_SECONDS / 2), [])
        numbers = [item.place.number for item in self.sender.due_for_resend(RESEND_TIMEOUT_SECONDS)]
        self.assertEqual(numbers, [2, 3])
        self.assertEqual(self.sender.due_for_resend(RESEND_TIMEOUT_SECONDS), [])

    def test_messages_arrive_once_and_in_order(self):
        one, two, three = (send(self.sender) for _ in range(3))
        got = []
        for message in (two, one, one, three, two):
            got += self.receiver.take(message)
        self.assertEqual(got, [one, two, three])

    def test_receiver_without_state_accepts_a_running_stream(self):
        # An instance that was frozen until its scheduler had discarded its stream continued with
        # its numbers, and the scheduler waited forever for the earlier ones.
        send(self.sender)
        self.sender.acknowledge(5, 1)
        later = send(self.sender)
        self.assertEqual(self.receiver.take(later), [later])

    def test_sender_without_state_starts_a_new_stream(self):
        # The reverse case: a frozen scheduler took new messages for duplicates.
        for _ in range(3):
            self.receiver.take(send(self.sender))
        again = SendStream(6)
        message = send(again)
        again.acknowledge(self.receiver.id, self.receiver.received)
        self.assertIn(1, again.unacknowledged)
        self.assertEqual(self.receiver.take(message), [message])

    def test_message_of_an_older_stream_is_ignored(self):
        self.receiver.take(send(SendStream(6)))
        self.assertEqual(self.receiver.take(send(self.sender)), [])
