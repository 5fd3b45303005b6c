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
