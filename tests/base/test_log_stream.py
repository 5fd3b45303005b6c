"""Log output never blocks the process, even if the reader stops or goes away."""

import os
import time
import unittest

from sequoiagap import base

LINE = "x" * 99
LIMIT_BYTES = 20_000


class BoundedStreamTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.stream = base.BoundedStream(self.writer, LIMIT_BYTES)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def flood(self, lines=20_000):
        started_at = time.monotonic()
        for _ in range(lines):
            self.stream.write(LINE + "\n")
        return time.monotonic() - started_at

    def read_all(self):
        os.set_blocking(self.reader, False)
        data = b""
        while True:
            try:
                data += os.read(self.reader, 65536)
            except BlockingIOError:
                return data.decode()

    def test_complete_lines_are_written(self):
        self.stream.write("one\ntw")
        self.stream.write("o\n")
        self.assertEqual(self.read_all(), "one\ntwo\n")

    def test_stopped_reader_costs_no_time_and_bounded_memory(self):
        self.assertLess(self.flood(), 2.0)
        self.assertGreater(self.stream.dropped_lines_, 18_000)
        self.assertLessEqual(self.stream._waiting_bytes, LIMIT_BYTES)

    def test_gap_is_reported_once_the_reader_resumes(self):
        self.flood()
        dropped = self.stream.dropped_lines_
        text = self.read_all()
        self.stream.flush()
        text += self.read_all()
        self.stream.write("after\n")
        text += self.read_all()
        self.assertIn(f'"lines": {dropped}}}\nafter\n', text)
        written = text.count(LINE)
        self.assertEqual(written + dropped, 20_000)

    def test_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = base.BoundedStream(writer)
        stream.write("nobody\n")
        os.close(writer)
