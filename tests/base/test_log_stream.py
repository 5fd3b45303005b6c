"""Logging never waits, whoever reads."""

import os
import time
import unittest

from sequoiagap import base

LINE = "x" * 99
BOUND_BYTES = 20_000


class BoundedStreamTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.stream = base.BoundedStream(self.writer, BOUND_BYTES)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def flood(self, lines=20_000):
        began = time.monotonic()
        for _ in range(lines):
            self.stream.write(LINE + "\n")
        return time.monotonic() - began

    def read_all(self):
        os.set_blocking(self.reader, False)
        found = b""
        while True:
            try:
                found += os.read(self.reader, 65536)
            except BlockingIOError:
                return found.decode()

    def test_whole_lines_come_out(self):
        self.stream.write("one\ntw")
        self.stream.write("o\n")
        self.assertEqual(self.read_all(), "one\ntwo\n")

    def test_reader_that_does_not_read_costs_no_time_and_bounded_memory(self):
        self.assertLess(self.flood(), 2.0)
        self.assertGreater(self.stream.dropped_lines_, 18_000)
        self.assertLessEqual(self.stream._waiting_bytes, BOUND_BYTES)

    def test_gap_is_told_once_the_reader_is_back(self):
        self.flood()
        dropped = self.stream.dropped_lines_
        text = self.read_all()
        self.stream.flush()
        text += self.read_all()
        self.stream.write("after\n")
        text += self.read_all()
        self.assertIn(f'"lines": {dropped}}}\nafter\n', text)
        kept = text.count(LINE)
        self.assertEqual(kept + dropped, 20_000)

    def test_reader_that_has_gone_is_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = base.BoundedStream(writer)
        stream.write("nobody\n")
        os.close(writer)
