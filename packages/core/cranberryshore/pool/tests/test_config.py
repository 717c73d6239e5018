"""Tests of the lookup of queues in a large configuration."""

from unittest import TestCase

from cranberryshore.messages import ConfigNews
from cranberryshore.messages.codec import decode_message, encode_message
from cranberryshore.pool import PoolConfig, QueueSpec

QUEUES = tuple(
    QueueSpec(f"q{number}", f"h{number // 2}", f"/p{number}/", "s") for number in range(2000)
)


class CountingPath(str):
    """Path that counts the comparisons with prefixes."""

    comparisons = 0

    def startswith(self, prefix, *arguments):
        type(self).comparisons += 1
        return super().startswith(prefix, *arguments)


class LargeConfigTest(TestCase):
    def test_each_request_was_compared_with_every_route_of_a_host(self):
        config = PoolConfig(1, QUEUES)
        self.assertEqual(config.match_queue("h7", CountingPath("/p15/x")).name, "q15")
        self.assertLessEqual(CountingPath.comparisons, 2)

    def test_longest_prefix_and_first_name_are_in_force(self):
        longer = QueueSpec("q0", "h0", "/p0/x/", "t")
        config = PoolConfig(1, (*QUEUES, longer))
        self.assertEqual(config.match_queue("h0", "/p0/x/1"), longer)
        self.assertEqual(config.get_queue("q0"), QUEUES[0])
        self.assertIsNone(config.get_queue("q"))
        self.assertIsNone(config.match_queue("h", "/p0/"))

    def test_lookup_tables_are_not_part_of_messages(self):
        config = PoolConfig(1, QUEUES[:2])
        config.get_queue("q1"), config.match_queue("h0", "/p1/")
        encoded = encode_message(ConfigNews(config))
        self.assertEqual(decode_message(encoded.kind, encoded.body), ConfigNews(config))
        self.assertEqual(encoded, encode_message(ConfigNews(PoolConfig(1, QUEUES[:2]))))
