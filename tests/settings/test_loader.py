"""Settings files: comments, and errors that name file, key, value and remedy."""

import json
import pathlib
import tempfile
import unittest

from sequoiagap import base, settings

GOOD = {
    "role": "agent",
    "node_id": "a1",
    "deployment": "d",
    "region": "r",
    "failure_domain": "f",
    "address": "127.0.0.1",
    "port": 0,
    "platform": {"url": "http://127.0.0.1:1"},
    "secret_file": "secret",
    "endpoint": {"kind": "model", "url": "http://127.0.0.1:2", "serves": ["m"]},
}


class LoaderTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def load(self, text):
        self.path.write_text(text)
        return settings.load(str(self.path))

    def test_comments_are_allowed(self):
        text = "// an agent\n" + json.dumps(GOOD, indent=1)
        self.assertEqual(self.load(text).node_id, "a1")

    def test_errors_name_file_key_and_value(self):
        cases = {
            "unknown key": ({"colour": 1}, "colour: unknown key"),
            "bad port": ({"port": 70000}, "port: 70000"),
            "bad role": ({"role": "clerk"}, "role: 'clerk'"),
            "bad address": ({"address": "host"}, "address: 'host'"),
        }
        for name, (change, expected) in cases.items():
            with self.subTest(name):
                with self.assertRaises(base.ConfigError) as caught:
                    self.load(json.dumps(GOOD | change))
                self.assertIn(str(self.path), str(caught.exception))
                self.assertIn(expected, str(caught.exception))

    def test_broken_text_and_missing_file(self):
        with self.assertRaises(base.ConfigError):
            self.load("{ not json")
        with self.assertRaises(base.ConfigError):
            settings.load(str(self.path.with_name("missing.json")))
