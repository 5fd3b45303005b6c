"""Heartbeats that agents owe to an entry."""

SILENT_INTERVALS = 2.5


class ReportTracker:
    """Tells which agents have stopped to report.

    >>> tracker = ReportTracker()
    >>> tracker.heard("agent-1", 1.0, now=0.0)
    >>> tracker.pop_overdue(now=2.4), tracker.pop_overdue(now=2.6)
    ([], ['agent-1'])
    """

    def __init__(self):
        self._due_by_id = {}

    def record_report(self, node_id, interval_s, now):
        """Note a report.

        :param str node_id: the agent.
        :param float interval_s: when its next one follows, in seconds; 0 if none.
        :param float now: monotonic time in seconds.
        """
        if interval_s <= 0:
            self.forget(node_id)
            return
        self._due_by_id[node_id] = now + SILENT_INTERVALS * interval_s

    def forget(self, node_id):
        """Expect no more reports of an agent.

        :param str node_id: the agent.
        """
        self._due_by_id.pop(node_id, None)

    def extend_deadlines(self, seconds):
        """Put every report off, after a pause of this process itself.

        :param float seconds: how long this process was paused.
        """
        for node_id in self._due_by_id:
            self._due_by_id[node_id] += seconds

    def pop_overdue(self, now):
        """Return the agents whose report is overdue; each is told once.

        :param float now: monotonic time in seconds.
        :rtype: list[str]
        """
        overdue = [item for item, due in self._due_by_id.items() if now > due]
        for node_id in overdue:
            del self._due_by_id[node_id]
        return overdue
