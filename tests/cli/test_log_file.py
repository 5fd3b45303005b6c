"""``explain --log`` reads what the processes wrote."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

LINES = (
    {"event": "request_admitted", "request_id": "r1", "timestamp": "2", "node": "g"},
    {"event": "attempt_sent", "request_id": "r1", "timestamp": "3", "endpoint": "e"},
    {"event": "attempt_sent", "request_id": "r2", "timestamp": "1"},
)


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

    def test_unknown_id_and_missing_file_are_clear_errors(self):
        code, _, err = self.run_command("r9", "--log", str(self.path))
        self.assertEqual((code, "r9" in err), (2, True))
        code, _, err = self.run_command("r1", "--log", str(self.path) + "x")
        self.assertEqual((code, "can't be read" in err), (2, True))
