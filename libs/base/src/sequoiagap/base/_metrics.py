"""Counters, gauges and latency histograms of one process."""

import hdrh.histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS = 1_000_000


class Metrics:
    """Metrics of one process, kept in memory.

    :ivar dict counters_by_name: name to count.
    :ivar dict gauges_by_name: name to last value.
    :ivar dict histograms_by_name: name to histogram, in microseconds.

    >>> metrics = Metrics()
    >>> metrics.count("requests_total")
    >>> metrics.counters_by_name["requests_total"]
    1
    """

    def __init__(self):
        self.counters_by_name = {}
        self.gauges_by_name = {}
        self.histograms_by_name = {}

    def count(self, name, amount=1):
        """Add to a counter.

        :param str name: name of the counter, ending in ``_total``.
        :param int amount: how much to add.
        """
        self.counters_by_name[name] = self.counters_by_name.get(name, 0) + amount

    def set_gauge(self, name, value):
        """Set a gauge.

        :param str name: name of the gauge.
        :param float value: its value now.
        """
        self.gauges_by_name[name] = value

    def observe(self, name, seconds):
        """Record a duration.

        :param str name: name of the histogram, ending in ``_seconds``.
        :param float seconds: the duration in seconds.
        """
        histogram = self.histograms_by_name.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.histograms_by_name[name] = histogram
        value = min(max(int(seconds * MICROSECONDS), LOWEST_US), HIGHEST_US)
        histogram.record_value(value)

    def quantile(self, name, fraction):
        """Return a quantile of a histogram in seconds; 0 if nothing was recorded.

        :param str name: name of the histogram.
        :param float fraction: from 0 to 1.
        :rtype: float
        """
        histogram = self.histograms_by_name.get(name)
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(fraction * 100) / MICROSECONDS

    def to_document(self):
        """Return every metric as plain data for the state dump.

        :rtype: dict
        """
        quantiles = {
            name: {
                "count": histogram.get_total_count(),
                "p50": self.quantile(name, 0.5),
                "p95": self.quantile(name, 0.95),
                "p99": self.quantile(name, 0.99),
            }
            for name, histogram in self.histograms_by_name.items()
        }
        return {
            "counters": dict(self.counters_by_name),
            "gauges": dict(self.gauges_by_name),
            "seconds": quantiles,
        }
