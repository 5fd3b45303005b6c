"""Limit of series per metric, and completeness of the metric catalogue."""

import ast
import unittest

from sequoiagap import base
from tests import support

METHODS = {"count", "observe", "set_counter", "set_gauge"}


def used_names():
    """Yield each metric name used in the code, with the path of the file."""
    for path in sorted((support.ROOT / "libs").rglob("*.py")):
        if "standins" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if _is_metric_call(node):
                yield node.args[0].value, str(path)


def _is_metric_call(node):
    if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
        return False
    owner = ast.unparse(node.func.value)
    return node.func.attr in METHODS and owner.endswith(("metrics", "metrics_"))


class MetricsTest(unittest.TestCase):
    def test_every_metric_is_documented(self):
        names = dict(used_names())
        self.assertGreater(len(names), 5)
        for name, path in names.items():
            with self.subTest(name, path=path):
                self.assertIn(name, base.METRIC_CATALOGUE)

    def test_docs_list_the_catalogue(self):
        text = (support.ROOT / "docs/METRICS.md").read_text()
        rows = [line for line in text.splitlines() if line.startswith("| `")]
        expected = [
            f"| `{name}` | {description} |"
            for name, description in sorted(base.METRIC_CATALOGUE.items())
        ]
        self.assertEqual(rows, expected)

    def test_series_are_bounded(self):
        metrics = base.Metrics(max_series=3)
        for i in range(1000):
            metrics.count("requests_total", account=f"account-{i}")
        self.assertEqual(len(metrics.counters_by_name), 4)
        other = metrics.counters_by_name['requests_total{account="other"}']
        self.assertEqual(other, 997)

    def test_label_values_are_escaped(self):
        metrics = base.Metrics()
        metrics.count("requests_total", model='a"b\\c\n')
        (key,) = metrics.counters_by_name
        self.assertEqual(key, 'requests_total{model="a\\"b\\\\c\\n"}')

    def test_document_summarises_durations(self):
        metrics = base.Metrics()
        for _ in range(10):
            metrics.observe("request_seconds", 0.5)
        found = metrics.to_document()["seconds"]["request_seconds"]
        self.assertEqual(found["count"], 10)
        self.assertAlmostEqual(found["sum"], 5.0, delta=0.1)
        self.assertAlmostEqual(found["p99"], 0.5, delta=0.01)
