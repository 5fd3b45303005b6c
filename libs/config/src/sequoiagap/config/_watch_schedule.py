"""Selection of the entries that poll the platform, without coordination."""

PERMANENT_WATCHERS = 2  # entries of a failure domain that poll all the time
TAKEOVER_S = 2.0
TAKEOVER_STEP_S = 0.1  # per rank, so that entries do not take over all at once
MAX_TAKEOVER_STEPS = 8
RETRY_S = 0.5
MAX_RETRY_S = 30.0


class WatchSchedule:
    """Decides when an entry calls the platform.

    The entries of a failure domain are ranked by rendezvous hashing. The first two
    poll the platform all the time. The others learn from the messages of their peers
    how long ago the platform answered, and take over when that is longer ago than
    ``TAKEOVER_S`` and a delay that grows with their rank.

    :param float now: monotonic time in seconds.

    :ivar float confirmed_at_: time of the latest answer of the platform, to this or
        another entry of the failure domain, monotonic seconds.

    >>> schedule = WatchSchedule(now=0.0)
    >>> schedule.delay_s(rank=0, now=1.0), schedule.delay_s(rank=5, now=1.0)
    (0.0, 1.5)
    """

    def __init__(self, now):
        self.confirmed_at_ = now
        self._failures = 0
        self._failed_at = now

    def record_peer_age(self, age_s, now):
        """Record the age that a peer of the failure domain reports.

        :param float age_s: time since the latest answer of the platform, in seconds.
        :param float now: monotonic time in seconds.
        """
        self.confirmed_at_ = max(self.confirmed_at_, now - age_s)

    def record_answer(self, now):
        """Record an answer of the platform to this entry.

        :param float now: monotonic time in seconds.
        """
        self.confirmed_at_ = now
        self._failures = 0

    def record_failure(self, now):
        """Record a failed call of the platform by this entry.

        :param float now: monotonic time in seconds.
        """
        self._failures += 1
        self._failed_at = now

    def age_ms(self, now):
        """Return the time since the latest answer of the platform, in milliseconds.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        return int((now - self.confirmed_at_) * 1000)

    def delay_s(self, rank, now):
        """Return the delay before the next call in seconds; 0 to call now.

        After failures the delay grows with the rank, so that the platform isn't
        called by every entry of a failure domain during an outage.

        :param int rank: place of this entry in its failure domain, from 0.
        :param float now: monotonic time in seconds.
        :rtype: float
        """
        step_in_at = now
        if rank >= PERMANENT_WATCHERS:
            steps = min(rank, MAX_TAKEOVER_STEPS)
            step_in_at = self.confirmed_at_ + TAKEOVER_S + TAKEOVER_STEP_S * steps
        if self._failures:
            pause = RETRY_S
            if rank >= PERMANENT_WATCHERS:
                pause = min(RETRY_S * (rank + 1), MAX_RETRY_S)
            step_in_at = max(step_in_at, self._failed_at + pause)
        return max(round(step_in_at - now, 6), 0.0)
