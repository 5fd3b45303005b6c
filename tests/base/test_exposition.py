"""Metrics in the Prometheus text format, read back by the reference parser."""

import unittest

from prometheus_client import parser

from sequoiagap import base
from sequoiagap.base import exposition


class ExpositionTest(unittest.TestCase):
    def test_round_trip(self):
        metrics = base.Metrics()
        metrics.count("refused_total", 3, kind="overloaded")
        metrics.count("refused_total", 1, kind='odd "kind"\\')
        metrics.set_gauge("endpoint_limit", 4)
        for _ in range(4):
            metrics.observe("request_seconds", 0.25)
        text = exposition.render(metrics.to_document(), "entry-1")
        families = parser.text_string_to_metric_families(text)
        samples = {
            (s.name, s.labels.get("kind", s.labels.get("quantile", ""))): s.value
            for family in families
            for s in family.samples
            if s.labels["node"] == "entry-1"
        }
        self.assertEqual(samples["sequoiagap_refused_total", "overloaded"], 3)
        self.assertEqual(samples["sequoiagap_refused_total", 'odd "kind"\\'], 1)
        self.assertEqual(samples["sequoiagap_endpoint_limit", ""], 4)
        self.assertEqual(samples["sequoiagap_request_seconds_count", ""], 4)
        self.assertAlmostEqual(
            samples["sequoiagap_request_seconds", "0.95"], 0.25, delta=0.01
        )
