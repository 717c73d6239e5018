import json
import os
import subprocess
import sys
from unittest import TestCase

from structlog import DropEvent

from cranberryshored.log import (
    MAX_BUFFER_BYTES,
    MAX_EQUAL_RECORDS_PER_SECOND,
    BoundedOutput,
    RecordRateLimiter,
)


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

    def test_slow_reader_does_not_block_and_dropped_lines_are_reported(self):
        line = b"x" * 999 + b"\n"
        count = 2 * MAX_BUFFER_BYTES // 1000
        for _ in range(count):
            self.output.write(line)
        self.assertGreater(self.output.dropped, 0)
        dropped = self.output.dropped
        received = self.read().count(b"\n")
        self.assertEqual(received + dropped, count)
        self.output.write(line)
        self.assertEqual(json.loads(self.read().split(b"\n")[0])["dropped"], dropped)


class RecordRateLimiterTest(TestCase):
    def test_equal_records_are_limited_per_second(self):
        now = 10.0
        limiter = RecordRateLimiter(lambda: now)
        passed = 0
        for _ in range(MAX_EQUAL_RECORDS_PER_SECOND + 5):
            try:
                limiter(None, "info", {"event": "a"})
                passed += 1
            except DropEvent:
                continue
        self.assertEqual(passed, MAX_EQUAL_RECORDS_PER_SECOND)
        self.assertEqual(limiter(None, "info", {"event": "b"}), {"event": "b"})
        now = 11.0
        self.assertEqual(limiter(None, "info", {"event": "a"})["left_out"], 5)


SCRIPT = """
from cranberryshore.settings import LogSettings
from cranberryshored.log import configure_log, make_logger
configure_log(LogSettings(is_json={is_json}), "i")
make_logger("x").info("First.", path="/\\udcff")
make_logger("x").info("Second.")
"""


class SurrogateTest(TestCase):
    def test_record_with_a_surrogate_raises_an_error_in_the_request_that_is_logged(self):
        for is_json in (True, False):
            command = [sys.executable, "-c", SCRIPT.format(is_json=is_json)]
            result = subprocess.run(command, capture_output=True)
            self.assertEqual(result.returncode, 0, result.stderr[-300:])
            first, second = result.stdout.splitlines()
            self.assertIn(b"udcff", first)
            self.assertIn(b"Second.", second)
