"""An entry's side of usage that collectors sum."""

from sequoiagap.admission import _last_reports, _usage_counts, _usage_messages

COLLECTOR_TIMEOUT_S = 1.5


class CollectedUsage:
    """What accounts have at other entries, as collectors hand it back.

    :param str node_id: id of this entry.

    :ivar int counted_entries_: other entries that are counted.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self.counted_entries_ = 0
        self._collectors = _last_reports.LastReportTable()
        self._primary = ""
        self._primary_since = 0.0
        self._encoder = _usage_counts.DeltaEncoder()

    def record(self, message, now):
        """Take what a collector hands back.

        :param OtherUsage message: the counts.
        :param float now: monotonic time in seconds.
        """
        report = self._collectors.record(message.collector_id, message, now)
        if report is not None:
            report.entries = message.entries

    def make_messages(self, now, count_by_account, collectors, find_connection):
        """Return the report of this round for each collector.

        :param float now: monotonic time in seconds.
        :param dict count_by_account: own :class:`Count` by account.
        :param list[str] collectors: of the own domain, first choice first.
        :param find_connection: function of an entry's id that returns the
            connection to it, or ``None``.
        :returns: pairs of receiver and message.
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
        """Return what accounts have at other entries.

        The collector that was heard last counts; where none has been heard of
        late, there is nothing to count.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, Count]
        """
        by_collector = self._collectors.current(now)
        if not by_collector:
            self.counted_entries_ = 0
            return {}
        latest = max(by_collector.values(), key=lambda report: report.heard_at)
        self.counted_entries_ = latest.entries
        return latest.count_by_account

    def _choose_primary(self, now, collectors):
        """Ask the next collector once the one in use has been silent."""
        heard_at = max(
            self._primary_since, self._collectors.last_heard_at(self._primary)
        )
        is_silent = now - heard_at > COLLECTOR_TIMEOUT_S
        if self._primary in collectors and not is_silent:
            return
        others = [c for c in collectors if c != self._primary] or collectors
        self._primary = others[0] if others else ""
        self._primary_since = now
