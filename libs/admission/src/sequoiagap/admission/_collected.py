"""Usage at other entries as an entry receives it from collectors."""

from sequoiagap.admission import _heard, _sheets, _usage_messages

COLLECTOR_TIMEOUT_S = 1.5


class CollectedUsage:
    """Exchanges own counts for the collectors' counts at all other entries.

    :param str node_id: id of this entry.

    :ivar int counted_entries_: number of other entries in the latest counts.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self.counted_entries_ = 0
        self._collectors = _heard.LastReportTable()
        self._primary = ""
        self._primary_since = 0.0
        self._encoder = _sheets.DeltaEncoder()

    def record(self, message, now):
        """Record the counts that a collector returns.

        :param OtherUsage message: the counts.
        :param float now: monotonic time in seconds.
        """
        report = self._collectors.record(message.collector_id, message, now)
        if report is not None:
            report.entries = message.entries

    def make_messages(self, now, count_by_account, collectors, find_connection):
        """Return the report of this round for each connected collector.

        :param float now: monotonic time in seconds.
        :param dict count_by_account: own :class:`RequestCount` by account.
        :param list[str] collectors: ids of the own domain's collectors in order of
            preference.
        :param find_connection: function that returns the connection to an entry by its
            id, or ``None``.
        :returns: pairs of receiver id and message.
        :rtype: list[tuple[str, EntryUsage]]
        """
        self._choose_primary(now, collectors)
        self._encoder.retain_receivers(collectors)
        messages = []
        for collector_id in collectors:
            connection = find_connection(collector_id)
            if connection is None:
                continue
            is_full, *columns = self._encoder.encode_delta(
                collector_id, connection, count_by_account
            )
            wants_total = collector_id == self._primary
            message = _usage_messages.EntryUsage(
                self.node_id, is_full, wants_total, *columns
            )
            messages.append((collector_id, message))
        return messages

    def remote_counts(self, now):
        """Return the counts of the accounts at other entries.

        Uses the collector with the latest report. Without a recent report the counts
        are empty.

        :param float now: monotonic time in seconds.
        :returns: counts by account.
        :rtype: dict[str, RequestCount]
        """
        by_collector = self._collectors.current(now)
        if not by_collector:
            self.counted_entries_ = 0
            return {}
        latest = max(by_collector.values(), key=lambda report: report.heard_at)
        self.counted_entries_ = latest.entries
        return latest.count_by_account

    def _choose_primary(self, now, collectors):
        """Switch to the next collector after the one in use has been silent."""
        heard_at = max(
            self._primary_since, self._collectors.last_heard_at(self._primary)
        )
        is_silent = now - heard_at > COLLECTOR_TIMEOUT_S
        if self._primary in collectors and not is_silent:
            return
        others = [c for c in collectors if c != self._primary] or collectors
        self._primary = others[0] if others else ""
        self._primary_since = now
