"""Bound on the age of the configuration by which keys are accepted.

A key that operators have revoked may be accepted for a bounded time only. Keys are
therefore accepted only if a recent reading has confirmed the configuration as the
newest version. The age counts from the time at which the reading was requested, on a
clock that also advances while the host is suspended.
"""

import time

from sequoiagap import base


def suspend_aware_time():
    """Return monotonic time that includes suspended time, in seconds.

    :rtype: float
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """Tracks when the configuration in force was last confirmed as current.

    :param float max_age_s: maximum age of a confirmation, in seconds.

    :ivar float confirmed_at_: request time of the latest confirming reading, or
        ``None``.

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
        """Record a reading that confirmed the configuration as the newest version.

        :param float requested_at: time of its request, see :func:`suspend_aware_time`.
        """
        if self.confirmed_at_ is None or requested_at > self.confirmed_at_:
            self.confirmed_at_ = requested_at

    def age(self, now):
        """Return the age of the latest confirmation in seconds; infinite for none.

        :param float now: current time, see :func:`suspend_aware_time`.
        :rtype: float
        """
        return float("inf") if self.confirmed_at_ is None else now - self.confirmed_at_

    def is_fresh(self, now):
        """Return whether the latest confirmation is not too old.

        :param float now: current time, see :func:`suspend_aware_time`.
        :rtype: bool
        """
        return self.age(now) <= self.max_age_s
