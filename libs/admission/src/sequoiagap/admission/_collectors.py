"""Aggregation of client accounts' usage by a few collectors per failure domain.

Each entry reports its counts to two collectors of its failure domain, chosen by
rendezvous hashing among the entries there. The collectors exchange the sums of their
failure domains and return to each entry the counts of its own accounts at all other
entries.
"""

from sequoiagap.admission import _heard, _sheets, _usage_messages

COLLECTORS_PER_DOMAIN = 2
COLLECTOR_TIMEOUT_S = 1.5


class UsageCollector:
    """Sums the usage that entries report; every entry can act as a collector.

    :param str node_id: id of this entry.
    :param str failure_domain: failure domain of this entry.
    :param float tolerance: relative deviation of a sum that is not sent, which saves
        messages.
    """

    def __init__(self, node_id, failure_domain, tolerance=_sheets.TOLERANCE):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self._entries = _heard.LastReportTable()
        self._collectors_by_domain = {}
        self._to_domains = _sheets.DeltaEncoder(tolerance)
        self._to_entries = _sheets.DeltaEncoder(tolerance)

    def record_entry_usage(self, message, now):
        """Record the report of an entry of the own failure domain.

        :param EntryUsage message: the report.
        :param float now: monotonic time in seconds.
        """
        report = self._entries.record(message.entry_id, message, now)
        if report is not None:
            report.wants_total = message.wants_total

    def record_domain_usage(self, message, now):
        """Record the sums of another failure domain.

        :param DomainUsage message: the sums.
        :param float now: monotonic time in seconds.
        """
        table = self._collectors_by_domain.setdefault(
            message.failure_domain, _heard.LastReportTable()
        )
        report = table.record(message.collector_id, message, now)
        if report is not None:
            report.entries = message.entries

    def make_messages(self, now, collectors_by_domain, find_connection):
        """Return the messages of this round to collectors and entries.

        :param float now: monotonic time in seconds.
        :param dict collectors_by_domain: ids of the collectors of each failure domain
            in order of preference.
        :param find_connection: function that returns the connection to an entry by its
            id, or ``None``.
        :returns: pairs of receiver id and message.
        :rtype: list[tuple[str, object]]
        """
        own = self._entries.current(now)
        if not own:
            return []
        own_sum = _heard.LastReport(
            entries=len(own),
            count_by_account=_sheets.sum_counts(
                h.count_by_account for h in own.values()
            ),
        )
        messages = []
        if self._is_active_collector(now, collectors_by_domain):
            messages = self._make_domain_messages(
                own_sum, collectors_by_domain, find_connection
            )
        reports = [own_sum, *self._choose_domains(now, collectors_by_domain)]
        total = _heard.LastReport(
            entries=sum(h.entries for h in reports),
            count_by_account=_sheets.sum_counts(h.count_by_account for h in reports),
        )
        return messages + self._make_entry_messages(own, total, find_connection)

    def _make_domain_messages(self, own_sum, collectors_by_domain, find_connection):
        messages = []
        receivers = [
            receiver
            for domain, ids in collectors_by_domain.items()
            if domain != self.failure_domain
            for receiver in ids
        ]
        self._to_domains.retain_receivers(receivers)
        for receiver in receivers:
            connection = find_connection(receiver)
            if connection is not None:
                columns = self._to_domains.encode_delta(
                    receiver, connection, own_sum.count_by_account
                )
                message = _usage_messages.DomainUsage(
                    self.failure_domain, self.node_id, own_sum.entries, *columns
                )
                messages.append((receiver, message))
        return messages

    def _make_entry_messages(self, own, total, find_connection):
        messages = []
        self._to_entries.retain_receivers(own)
        for entry_id, report in own.items():
            connection = find_connection(entry_id)
            if connection is None or not report.wants_total:
                continue
            remote = _sheets.subtract_counts(
                total.count_by_account, report.count_by_account
            )
            columns = self._to_entries.encode_delta(entry_id, connection, remote)
            message = _usage_messages.OtherUsage(
                self.node_id, total.entries - 1, *columns
            )
            messages.append((entry_id, message))
        return messages

    def _is_active_collector(self, now, collectors_by_domain):
        """Return whether this entry is the first active collector of its domain."""
        ids = collectors_by_domain.get(self.failure_domain, [])
        if self.node_id not in ids:
            return False
        before = ids[: ids.index(self.node_id)]
        return all(
            now - self._entries.last_heard_at(i) > COLLECTOR_TIMEOUT_S for i in before
        )

    def _choose_domains(self, now, collectors_by_domain):
        """Return the report of one collector for each other failure domain."""
        chosen = []
        for domain, table in self._collectors_by_domain.items():
            by_collector = table.current(now)
            ranked = collectors_by_domain.get(domain, [])
            if by_collector:
                chosen.append(by_collector[_find_first(ranked, by_collector)])
        return chosen


def _find_first(ranked, by_id):
    """Return the id with the best rank; ids without a rank come last."""
    return min(by_id, key=lambda i: ranked.index(i) if i in ranked else len(ranked))
