"""Failover of a group's leader to the agent of another rank.

Guards against a leader that is killed, frozen or cut off at any moment. While it
changes the map, a pass may be held, and every request of the group waits for it. So
during a change its deputies receive notices at short intervals, and the first deputy
takes over within a fraction of a second. At other times nothing waits for the leader,
and ranks take over only after longer, staggered timeouts.
"""

from sequoiagap import base

DEPUTY_NOTICE_INTERVAL_S = 0.08  # sent by the leader during a change
MAX_DEPUTIES = 3
DEPUTY_TIMEOUT_S = 0.25
DEPUTY_STAGGER_S = 0.15  # added for each deputy that comes before
LEADER_TIMEOUT_S = 0.8  # without a message from a lower rank
LEAD_STAGGER_S = 0.3  # added for each rank, so that few ever lead at once
NO_DEPUTY = -1


class Succession:
    """Tracks the leader and decides when the agent of another rank takes over.

    Silence counts only while this process ran on time: a process that was frozen itself
    does not take its own delay for the leader's silence.

    :param float now: monotonic time in seconds.

    :ivar int leader_: rank of the last leader heard from, or ``None``.
    :ivar int deputy_: own position among the deputies of a change in progress, starting
        at 0; ``NO_DEPUTY`` if not a deputy.
    """

    def __init__(self, now):
        self.leader_ = None
        self.deputy_ = NO_DEPUTY
        self._heard_at = now
        self._checked_at = now

    @property
    def is_deputy(self):
        """Whether a change is in progress that this agent may have to settle."""
        return self.deputy_ != NO_DEPUTY

    def record_leader(self, leader, now, deputy=None):
        """Record that the leader was heard from.

        :param int leader: rank of the leader.
        :param float now: monotonic time in seconds.
        :param int deputy: own position among its deputies, ``NO_DEPUTY`` if no change
            is in progress; ``None`` if the message does not state it.
        """
        if deputy is not None:
            self.deputy_ = deputy
        elif leader != self.leader_:
            self.end_change()  # the new leader settles what the last one abandoned
        self.leader_ = leader
        self._heard_at = now

    def last_heard(self, now):
        """Return the last leader heard from and the time since then.

        :param float now: monotonic time in seconds.
        :returns: rank of the leader, or ``None``, and the time in seconds.
        :rtype: tuple[int | None, float]
        """
        return self.leader_, now - self._heard_at

    def end_change(self):
        """Record that the change is settled here, or has ended."""
        self.deputy_ = NO_DEPUTY

    def should_lead(self, rank, now, interval_s):
        """Return whether this agent should lead now; to be called at short intervals.

        :param int rank: own rank.
        :param float now: monotonic time in seconds.
        :param float interval_s: expected time since the previous call, in seconds.
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
