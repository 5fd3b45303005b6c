"""Metrics in the Prometheus text format."""

import prometheus_client
import prometheus_client.parser
from prometheus_client import core

from sequoiagap.base import _metric_catalogue, _metrics

PREFIX = "sequoiagap_"
_TYPES_BY_SECTION = {"counters": "counter", "gauges": "gauge"}
_FRACTION_BY_QUANTILE = {f"p{round(f * 100)}": str(f) for f in _metrics.QUANTILES}


class _Collector:
    def __init__(self, document, node_id):
        self.document = document
        self.node_id = node_id

    def collect(self):
        """Yield one metric family for each metric."""
        for section, kind in _TYPES_BY_SECTION.items():
            for name, series in _by_name(self.document[section]):
                family = _family(name, kind)
                for labels, value in series:
                    family.add_sample(PREFIX + name, self._labels(labels), value)
                yield family
        for name, series in _by_name(self.document["seconds"]):
            yield self._summary(name, series)

    def _summary(self, name, series):
        family = _family(name, "summary")
        for labels, values in series:
            own = self._labels(labels)
            for quantile, fraction in _FRACTION_BY_QUANTILE.items():
                sample = own | {"quantile": fraction}
                family.add_sample(PREFIX + name, sample, values[quantile])
            family.add_sample(f"{PREFIX}{name}_count", own, values["count"])
            family.add_sample(f"{PREFIX}{name}_sum", own, values["sum"])
        return family

    def _labels(self, labels):
        return {"node": self.node_id, **labels}


def render(document, node_id):
    """Return all metrics as text.

    :param dict document: what :meth:`sequoiagap.base.Metrics.to_document` made.
    :param str node_id: label of each sample.
    :rtype: str
    """
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Collector(document, node_id))
    return prometheus_client.generate_latest(registry).decode()


def _family(name, kind):
    meaning = _metric_catalogue.METRIC_CATALOGUE.get(name, name)
    return core.Metric(PREFIX + name, meaning, kind)


def _by_name(values_by_key):
    """Return the series of each metric name as labels and value, sorted."""
    series_by_name = {}
    for key, value in sorted(values_by_key.items()):
        name, labels = _parse_key(key)
        series_by_name.setdefault(name, []).append((labels, value))
    return sorted(series_by_name.items())


def _parse_key(key):
    """Return name and labels of a key such as ``name{label="value"}``."""
    (family,) = prometheus_client.parser.text_string_to_metric_families(f"{key} 0\n")
    (sample,) = family.samples
    return sample.name, sample.labels
