"""Which entries of a failure domain watch the platform; decided alone."""

PERMANENT_WATCHERS = 2
TAKEOVER_S = 2.0
TAKEOVER_STEP_S = 0.1
MAX_TAKEOVER_STEPS = 8
RETRY_S = 0.5
MAX_RETRY_S = 30.0


class WatchSchedule:
    """Decides when an entry calls the platform.

    The entries of a failure domain are ranked by rendezvous. The first two watch
    all the time. The others hear from them, in the offers that spread, how long
    ago the platform had its last word, and step in when that gets old.

    :ivar float confirmed_at_: when the platform last had its word, here or at
        another entry of the failure domain, monotonic seconds.

    >>> duty = WatchSchedule(now=0.0)
    >>> duty.delay_s(rank=0, now=1.0), duty.delay_s(rank=5, now=1.0)
    (0.0, 1.5)
    """

    def __init__(self, now):
        self.confirmed_at_ = now
        self._failures = 0
        self._failed_at = now

    def record_peer_age(self, age_s, now):
        """Take the age that an offer of an entry of the failure domain names.

        :param float age_s: age of the platform's last word, in seconds.
        :param float now: monotonic time in seconds.
        """
        self.confirmed_at_ = max(self.confirmed_at_, now - age_s)

    def record_answer(self, now):
        """Note that the platform has answered here.

        :param float now: monotonic time in seconds.
        """
        self.confirmed_at_ = now
        self._failures = 0

    def record_failure(self, now):
        """Note that the platform has not answered here.

        :param float now: monotonic time in seconds.
        """
        self._failures += 1
        self._failed_at = now

    def age_ms(self, now):
        """Return the age of the platform's last word, in milliseconds.

        :param float now: monotonic time in seconds.
        :rtype: int
        """
        return int((now - self.confirmed_at_) * 1000)

    def delay_s(self, rank, now):
        """Return how long to wait before the next call; 0 to call now.

        After failures the wait grows with the rank, so that an outage does not
        bring every entry of a failure domain down on the platform.

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
