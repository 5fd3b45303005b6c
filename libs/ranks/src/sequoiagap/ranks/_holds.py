"""Holds that a leader finds at the ranks of its group."""

ORPHAN_TIMEOUT_S = 0.35  # a hold this long without a change here is nobody's


class HoldTracker:
    """Remembers since when a pass has been held at a rank.

    :param int own_rank: rank of the leader; a hold found there is nobody's at once.
    """

    def __init__(self, own_rank):
        self.own_rank = own_rank
        self._since_by_rank = {}

    @property
    def has_holds_(self):
        """Whether a hold is known that has not been settled."""
        return bool(self._since_by_rank)

    def record(self, report_by_rank, now):
        """Take what ranks say; one that says nothing counts as it did before.

        :param dict report_by_rank: fresh reports.
        :param float now: monotonic time in seconds.
        """
        for rank, report in report_by_rank.items():
            since = self._since_by_rank.get(rank)
            if not report.held_step:
                self._since_by_rank.pop(rank, None)
            elif since is None or since[0] != report.held_step:
                self._since_by_rank[rank] = (report.held_step, now)

    def find_orphan(self, now, is_urgent):
        """Return a hold that nobody answers for.

        :param float now: monotonic time in seconds.
        :param bool is_urgent: whether a predecessor is known to have left one.
        :returns: the rank and the pass, or ``None``.
        :rtype: tuple[int, int] | None
        """
        timeout_s = 0.0 if is_urgent else ORPHAN_TIMEOUT_S
        for rank, (step, since) in self._since_by_rank.items():
            if rank == self.own_rank or now - since >= timeout_s:
                return rank, step
        return None

    def clear(self):
        """Forget all holds, as they are settled or the group has formed anew."""
        self._since_by_rank = {}
