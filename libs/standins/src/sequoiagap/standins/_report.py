"""What became of the requests of a run, by phase and client account."""

import dataclasses

from sequoiagap import base

ROW = "{:<18}{:<12}{:>7}{:>9}{:>8}{:>8}{:>6}{:>9}{:>9}{:>9}  {}"
HEAD = ("phase", "account", "sent", "answered", "refused", "unknown", "cut")
QUANTILES = (0.5, 0.95, 0.99)
MILLISECONDS = 1000
NOT_REFUSED = ("answered", "cut", "connection_lost")


@dataclasses.dataclass
class LoadReport:
    """What became of some requests.

    :param sequoiagap.base.Metrics metrics: ``first_byte_seconds`` and
        ``total_seconds``.
    :param dict count_by_result: how many ended as ``answered``, ``cut``,
        ``connection_lost`` or with a kind of refusal.
    :param list retry_after_s: what refused callers were told, in seconds.
    :param int unknown: refusals that leave open whether the request was run.
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
        """Take over the counts and histograms of another report.

        :param LoadReport other: what to add.
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
        """Requests sent."""
        return sum(self.count_by_result.values())

    @property
    def answered(self):
        """Requests that got the whole answer."""
        return self.count_by_result.get("answered", 0)

    @property
    def refused(self):
        """Requests that were refused, of every kind."""
        kinds = self.refusals()
        return sum(kinds.values())

    def refusals(self):
        """Return how many were refused, by kind.

        :rtype: dict[str, int]
        """
        return {
            kind: count
            for kind, count in self.count_by_result.items()
            if kind not in NOT_REFUSED
        }

    def first_byte_ms(self, fraction):
        """Return a quantile of the time to the first byte, in milliseconds.

        :param float fraction: from 0 to 1.
        :rtype: float
        """
        return self.metrics.quantile("first_byte_seconds", fraction) * MILLISECONDS

    def to_document(self):
        """Return the report as plain data.

        :rtype: dict
        """
        return {
            "sent": self.sent,
            "answered": self.answered,
            "by_result": dict(sorted(self.count_by_result.items())),
            "unknown": self.unknown,
            "first_byte_ms": {str(q): self.first_byte_ms(q) for q in QUANTILES},
        }


class LoadBook:
    """Reports by phase and client account.

    :ivar dict by_phase_and_account: report by ``(phase, account)``.

    >>> book = LoadBook()
    >>> book.get("normal", "guild").add("answered")
    >>> book.total(phase="normal").answered
    1
    """

    def __init__(self):
        self.by_phase_and_account = {}

    def get(self, phase, account):
        """Return the report of a phase and an account; made when new.

        :param str phase: name of the phase.
        :param str account: name of the client account.
        :rtype: LoadReport
        """
        return self.by_phase_and_account.setdefault((phase, account), LoadReport())

    def total(self, phase=None, account=None):
        """Return the sum over the phases and accounts that are not named.

        :param str phase: only this phase.
        :param str account: only this account.
        :rtype: LoadReport
        """
        total = LoadReport()
        for (one_phase, one_account), report in self.by_phase_and_account.items():
            if phase in (None, one_phase) and account in (None, one_account):
                total.merge(report)
        return total

    def to_document(self):
        """Return every report as plain data.

        :rtype: list[dict]
        """
        return [
            {"phase": phase, "account": account, **report.to_document()}
            for (phase, account), report in self.by_phase_and_account.items()
        ]

    def to_table(self):
        """Return a table for people.

        :rtype: str
        """
        head = [*HEAD, *(f"p{int(q * 100)} ms" for q in QUANTILES), "refusals"]
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
