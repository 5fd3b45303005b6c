"""When the agent of another rank takes over the lead of a group.

The load that it answers: a leader that is killed, frozen or cut off at any moment.
While it changes the map, a pass may be held, and every request of the group waits for
it. So deputies hear from it at short intervals during a change, and the first of them
takes over within a fraction of a second. At other times nothing waits for the leader,
and the ranks follow each other patiently.
"""

from sequoiagap import base

DEPUTY_NOTICE_INTERVAL_S = (
    0.08  # between two words of a changing leader to its deputies
)
MAX_DEPUTIES = 3
DEPUTY_TIMEOUT_S = 0.25
DEPUTY_STAGGER_S = 0.15  # more for each deputy before
LEADER_TIMEOUT_S = 0.8  # without a poll by a lower rank
LEAD_STAGGER_S = 0.3  # more for each rank, so that few ever lead at once
NO_DEPUTY = -1


class Succession:
    """Follows one leader from the agent of another rank.

    Silence counts only while this process ran on time: one that was frozen itself
    takes its own delay for nobody's silence.

    :param float now: monotonic time in seconds.

    :ivar int leader_: rank that led last, or ``None``.
    :ivar int deputy_: own place among the deputies of a change under way, 0 first;
        ``NO_DEPUTY`` without one.
    """

    def __init__(self, now):
        self.leader_ = None
        self.deputy_ = NO_DEPUTY
        self._heard_at = now
        self._checked_at = now

    @property
    def is_deputy(self):
        """Whether a change is under way and this agent would have to settle it."""
        return self.deputy_ != NO_DEPUTY

    def record_leader(self, leader, now, deputy=None):
        """Take a word of the leader.

        :param int leader: its rank.
        :param float now: monotonic time in seconds.
        :param int deputy: own place among its deputies, ``NO_DEPUTY`` where no change
            is under way; ``None`` where it does not say.
        """
        if deputy is not None:
            self.deputy_ = deputy
        elif leader != self.leader_:
            self.end_change()  # what the last one has left is settled by this one
        self.leader_ = leader
        self._heard_at = now

    def last_heard(self, now):
        """Return the leader heard last and how long ago.

        :param float now: monotonic time in seconds.
        :returns: its rank, ``None`` without one, and the time in seconds.
        :rtype: tuple[int | None, float]
        """
        return self.leader_, now - self._heard_at

    def end_change(self):
        """Take it that the change is settled here, or over."""
        self.deputy_ = NO_DEPUTY

    def should_lead(self, rank, now, interval_s):
        """Return whether this agent should lead now; to be asked at short intervals.

        :param int rank: own rank.
        :param float now: monotonic time in seconds.
        :param float interval_s: time that was to pass since it was asked last.
        :rtype: bool
        """
        lag_s = now - self._checked_at - interval_s
        self._checked_at = now
        if lag_s > base.OWN_LAG_S:
            self._heard_at += lag_s
        return rank == 0 or now - self._heard_at > self._timeout_s(rank)

    def _timeout_s(self, rank):
        if self.is_deputy:
            return DEPUTY_TIMEOUT_S + DEPUTY_STAGGER_S * self.deputy_
        return LEADER_TIMEOUT_S + LEAD_STAGGER_S * rank
