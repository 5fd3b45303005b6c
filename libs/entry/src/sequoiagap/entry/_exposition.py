"""Metrics in the Prometheus text format."""

import prometheus_client
from prometheus_client import core

QUANTILES = (0.5, 0.95, 0.99)
PREFIX = "sequoiagap_"


class _Collector:
    def __init__(self, metrics, node_id):
        self.metrics = metrics
        self.node_id = node_id

    def collect(self):
        """Yield one metric family for each metric."""
        for name, value in sorted(self.metrics.counters_by_name.items()):
            family = core.CounterMetricFamily(PREFIX + name, name, labels=["node"])
            family.add_metric([self.node_id], value)
            yield family
        for name, value in sorted(self.metrics.gauges_by_name.items()):
            family = core.GaugeMetricFamily(PREFIX + name, name, labels=["node"])
            family.add_metric([self.node_id], value)
            yield family
        for name in sorted(self.metrics.histograms_by_name):
            yield self._quantiles(name)

    def _quantiles(self, name):
        family = core.GaugeMetricFamily(
            PREFIX + name, name, labels=["node", "quantile"]
        )
        for fraction in QUANTILES:
            value = self.metrics.quantile(name, fraction)
            family.add_metric([self.node_id, str(fraction)], value)
        return family


def render(metrics, node_id):
    """Return all metrics as text.

    :param sequoiagap.base.Metrics metrics: what to render.
    :param str node_id: label of each sample.
    :rtype: str
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics, node_id))
    return prometheus_client.generate_latest(registry).decode()
