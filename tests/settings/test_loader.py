"""Loading of settings and keys: errors name the file, key, value and remedy."""

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


A, B, C = ("a" * 64, "b" * 64, "c" * 64)


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
            "unknown key": ({"colour": 1}, "colour: unknown key; remove it"),
            "similar key": ({"portt": 1}, "portt: unknown key; did you mean 'port'?"),
            "similar nested key": (
                {"platform": {"url": "http://a", "timeout": 1}},
                "platform.timeout: unknown key; did you mean 'timeout_s'?",
            ),
            "missing key": ({"endpoint": {}}, "endpoint.url: missing; add it; write"),
            "bad port": ({"port": 70000}, "port: 70000: Input should be less than"),
            "bad choice": ({"log_level": "loud"}, "log_level: 'loud': Input should"),
            "bad url": ({"platform": {"url": "a:1"}}, "for example, 'http://10."),
            "item of a list": (
                {"endpoint": GOOD["endpoint"] | {"serves": ["a b"]}},
                "endpoint.serves.0: 'a b'",
            ),
            "bad role": ({"role": "clerk"}, "role: 'clerk'"),
            "bad address": ({"address": "host"}, "address: 'host'"),
        }
        for name, (change, expected) in cases.items():
            with self.subTest(name):
                with self.assertRaises(base.ConfigError) as caught:
                    self.load(json.dumps(GOOD | change))
                self.assertIn(str(self.path), str(caught.exception))
                self.assertIn(expected, str(caught.exception))

    def test_invalid_text_and_missing_file(self):
        with self.assertRaises(base.ConfigError):
            self.load("{ not json")
        with self.assertRaises(base.ConfigError):
            settings.load(str(self.path.with_name("missing.json")))


class KeysTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "keys.json"

    def load(self, accounts, operators=None):
        document = {"accounts": accounts, "operators": operators or {}}
        self.path.write_text(json.dumps(document))
        return settings.load_keys(str(self.path))

    def test_account_with_several_keys(self):
        accounts, operators = self.load({"guild": [A, B]}, {"ann": [C]})
        self.assertEqual(accounts, {A: "guild", B: "guild"})
        self.assertEqual(operators, {C: "ann"})

    def test_errors_of_invalid_files_show_no_value(self):
        cases = {
            "key in place of digest": ({"guild": ["my-plain-key"]}, {}, "pattern"),
            "no key": ({"guild": []}, {}, "at least 1"),
            "two accounts, one key": ({"guild": [A], "desk": [A]}, {}, "same key"),
            "account and operator": ({"guild": [A]}, {"ann": [A]}, "same key"),
        }
        for name, (accounts, operators, expected) in cases.items():
            with self.subTest(name):
                with self.assertRaises(base.ConfigError) as caught:
                    self.load(accounts, operators)
                self.assertIn(expected, str(caught.exception))
                self.assertNotIn("my-plain-key", str(caught.exception))

    def test_short_secret_is_rejected(self):
        self.path.write_text("short\n")
        with self.assertRaisesRegex(base.ConfigError, "sequoiagap key"):
            settings.load_secret(str(self.path))
