"""Retry budget that limits retries to a share of the first attempts."""

from sequoiagap import base


class RetryBudget:
    """Limits retries to a share of first attempts by a token bucket.

    :param float share: number of retries granted per first attempt, 0 to 1.
    :param float burst: maximum number of retries that can accumulate.

    :ivar float saved_: number of retries available now.
    :ivar int first_attempts_: number of first attempts so far.
    :ivar int retries_: number of retries granted so far.

    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.try_spend()
    True
    >>> budget.try_spend()
    False
    """

    def __init__(self, share=0.1, burst=20.0):
        self.share = base.check_fraction("share", share)
        self.burst = base.check_positive("burst", burst)
        self.saved_ = float(burst)
        self.first_attempts_ = 0
        self.retries_ = 0

    def record_first_attempt(self):
        """Record a first attempt, which adds its share to the budget."""
        self.first_attempts_ += 1
        self.saved_ = min(self.saved_ + self.share, self.burst)

    def try_spend(self):
        """Take one retry from the budget if it has one.

        :returns: whether the retry is granted.
        :rtype: bool
        """
        if self.saved_ < 1.0:
            return False
        self.saved_ -= 1.0
        self.retries_ += 1
        return True

    def resize(self, burst):
        """Change how many retries can accumulate; those above it are dropped.

        :param float burst: maximum number of retries that can accumulate.
        """
        self.burst = base.check_positive("burst", burst)
        self.saved_ = min(self.saved_, self.burst)

    def drain(self):
        """Drop the accumulated retries."""
        self.saved_ = 0.0

    def fill(self):
        """Accumulate as many retries as are allowed."""
        self.saved_ = self.burst
