"""Commands that read log files: ``explain --log`` and ``outcomes``."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
import xml.etree.ElementTree

LINES = (
    {"event": "request_admitted", "request_id": "r1", "timestamp": "2", "node": "g"},
    {"event": "attempt_sent", "request_id": "r1", "timestamp": "3", "endpoint": "e"},
    {"event": "attempt_sent", "request_id": "r2", "timestamp": "1"},
)


OUTCOME_EVENTS = (
    ("group_seen", "", {"is_open": True}),
    ("request_admitted", "r1", {}),
    ("request_answered", "r1", {}),
    ("request_refused", "r2", {"reason": "all endpoints are full for 0.59 s"}),
    ("request_refused", "r3", {"reason": "all endpoints are full for 1.20 s"}),
    ("group_seen", "", {"is_open": False}),
    ("caller_left", "r4", {"started": False}),
    ("request_admitted", "r5", {}),
    ("hold_found", "", {}),
)


class OutcomesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        rows = [
            json.dumps(
                {"event": event, "timestamp": f"2026-01-01T00:00:0{at}Z"}
                | ({"request_id": request_id} if request_id else {})
                | more
            )
            for at, (event, request_id, more) in enumerate(OUTCOME_EVENTS)
        ]
        (self.folder / "log").write_text("\n".join(rows))

    def run_command(self, *words):
        command = [sys.executable, "-m", "sequoiagap.cli", "outcomes", *words]
        done = subprocess.run(command, capture_output=True, text=True)
        return done.returncode, done.stdout, done.stderr

    def test_each_request_counts_once_by_its_outcome(self):
        log = str(self.folder / "log")
        code, out, _ = self.run_command("--log", log, "--json")
        found = json.loads(out)
        counts = {}
        for counts_of_second in found["count_by_end_by_second"].values():
            for end, count in counts_of_second.items():
                counts[end] = counts.get(end, 0) + count
        self.assertEqual(code, 0)
        self.assertEqual(
            counts,
            {
                "answered": 1,
                "refused: all endpoints are full for #.## s": 2,
                "caller left before the first event": 1,
                "no line says how it ended": 1,
            },
        )
        self.assertEqual(found["closed_by_second"], {"5": 1})
        self.assertEqual(found["holds_by_second"], {"8": 1})

    def test_table_names_a_request_for_each_end(self):
        code, out, _ = self.run_command("--log", str(self.folder / "log"))
        self.assertEqual(code, 0)
        self.assertRegex(out, r"2  refused: all endpoints are full for #.## s +r2")
        self.assertIn("down", out)

    def test_plot_is_an_svg_file(self):
        path = self.folder / "day.svg"
        log = str(self.folder / "log")
        code, _, _ = self.run_command("--log", log, "--plot", str(path))
        self.assertEqual(code, 0)
        root = xml.etree.ElementTree.parse(path).getroot()
        self.assertTrue(root.tag.endswith("svg"))

    def test_missing_log_is_a_usage_error(self):
        code, _, err = self.run_command("--log", str(self.folder / "none"))
        self.assertEqual((code, "can't be read" in err), (2, True))


class ExplainLogTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "log"
        rows = [json.dumps(line) for line in reversed(LINES)]
        rows += ["12.5 host-1 " + rows.pop(), "no json r1 {", ""]
        self.path.write_text("\n".join(rows))

    def run_command(self, *words):
        command = [sys.executable, "-m", "sequoiagap.cli", "explain", *words]
        done = subprocess.run(command, capture_output=True, text=True)
        return done.returncode, done.stdout, done.stderr

    def test_decisions_in_order(self):
        code, out, _ = self.run_command("r1", "--log", str(self.path), "--json")
        steps = [decision["step"] for decision in json.loads(out)]
        self.assertEqual((code, steps), (0, ["request_admitted", "attempt_sent"]))
        code, out, _ = self.run_command("r1", "--log", str(self.path))
        self.assertEqual(code, 0)
        self.assertIn('"endpoint": "e"', out)
        self.assertNotIn("r2", out)

    def test_unknown_id_and_missing_file_are_usage_errors(self):
        code, _, err = self.run_command("r9", "--log", str(self.path))
        self.assertEqual((code, "r9" in err), (2, True))
        code, _, err = self.run_command("r1", "--log", str(self.path) + "x")
        self.assertEqual((code, "can't be read" in err), (2, True))
