"""Retry budget: retries are a bounded share of live traffic."""

from sequoiagap import base


class RetryBudget:
    """Grants retries as a share of first attempts.

    :param float share: retries for each first attempt.
    :param float burst: most retries that can be saved up.

    :ivar int first_attempts_: first attempts so far.
    :ivar int retries_: retries granted so far.

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
        """Save up the share of one first attempt."""
        self.first_attempts_ += 1
        self.saved_ = min(self.saved_ + self.share, self.burst)

    def try_spend(self):
        """Spend one retry if there is one.

        :rtype: bool
        """
        if self.saved_ < 1.0:
            return False
        self.saved_ -= 1.0
        self.retries_ += 1
        return True
