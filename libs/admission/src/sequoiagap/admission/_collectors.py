"""Usage of client accounts in a large deployment, summed by a few collectors.

Each entry reports its counts to two collectors of its failure domain, chosen by
rendezvous among the entries there. The collectors of the failure domains tell
each other the sums of their domains, and hand back to each entry what its own
accounts have at all others.
"""

from sequoiagap.admission import _heard, _sheets, _usage_messages

COLLECTORS = 2
PATIENCE_S = 1.5


class UsageCollector:
    """Sums what entries report; each entry can be one.

    :param str node_id: id of this entry.
    :param str failure_domain: its failure domain.
    :param float tolerance: share by which sums may be off, to save messages.
    """

    def __init__(self, node_id, failure_domain, tolerance=_sheets.TOLERANCE):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self._entries = _heard.HeardTable()
        self._collectors_by_domain = {}
        self._to_domains = _sheets.SheetSender(tolerance)
        self._to_entries = _sheets.SheetSender(tolerance)

    def take_entry(self, message, now):
        """Take the report of an entry of the own failure domain.

        :param EntryUsage message: the report.
        :param float now: monotonic time in seconds.
        """
        heard = self._entries.take(message.entry_id, message, now)
        if heard is not None:
            heard.wants_total = message.wants_total

    def take_domain(self, message, now):
        """Take the sums of another failure domain.

        :param DomainUsage message: the sums.
        :param float now: monotonic time in seconds.
        """
        table = self._collectors_by_domain.setdefault(
            message.failure_domain, _heard.HeardTable()
        )
        heard = table.take(message.collector_id, message, now)
        if heard is not None:
            heard.entries = message.entries

    def make_messages(self, now, collectors_by_domain, find_connection):
        """Return the messages of this round.

        :param float now: monotonic time in seconds.
        :param dict collectors_by_domain: ids of collectors, first choice first.
        :param find_connection: function of an entry's id that returns the
            connection to it, or ``None``.
        :returns: pairs of receiver and message.
        :rtype: list[tuple[str, object]]
        """
        own = self._entries.counted(now)
        if not own:
            return []
        own_sum = _heard.Heard(
            entries=len(own), sheet=_sheets.add_up(h.sheet for h in own.values())
        )
        messages = []
        if self._speaks_for_domain(now, collectors_by_domain):
            messages = self._tell_domains(
                own_sum, collectors_by_domain, find_connection
            )
        heard = [own_sum, *self._choose_domains(now, collectors_by_domain)]
        total = _heard.Heard(
            entries=sum(h.entries for h in heard),
            sheet=_sheets.add_up(h.sheet for h in heard),
        )
        return messages + self._tell_entries(own, total, find_connection)

    def _tell_domains(self, own_sum, collectors_by_domain, find_connection):
        messages = []
        receivers = [
            receiver
            for domain, ids in collectors_by_domain.items()
            if domain != self.failure_domain
            for receiver in ids
        ]
        self._to_domains.keep_only(receivers)
        for receiver in receivers:
            connection = find_connection(receiver)
            if connection is not None:
                columns = self._to_domains.columns(receiver, connection, own_sum.sheet)
                message = _usage_messages.DomainUsage(
                    self.failure_domain, self.node_id, own_sum.entries, *columns
                )
                messages.append((receiver, message))
        return messages

    def _tell_entries(self, own, total, find_connection):
        messages = []
        self._to_entries.keep_only(own)
        for entry_id, heard in own.items():
            connection = find_connection(entry_id)
            if connection is None or not heard.wants_total:
                continue
            rest = _sheets.rest_of(total.sheet, heard.sheet)
            columns = self._to_entries.columns(entry_id, connection, rest)
            message = _usage_messages.OtherUsage(
                self.node_id, total.entries - 1, *columns
            )
            messages.append((entry_id, message))
        return messages

    def _speaks_for_domain(self, now, collectors_by_domain):
        """Return whether no collector that goes before this one is heard."""
        ids = collectors_by_domain.get(self.failure_domain, [])
        if self.node_id not in ids:
            return False
        before = ids[: ids.index(self.node_id)]
        return all(now - self._entries.last_at(i) > PATIENCE_S for i in before)

    def _choose_domains(self, now, collectors_by_domain):
        """Return what counts for each other failure domain, from one collector."""
        chosen = []
        for domain, table in self._collectors_by_domain.items():
            by_collector = table.counted(now)
            ranked = collectors_by_domain.get(domain, [])
            if by_collector:
                chosen.append(by_collector[_find_first(ranked, by_collector)])
        return chosen


def _find_first(ranked, by_id):
    """Return the id that stands first; one that is not ranked goes last."""
    return min(by_id, key=lambda i: ranked.index(i) if i in ranked else len(ranked))
