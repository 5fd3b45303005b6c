"""Event catalogue, its documentation page, and the rate limit of log lines."""

import ast
import json
import logging
import unittest

from sequoiagap import base
from tests import support

IDS_BY_EVENT = {
    "REQUEST_ADMITTED": {"request_id", "config_version"},
    "REQUEST_REFUSED": {"request_id", "config_version"},
    "REQUEST_ANSWERED": {"request_id", "config_version"},
    "REQUEST_CUT": {"request_id", "config_version"},
    "CALLER_LEFT": {"request_id", "config_version"},
    "ATTEMPT_SENT": {"request_id", "attempt_id", "config_version"},
    "ATTEMPT_ENDED": {"request_id", "attempt_id", "config_version"},
    "ATTEMPT_REVOKED": {"attempt_id"},
    "CONNECTION_SUSPECT": {"request_id", "attempt_id"},
    "STREAM_RESUMED": {"request_id", "attempt_id"},
    "CONFIG_ADOPTED": {"config_version"},
    "CONFIG_ACCEPTED": {"config_version"},
}


def modules():
    """Yield the syntax trees of all modules except the event catalogue."""
    folders = (support.ROOT / "libs", support.ROOT / "platform")
    for path in sorted(p for folder in folders for p in folder.rglob("*.py")):
        if path.name != "_events.py":
            yield ast.parse(path.read_text())


def emitted_fields():
    """Yield name and field names of each emitted event."""
    for tree in modules():
        for node in ast.walk(tree):
            if _is_emit(node):
                yield node.args[0].attr, {k.arg for k in node.keywords}


def _is_emit(node):
    if not isinstance(node, ast.Call) or not node.args:
        return False
    first = node.args[0]
    is_attribute = isinstance(first, ast.Attribute)
    return is_attribute and ast.unparse(first.value).endswith("Event")


class EventsTest(unittest.TestCase):
    def test_each_event_of_the_catalogue_is_in_use(self):
        used = {
            node.attr
            for tree in modules()
            for node in ast.walk(tree)
            if isinstance(node, ast.Attribute) and node.attr in base.Event.__members__
        }
        used.add("LIBRARY_WARNING")  # emitted in _events.py, which modules() skips
        self.assertEqual(set(base.Event.__members__) - used, set())

    def test_lines_of_decisions_name_their_ids(self):
        found = dict.fromkeys(IDS_BY_EVENT, False)
        for name, fields in emitted_fields():
            if name in IDS_BY_EVENT:
                found[name] = True
                with self.subTest(name):
                    self.assertLessEqual(IDS_BY_EVENT[name], fields)
        self.assertTrue(all(found.values()), found)

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

    def test_flood_is_rate_limited_and_its_lines_are_counted(self):
        stream = support.silence_logs()
        log = base.get_logger("test")
        for _ in range(10_000):
            log.emit(base.Event.FRAME_REJECTED, peer="stranger")
        log.emit(base.Event.CONFIG_ADOPTED, config_version=4)
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertLess(len(lines), 1000)
        self.assertEqual(lines[-1]["config_version"], 4)
        suppressed = base.suppressed_lines()["frame_rejected"]
        self.assertEqual(len(lines) - 1 + suppressed, 10_000)

    def test_line_after_a_flood_reports_suppressed_lines(self):
        limiter = base.LineLimiter(lines_per_s=10, burst_lines=2)
        acquired = [limiter.acquire(1104, now=0.0) for _ in range(5)]
        self.assertEqual(acquired, [0, 0, None, None, None])
        self.assertEqual(limiter.acquire(1104, now=1.0), 3)
        self.assertEqual(limiter.acquire(1104, now=1.0), 0)

    def test_library_warnings_are_events_without_values(self):
        stream = support.silence_logs()
        logging.getLogger("some.library").warning("failed on %s", "marked-value")
        logging.getLogger("some.library").info("not a warning")
        (line,) = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual((line["number"], line["library"]), (1009, "some.library"))
        self.assertNotIn("marked-value", stream.getvalue())
