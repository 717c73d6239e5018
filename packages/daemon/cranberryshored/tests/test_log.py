import json
import os
from unittest import TestCase

from structlog import DropEvent

from cranberryshored.log import BUFFER_BYTES, RECORDS_PER_SECOND, BoundedOutput, Sampler


class BoundedOutputTest(TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.writer, False)
        os.set_blocking(self.reader, False)
        self.output = BoundedOutput(self.writer)

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def read(self) -> bytes:
        data = b""
        while True:
            self.output.flush()
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data
            data += part

    def test_slow_reader_never_blocks_and_learns_what_was_dropped(self):
        line = b"x" * 999 + b"\n"
        count = 2 * BUFFER_BYTES // 1000
        for _ in range(count):
            self.output.write(line)
        self.assertGreater(self.output.dropped, 0)
        dropped = self.output.dropped
        got = self.read().count(b"\n")
        self.assertEqual(got + dropped, count)
        self.output.write(line)
        self.assertEqual(json.loads(self.read().split(b"\n")[0])["dropped"], dropped)


class SamplerTest(TestCase):
    def test_equal_records_are_bounded_each_second(self):
        now = 10.0
        sampler = Sampler(lambda: now)
        passed = 0
        for _ in range(RECORDS_PER_SECOND + 5):
            try:
                sampler(None, "info", {"event": "a"})
                passed += 1
            except DropEvent:
                continue
        self.assertEqual(passed, RECORDS_PER_SECOND)
        self.assertEqual(sampler(None, "info", {"event": "b"}), {"event": "b"})
        now = 11.0
        self.assertEqual(sampler(None, "info", {"event": "a"})["left_out"], 5)
