"""Duration of a group's passes, and the skew between ranks that it allows.

A group whose passes are well below the longest pause that callers tolerate gains
nothing from more even ranks, while each copy of an expert costs bandwidth and slows
every pass. The closer passes come to that pause, the more even the ranks have to be.
"""

import math

TARGET_PAUSE_SHARE = 0.45  # of the longest pause; prefill takes the rest
MAX_SKEW = 1.8  # even for short passes, as a shift of demand adds to the skew
SAMPLE_WEIGHT = 0.25
MAX_PASSES_AHEAD = 12  # passes
MAX_PASS_S = 1.0  # longer passes were held or stalled


class PassTimer:
    """Measures the duration of a pass with even ranks.

    :param float expert_share: share of such a pass that is spent on experts, 0 to 1.

    :ivar float even_pass_s_: mean duration with even ranks, in seconds; 0 if unknown.
    :ivar float pass_s_: duration of the newest passes, in seconds; 0 if unknown.
    """

    def __init__(self, expert_share):
        self.expert_share = expert_share
        self.even_pass_s_ = 0.0
        self.pass_s_ = 0.0
        self._last = None

    def record(self, step, now, is_busy, skew):
        """Record a reading of the last pass that was started.

        :param int step: number of the pass.
        :param float now: monotonic time in seconds.
        :param bool is_busy: whether the group has requests.
        :param float skew: longest over mean rank time since the previous reading.
        """
        last, self._last = self._last, (step, now) if is_busy else None
        if last is None or not is_busy or step <= last[0]:
            return
        pass_s = (now - last[1]) / (step - last[0])
        if pass_s > MAX_PASS_S:
            return
        self.pass_s_ = pass_s
        even_s = pass_s / self._pass_factor(skew)
        if not self.even_pass_s_:
            self.even_pass_s_ = even_s
        self.even_pass_s_ += SAMPLE_WEIGHT * (even_s - self.even_pass_s_)

    def tolerable_skew(self, longest_pause_s, min_skew):
        """Return the skew up to which passes stay well below the longest pause.

        :param float longest_pause_s: longest pause that callers tolerate, in seconds; 0
            for no limit.
        :param float min_skew: skew that is acceptable in any case.
        :rtype: float

        >>> timer = PassTimer(expert_share=1.0)
        >>> timer.tolerable_skew(0.12, min_skew=1.1)
        1.1
        >>> timer.record(10, 0.0, True, 1.0)
        >>> timer.record(11, 0.04, True, 1.0)
        >>> round(timer.tolerable_skew(0.12, min_skew=1.1), 2)
        1.35
        """
        if not self.even_pass_s_ or not longest_pause_s:
            return min_skew
        factor = TARGET_PAUSE_SHARE * longest_pause_s / self.even_pass_s_
        skew = (factor - 1.0 + self.expert_share) / self.expert_share
        return min(max(skew, min_skew), MAX_SKEW)

    def passes_ahead(self, lead_s, default):
        """Return how many passes ahead a pass starts just after a lead time.

        :param float lead_s: the lead time, in seconds.
        :param int default: number to return if the duration of a pass is unknown.
        :rtype: int

        >>> timer = PassTimer(expert_share=1.0)
        >>> timer.record(10, 0.0, True, 1.0)
        >>> timer.record(11, 0.1, True, 1.0)
        >>> timer.passes_ahead(0.08, 3), timer.passes_ahead(0.35, 8)
        (2, 5)
        """
        if not self.pass_s_:
            return default
        return min(1 + math.ceil(lead_s / self.pass_s_), MAX_PASSES_AHEAD)

    def _pass_factor(self, skew):
        return 1.0 - self.expert_share + self.expert_share * skew
