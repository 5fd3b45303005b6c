"""Detection of abandoned holds at the ranks of a group."""

ORPHAN_TIMEOUT_S = 0.35  # a hold older than this, without a change here, is abandoned


class HoldTracker:
    """Tracks since when a pass has been held at each rank.

    :param int own_rank: rank of the leader; a hold found there is abandoned at once.
    """

    def __init__(self, own_rank):
        self.own_rank = own_rank
        self._since_by_rank = {}

    @property
    def has_holds_(self):
        """Whether a hold is known that has not been settled."""
        return bool(self._since_by_rank)

    def record(self, report_by_rank, now):
        """Record the ranks' reports; a rank without one keeps its previous state.

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
        """Return an abandoned hold.

        :param float now: monotonic time in seconds.
        :param bool is_urgent: whether a predecessor is known to have abandoned one.
        :returns: the rank and the pass, or ``None``.
        :rtype: tuple[int, int] | None
        """
        timeout_s = 0.0 if is_urgent else ORPHAN_TIMEOUT_S
        for rank, (step, since) in self._since_by_rank.items():
            if rank == self.own_rank or now - since >= timeout_s:
                return rank, step
        return None

    def clear(self):
        """Discard all holds, as they are settled or the group has re-formed."""
        self._since_by_rank = {}
