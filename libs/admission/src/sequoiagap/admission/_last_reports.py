"""What other entries reported, and whether it still counts."""

import dataclasses

from sequoiagap.admission import _usage_counts

REPORT_EXPIRY_S = 2.0
RETENTION_S = 60.0


@dataclasses.dataclass
class LastReport:
    """What one entry or collector reported last.

    :param float heard_at: when, monotonic time in seconds.
    :param int entries: how many entries it stands for.
    :param bool wants_total: whether it wants the counts of the others.
    :param dict count_by_account: :class:`Count` by account.
    """

    heard_at: float = 0.0
    entries: int = 1
    wants_total: bool = False
    count_by_account: dict = dataclasses.field(default_factory=dict)


class LastReportTable:
    """What was heard, by id of the sender.

    A sender that falls silent counts no more. Its sheet is kept for a while, as
    it sends only changes if it was merely paused.
    """

    def __init__(self):
        self._report_by_id = {}

    def record(self, sender_id, message, now):
        """Take a message.

        :param str sender_id: the sender.
        :param message: message with the columns of a sheet.
        :param float now: monotonic time in seconds.
        :returns: what is known now, or ``None`` where changes came without what
            they change; the sender's next connection brings everything.
        :rtype: Heard | None
        """
        report = self._report_by_id.get(sender_id)
        if report is None:
            if not message.is_full:
                return None
            report = self._report_by_id[sender_id] = LastReport()
        report.heard_at = now
        _usage_counts.apply_delta(report.count_by_account, message)
        return report

    def last_heard_at(self, sender_id):
        """Return when a sender was heard last; 0 for never.

        :param str sender_id: the sender.
        :rtype: float
        """
        report = self._report_by_id.get(sender_id)
        return report.heard_at if report else 0.0

    def current(self, now):
        """Return what counts now.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, Heard]
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
