"""An entry's side of usage that collectors sum."""

from sequoiagap.admission import _heard, _sheets, _usage_messages

PATIENCE_S = 1.5


class CollectedUsage:
    """What accounts have at other entries, as collectors hand it back.

    :param str node_id: id of this entry.

    :ivar int entries_: other entries that are counted.
    """

    def __init__(self, node_id):
        self.node_id = node_id
        self.entries_ = 0
        self._collectors = _heard.HeardTable()
        self._primary = ""
        self._primary_since = 0.0
        self._sender = _sheets.SheetSender()

    def take(self, message, now):
        """Take what a collector hands back.

        :param OtherUsage message: the counts.
        :param float now: monotonic time in seconds.
        """
        heard = self._collectors.take(message.collector_id, message, now)
        if heard is not None:
            heard.entries = message.entries

    def make_messages(self, now, sheet, collectors, find_connection):
        """Return the report of this round for each collector.

        :param float now: monotonic time in seconds.
        :param dict sheet: own :class:`Count` by account.
        :param list[str] collectors: of the own domain, first choice first.
        :param find_connection: function of an entry's id that returns the
            connection to it, or ``None``.
        :returns: pairs of receiver and message.
        :rtype: list[tuple[str, EntryUsage]]
        """
        self._choose_primary(now, collectors)
        self._sender.keep_only(collectors)
        messages = []
        for collector_id in collectors:
            connection = find_connection(collector_id)
            if connection is None:
                continue
            is_full, *columns = self._sender.columns(collector_id, connection, sheet)
            wants_total = collector_id == self._primary
            message = _usage_messages.EntryUsage(
                self.node_id, is_full, wants_total, *columns
            )
            messages.append((collector_id, message))
        return messages

    def others(self, now):
        """Return what accounts have at other entries.

        The collector that was heard last counts; where none has been heard of
        late, there is nothing to count.

        :param float now: monotonic time in seconds.
        :rtype: dict[str, Count]
        """
        by_collector = self._collectors.counted(now)
        if not by_collector:
            self.entries_ = 0
            return {}
        latest = max(by_collector.values(), key=lambda heard: heard.at)
        self.entries_ = latest.entries
        return latest.sheet

    def _choose_primary(self, now, collectors):
        """Ask the next collector once the one in use has been silent."""
        heard_at = max(self._primary_since, self._collectors.last_at(self._primary))
        is_silent = now - heard_at > PATIENCE_S
        if self._primary in collectors and not is_silent:
            return
        others = [c for c in collectors if c != self._primary] or collectors
        self._primary = others[0] if others else ""
        self._primary_since = now
