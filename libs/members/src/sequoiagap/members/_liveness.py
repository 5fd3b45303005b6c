"""Deadlines of the heartbeats that an entry expects from agents."""

SILENT_INTERVALS = 2.5  # a report is overdue after so many report intervals


class ReportTracker:
    """Detects agents whose reports have stopped.

    >>> tracker = ReportTracker()
    >>> tracker.record_report("agent-1", 1.0, now=0.0)
    >>> tracker.pop_overdue(now=2.4), tracker.pop_overdue(now=2.6)
    ([], ['agent-1'])
    """

    def __init__(self):
        self._due_by_id = {}

    def record_report(self, node_id, interval_s, now):
        """Record a report and set the deadline of the next one.

        :param str node_id: id of the agent.
        :param float interval_s: time until the next report, in seconds; 0 if the
            agent sends no further reports here.
        :param float now: monotonic time in seconds.
        """
        if interval_s <= 0:
            self.forget(node_id)
            return
        self._due_by_id[node_id] = now + SILENT_INTERVALS * interval_s

    def forget(self, node_id):
        """Stop expecting reports of an agent.

        :param str node_id: id of the agent.
        """
        self._due_by_id.pop(node_id, None)

    def extend_deadlines(self, seconds):
        """Extend all deadlines after this process itself was paused.

        :param float seconds: length of the pause.
        """
        for node_id in self._due_by_id:
            self._due_by_id[node_id] += seconds

    def pop_overdue(self, now):
        """Return the agents whose report is overdue, and stop expecting their reports.

        :param float now: monotonic time in seconds.
        :rtype: list[str]
        """
        overdue = [item for item, due in self._due_by_id.items() if now > due]
        for node_id in overdue:
            del self._due_by_id[node_id]
        return overdue
