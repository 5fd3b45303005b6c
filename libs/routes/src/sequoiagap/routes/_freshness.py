"""Proof that the configuration was current a bounded time ago.

A key that operators took away may be honoured for a bounded time only. So it is
honoured on proof: a reading of the newest version, counted from the moment at which
the reading was asked for, on a clock that also counts while the host is suspended.
"""

import time

from sequoiagap import base


def suspend_aware_time():
    """Return seconds of a monotonic clock that counts suspended time.

    :rtype: float
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Remembers since when the configuration in force is known to be current.

    :param float max_age_s: how old a proof may be, in seconds.

    :ivar float confirmed_at_: when the newest reading was asked for, or ``None``.

    >>> freshness = Freshness(max_age_s=4.0)
    >>> freshness.is_fresh(now=10.0)
    False
    >>> freshness.record_reading(requested_at=9.0)
    >>> freshness.is_fresh(now=13.0), freshness.is_fresh(now=13.1)
    (True, False)
    """

    def __init__(self, max_age_s):
        self.max_age_s = base.check_positive("max_age_s", max_age_s)
        self.confirmed_at_ = None

    def record_reading(self, requested_at):
        """Take a reading of the newest version.

        :param float requested_at: when it was asked for.
        """
        if self.confirmed_at_ is None or requested_at > self.confirmed_at_:
            self.confirmed_at_ = requested_at

    def age(self, now):
        """Return the age of the newest proof in seconds; infinite for none.

        :param float now: the time now.
        :rtype: float
        """
        return float("inf") if self.confirmed_at_ is None else now - self.confirmed_at_

    def is_fresh(self, now):
        """Return whether the newest proof still holds.

        :param float now: the time now.
        :rtype: bool
        """
        return self.age(now) <= self.max_age_s
