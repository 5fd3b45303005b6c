"""Exposition of metrics in the Prometheus text format."""

import prometheus_client
import prometheus_client.parser
from prometheus_client import core

from sequoiagap.base import _metric_catalogue, _metrics

PREFIX = "sequoiagap_"
_TYPES_BY_SECTION = {"counters": "counter", "gauges": "gauge"}
_FRACTION_BY_QUANTILE = {f"p{round(f * 100)}": str(f) for f in _metrics.QUANTILES}


class _Collector:
    """Converts a metrics document to Prometheus metric families."""

    def __init__(self, document, node_id):
        self.document = document
        self.node_id = node_id

    def collect(self):
        """Yield one metric family per metric."""
        for section, kind in _TYPES_BY_SECTION.items():
            for name, series in _group_by_name(self.document[section]):
                family = _family(name, kind)
                for labels, value in series:
                    family.add_sample(PREFIX + name, self._labels(labels), value)
                yield family
        for name, series in _group_by_name(self.document["seconds"]):
            yield self._summary(name, series)

    def _summary(self, name, series):
        family = _family(name, "summary")
        for labels, values in series:
            labels_of_series = self._labels(labels)
            for quantile, fraction in _FRACTION_BY_QUANTILE.items():
                sample = labels_of_series | {"quantile": fraction}
                family.add_sample(PREFIX + name, sample, values[quantile])
            family.add_sample(
                f"{PREFIX}{name}_count", labels_of_series, values["count"]
            )
            family.add_sample(f"{PREFIX}{name}_sum", labels_of_series, values["sum"])
        return family

    def _labels(self, labels):
        return {"node": self.node_id, **labels}


def render(document, node_id):
    """Return all metrics in the Prometheus text format.

    :param dict document: result of :meth:`sequoiagap.base.Metrics.to_document`.
    :param str node_id: value of the label ``node`` of each sample.
    :rtype: str
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Collector(document, node_id))
    return prometheus_client.generate_latest(registry).decode()


def _family(name, kind):
    description = _metric_catalogue.METRIC_CATALOGUE.get(name, name)
    return core.Metric(PREFIX + name, description, kind)


def _group_by_name(values_by_key):
    """Return labels and value of each series, grouped and sorted by metric name."""
    series_by_name = {}
    for key, value in sorted(values_by_key.items()):
        name, labels = _parse_key(key)
        series_by_name.setdefault(name, []).append((labels, value))
    return sorted(series_by_name.items())


def _parse_key(key):
    """Return name and labels of a series key such as ``name{label="value"}``."""
    (family,) = prometheus_client.parser.text_string_to_metric_families(f"{key} 0\n")
    (sample,) = family.samples
    return sample.name, sample.labels
