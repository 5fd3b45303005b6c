"""Settings of the roles that the platform's adapter starts."""

import json
import pathlib
import re
import tempfile
import unittest

from sequoiagap import base, settings
from tests import support

COMMON = {
    "node_id": "n1",
    "deployment": "d",
    "region": "r",
    "failure_domain": "f",
    "address": "10.0.0.1",
    "port": 7000,
    "store": {"url": "http://10.0.0.9:80"},
}
GATEWAY = COMMON | {
    "role": "gateway",
    "front_address": "10.0.0.1:8080",
    "ready_address": "10.0.0.1:8081",
}
RANKS = COMMON | {"role": "ranks", "endpoint": "10.0.0.1:8000", "service": "s"}


class AdaptedRolesTest(unittest.TestCase):
    def load(self, document):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.yaml"
            path.write_text("// comment\n" + json.dumps(document))
            return settings.load(str(path))

    def test_valid_settings(self):
        self.assertEqual(self.load(GATEWAY).key_proof_ms, 5000)
        loaded = self.load(RANKS)
        self.assertEqual(loaded.endpoint, "10.0.0.1:8000")
        settings.check_files(loaded)

    def test_errors_name_missing_fields(self):
        for document in (GATEWAY, RANKS):
            for name in document.keys() - {"role"}:
                with self.subTest(document["role"], name=name):
                    less = {k: v for k, v in document.items() if k != name}
                    with self.assertRaisesRegex(base.ConfigError, f"{name}: missing"):
                        self.load(less)

    def test_errors_name_invalid_values(self):
        bad = {
            "front_address": "8080",
            "key_proof_ms": 0,
            "retry_ratio": 2,
            "port": 70000,
            "cold_overshoot": "much",
            "metrics_prt": 1,
        }
        for name, value in bad.items():
            with self.subTest(name), self.assertRaisesRegex(base.ConfigError, name):
                self.load(GATEWAY | {name: value})

    def test_templates_match_the_fields_of_the_settings(self):
        models = {"gateway": settings.GatewaySettings, "ranks": settings.RankSettings}
        for role, model in models.items():
            text = (support.ROOT / f"platform/{role}.json").read_text()
            names = re.findall(r'^  "([a-z_]+)":', text, re.MULTILINE)
            self.assertLessEqual(set(names), set(model.model_fields))
            needed = {n for n, f in model.model_fields.items() if f.is_required()}
            self.assertLessEqual(needed, set(names))
