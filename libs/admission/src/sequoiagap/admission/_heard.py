"""Last usage reports of entries and collectors, with expiry."""

import dataclasses

from sequoiagap.admission import _sheets

REPORT_EXPIRY_S = 2.0
RETENTION_S = 60.0


@dataclasses.dataclass
class LastReport:
    """Last report of one entry or collector.

    :param float heard_at: arrival of the report, monotonic time in seconds.
    :param int entries: number of entries that the report covers.
    :param bool wants_total: whether the sender requests the counts at other entries.
    :param dict count_by_account: :class:`RequestCount` by account.
    """

    heard_at: float = 0.0
    entries: int = 1
    wants_total: bool = False
    count_by_account: dict = dataclasses.field(default_factory=dict)


class LastReportTable:
    """Last reports by id of the sender.

    The report of a silent sender expires. Its counts are retained for longer, because a
    sender that was only paused goes on to send changes only.
    """

    def __init__(self):
        self._report_by_id = {}

    def record(self, sender_id, message, now):
        """Record a message of a sender.

        :param str sender_id: id of the sender.
        :param message: message as in :func:`_sheets.apply_delta`.
        :param float now: monotonic time in seconds.
        :returns: the updated report, or ``None`` if changes arrived without a full
            report before them; the sender's next connection begins with one.
        :rtype: LastReport | None
        """
        report = self._report_by_id.get(sender_id)
        if report is None:
            if not message.is_full:
                return None
            report = self._report_by_id[sender_id] = LastReport()
        report.heard_at = now
        _sheets.apply_delta(report.count_by_account, message)
        return report

    def last_heard_at(self, sender_id):
        """Return the time of a sender's last message; 0 for none.

        :param str sender_id: id of the sender.
        :returns: monotonic time in seconds.
        :rtype: float
        """
        report = self._report_by_id.get(sender_id)
        return report.heard_at if report else 0.0

    def current(self, now):
        """Return the reports that have not expired, by id of the sender.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, LastReport]
        """
        for sender_id in [
            i for i, h in self._report_by_id.items() if now - h.heard_at > RETENTION_S
        ]:
            del self._report_by_id[sender_id]
        return {
            i: h
            for i, h in self._report_by_id.items()
            if now - h.heard_at <= REPORT_EXPIRY_S
        }
