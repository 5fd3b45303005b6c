"""Counters, gauges and latency histograms of one process, kept in memory."""

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000
MAX_SERIES = 64
OVERFLOW_LABEL = "other"
QUANTILES = (0.5, 0.95, 0.99)


class Metrics:
    """Records the metrics of one process.

    A metric may have labels. Each combination of label values is one series with
    the key ``name{label="value"}``; without labels the key is the metric's name.

    :param int max_series: maximum number of series of one metric. Further label
        values are counted in one series whose label values are ``other``.

    :ivar dict counters_by_name: key to count.
    :ivar dict gauges_by_name: key to latest value.
    :ivar dict histograms_by_name: key to histogram, in microseconds.

    >>> metrics = Metrics()
    >>> metrics.count("requests_total", kind="stream")
    >>> metrics.counters_by_name
    {'requests_total{kind="stream"}': 1}
    """

    def __init__(self, max_series=MAX_SERIES):
        self.max_series = max_series
        self.counters_by_name = {}
        self.gauges_by_name = {}
        self.histograms_by_name = {}
        self._key_by_labels = {}
        self._series_by_name = {}

    def count(self, name, amount=1, **labels):
        """Increment a counter.

        :param str name: name of the counter, ending in ``_total``.
        :param int amount: increment.
        :param labels: label values by label name.
        """
        key = self._key(name, labels)
        self.counters_by_name[key] = self.counters_by_name.get(key, 0) + amount

    def set_counter(self, name, value, **labels):
        """Set a counter to a total that is counted elsewhere.

        :param str name: name of the counter, ending in ``_total``.
        :param float value: current value.
        :param labels: label values by label name.
        """
        self.counters_by_name[self._key(name, labels)] = value

    def set_gauge(self, name, value, **labels):
        """Set a gauge.

        :param str name: name of the gauge.
        :param float value: current value.
        :param labels: label values by label name.
        """
        self.gauges_by_name[self._key(name, labels)] = value

    def observe(self, name, seconds, **labels):
        """Record a duration in a histogram.

        :param str name: name of the histogram, ending in ``_seconds``.
        :param float seconds: the duration in seconds.
        :param labels: label values by label name.
        """
        key = self._key(name, labels)
        histogram = self.histograms_by_name.get(key)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms_by_name[key] = histogram
        value = min(max(int(seconds * MICROSECONDS), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)

    def quantile(self, name, fraction, **labels):
        """Return a quantile of a histogram in seconds; 0 if nothing was recorded.

        :param str name: name of the histogram.
        :param float fraction: from 0 to 1.
        :param labels: label values by label name.
        :rtype: float
        """
        histogram = self.histograms_by_name.get(_join(name, labels))
        return 0.0 if histogram is None else _quantile(histogram, fraction)

    def to_document(self):
        """Return all metrics as plain data, for the state dump and exposition.

        :rtype: dict
        """
        return {
            "counters": dict(self.counters_by_name),
            "gauges": dict(self.gauges_by_name),
            "seconds": {
                key: _summarise(histogram)
                for key, histogram in self.histograms_by_name.items()
            },
        }

    def _key(self, name, labels):
        if not labels:
            return name
        identity = (name, *labels.items())
        key = self._key_by_labels.get(identity)
        if key is None:
            key = self._add_series(name, labels, identity)
        return key

    def _add_series(self, name, labels, identity):
        """Return the key of a new series, or of the overflow series at the limit."""
        count = self._series_by_name.get(name, 0)
        if count >= self.max_series:
            return _join(name, dict.fromkeys(labels, OVERFLOW_LABEL))
        self._series_by_name[name] = count + 1
        key = _join(name, labels)
        self._key_by_labels[identity] = key
        return key


def _join(name, labels):
    if not labels:
        return name
    pairs = ",".join(
        f'{label}="{_escape(value)}"' for label, value in sorted(labels.items())
    )
    return f"{name}{{{pairs}}}"


def _escape(value):
    text = str(value).replace("\\", r"\\").replace('"', r"\"")
    return text.replace("\n", r"\n")


def _quantile(histogram, fraction):
    return histogram.get_value_at_percentile(fraction * 100) / MICROSECONDS


def _summarise(histogram):
    count = histogram.get_total_count()
    mean = histogram.get_mean_value() if count else 0.0
    quantiles = {
        f"p{round(fraction * 100)}": _quantile(histogram, fraction)
        for fraction in QUANTILES
    }
    return {"count": count, "sum": mean * count / MICROSECONDS, **quantiles}
