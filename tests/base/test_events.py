"""The catalogue of events in the docs is that of the code."""

import json
import unittest

from sequoiagap import base
from tests import support


class EventsTest(unittest.TestCase):
    def test_docs_list_every_event(self):
        text = (support.ROOT / "docs/EVENTS.md").read_text()
        rows = [line for line in text.splitlines() if line.startswith("| 1")]
        expected = [
            f"| {int(event)} | `{event.name.lower()}` | {base.CATALOGUE[event]} |"
            for event in base.Event
        ]
        self.assertEqual(rows, expected)

    def test_line_carries_number_and_fields(self):
        stream = support.silence_logs()
        base.get_logger("test").emit(base.Event.CONFIG_ADOPTED, config_version=3)
        line = json.loads(stream.getvalue())
        self.assertEqual((line["number"], line["config_version"]), (1301, 3))

    def test_flood_is_bounded_and_its_size_is_told(self):
        stream = support.silence_logs()
        log = base.get_logger("test")
        for _ in range(10_000):
            log.emit(base.Event.FRAME_REJECTED, peer="stranger")
        log.emit(base.Event.CONFIG_ADOPTED, config_version=4)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertLess(len(lines), 1000)
        self.assertEqual(lines[-1]["config_version"], 4)
        left_out = base.suppressed_lines()["frame_rejected"]
        self.assertEqual(len(lines) - 1 + left_out, 10_000)

    def test_line_after_a_flood_names_what_was_left_out(self):
        limiter = base.LineLimiter(lines_per_s=10, burst_lines=2)
        taken = [limiter.take(1104, now=0.0) for _ in range(5)]
        self.assertEqual(taken, [0, 0, None, None, None])
        self.assertEqual(limiter.take(1104, now=1.0), 3)
        self.assertEqual(limiter.take(1104, now=1.0), 0)
