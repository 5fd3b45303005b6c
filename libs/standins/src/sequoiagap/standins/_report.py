"""Results of load generation by phase and client account."""

import dataclasses

from sequoiagap import base

ROW = "{:<18}{:<12}{:>7}{:>9}{:>8}{:>8}{:>6}{:>9}{:>9}{:>9}  {}"
HEADER = ("phase", "account", "sent", "answered", "refused", "unknown", "cut")
QUANTILES = (0.5, 0.95, 0.99)
MILLISECONDS = 1000
OTHER_RESULTS = ("answered", "cut", "connection_lost")


@dataclasses.dataclass
class LoadReport:
    """Aggregates the results of requests.

    :param sequoiagap.base.Metrics metrics: histograms ``first_byte_seconds`` and
        ``total_seconds``.
    :param dict count_by_result: number of requests by result: ``answered``, ``cut``,
        ``connection_lost`` or a kind of rejection.
    :param list retry_after_s: retry delays given to rejected callers, in seconds.
    :param int unknown: rejections that leave open whether the request was run.
    """

    metrics: base.Metrics = dataclasses.field(default_factory=base.Metrics)
    count_by_result: dict = dataclasses.field(default_factory=dict)
    retry_after_s: list = dataclasses.field(default_factory=list)
    unknown: int = 0

    def add(self, result):
        """Count one result.

        :param str result: name of the result.
        """
        self.count_by_result[result] = self.count_by_result.get(result, 0) + 1

    def merge(self, other):
        """Add the counts and histograms of another report.

        :param LoadReport other: report to add.
        """
        for result, count in other.count_by_result.items():
            self.count_by_result[result] = self.count_by_result.get(result, 0) + count
        for name, histogram in other.metrics.histograms_by_name.items():
            self.metrics.observe(name, 0.0)
            own = self.metrics.histograms_by_name[name]
            if own.get_total_count() == 1:
                own.reset()
            own.add(histogram)
        self.retry_after_s += other.retry_after_s
        self.unknown += other.unknown

    @property
    def sent(self):
        """Number of requests sent."""
        return sum(self.count_by_result.values())

    @property
    def answered(self):
        """Number of requests that got the complete answer."""
        return self.count_by_result.get("answered", 0)

    @property
    def refused(self):
        """Number of rejected requests, of every kind."""
        kinds = self.refusals()
        return sum(kinds.values())

    def refusals(self):
        """Return the number of rejected requests by kind.

        :rtype: dict[str, int]
        """
        return {
            kind: count
            for kind, count in self.count_by_result.items()
            if kind not in OTHER_RESULTS
        }

    def first_byte_ms(self, fraction):
        """Return a quantile of the time to first byte, in milliseconds.

        :param float fraction: quantile, from 0 to 1.
        :rtype: float
        """
        return self.metrics.quantile("first_byte_seconds", fraction) * MILLISECONDS

    def to_document(self):
        """Return the report as a JSON-compatible dict.

        :rtype: dict
        """
        return {
            "sent": self.sent,
            "answered": self.answered,
            "by_result": dict(sorted(self.count_by_result.items())),
            "unknown": self.unknown,
            "first_byte_ms": {str(q): self.first_byte_ms(q) for q in QUANTILES},
        }


class LoadReports:
    """Keeps reports by phase and client account.

    :ivar dict by_phase_and_account: report by ``(phase, account)``.

    >>> reports = LoadReports()
    >>> reports.get("normal", "guild").add("answered")
    >>> reports.total(phase="normal").answered
    1
    """

    def __init__(self):
        self.by_phase_and_account = {}

    def get(self, phase, account):
        """Return the report of a phase and an account; create it if missing.

        :param str phase: name of the phase.
        :param str account: name of the client account.
        :rtype: LoadReport
        """
        return self.by_phase_and_account.setdefault((phase, account), LoadReport())

    def total(self, phase=None, account=None):
        """Return the sum of the reports, optionally of one phase or account.

        :param str phase: phase to select, or ``None`` for all.
        :param str account: account to select, or ``None`` for all.
        :rtype: LoadReport
        """
        total = LoadReport()
        for (report_phase, report_account), report in self.by_phase_and_account.items():
            if phase in (None, report_phase) and account in (None, report_account):
                total.merge(report)
        return total

    def to_document(self):
        """Return all reports as a JSON-compatible list.

        :rtype: list[dict]
        """
        return [
            {"phase": phase, "account": account, **report.to_document()}
            for (phase, account), report in self.by_phase_and_account.items()
        ]

    def to_table(self):
        """Return all reports as a text table.

        :rtype: str
        """
        head = [*HEADER, *(f"p{int(q * 100)} ms" for q in QUANTILES), "refusals"]
        lines = [ROW.format(*head)]
        for (phase, account), report in self.by_phase_and_account.items():
            lines.append(_row(phase, account, report))
        return "\n".join(lines)


def _row(phase, account, report):
    times = [f"{report.first_byte_ms(q):.1f}" for q in QUANTILES]
    kinds = " ".join(f"{k}={n}" for k, n in sorted(report.refusals().items()))
    cut = report.count_by_result.get("cut", 0)
    lost = report.count_by_result.get("connection_lost", 0)
    counts = [report.sent, report.answered, report.refused, report.unknown, cut + lost]
    return ROW.format(phase, account, *counts, *times, kinds)
