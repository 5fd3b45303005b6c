"""Detection of slow or failing endpoints by their answers."""

import collections
import statistics

from sequoiagap import base

BASELINE_SAMPLES = 64
MIN_BASELINE_SAMPLES = 8
SLOW_FACTOR = 3.0
MIN_SLOW_S = 0.02  # faster answers never count as slow
CONFIRMING_ANSWERS = 5
CONFIRMING_ERRORS = 2
BASELINE_RESET_S = 60.0


class EndpointHealth:
    """Distinguishes a degraded endpoint from ordinary variation of its answers.

    One slow answer or one error is no evidence: a long prompt is slow as well. An
    endpoint is suspected if the *fastest* of the last few answers exceeds a multiple of
    its baseline, or after consecutive errors.

    :param float slow_factor: multiple of the baseline above which an answer is slow.
    :param int confirming_answers: number of consecutive slow answers that raise a
        suspicion.
    :param int confirming_errors: number of consecutive errors that raise a suspicion.

    :ivar float baseline_s_: median first-byte time in seconds; 0 while unknown.
    :ivar int errors_in_row_: number of consecutive errors.

    >>> health = EndpointHealth(confirming_errors=2)
    >>> health.record_error(), health.record_error()
    (False, True)
    """

    def __init__(
        self,
        slow_factor=SLOW_FACTOR,
        confirming_answers=CONFIRMING_ANSWERS,
        confirming_errors=CONFIRMING_ERRORS,
    ):
        self.slow_factor = base.check_positive("slow_factor", slow_factor)
        self.confirming_answers = base.check_positive(
            "confirming_answers", confirming_answers
        )
        self.confirming_errors = base.check_positive(
            "confirming_errors", confirming_errors
        )
        self.baseline_s_ = 0.0
        self.errors_in_row_ = 0
        self._baseline_samples = collections.deque(maxlen=BASELINE_SAMPLES)
        self._recent = collections.deque(maxlen=confirming_answers)
        self._suspected_at = None

    def record_answer(self, first_byte_s, updates_baseline=True):
        """Record the first-byte time of an answer.

        :param float first_byte_s: time to the first byte in seconds.
        :param bool updates_baseline: whether the baseline may include the answer.
        :returns: whether the endpoint is suspected of being slow.
        :rtype: bool
        """
        self.errors_in_row_ = 0
        self._recent.append(first_byte_s)
        if not self.is_slow(first_byte_s) and updates_baseline:
            self._update_baseline(first_byte_s)
        is_full = len(self._recent) == self.confirming_answers
        return is_full and self.is_slow(min(self._recent))

    def record_error(self):
        """Record an attempt that failed at the endpoint.

        :returns: whether the endpoint is suspected of failing.
        :rtype: bool
        """
        self.errors_in_row_ += 1
        return self.errors_in_row_ >= self.confirming_errors

    def is_slow(self, first_byte_s):
        """Return whether a first-byte time is far above the baseline.

        :param float first_byte_s: time to the first byte in seconds.
        :rtype: bool
        """
        if not self.baseline_s_:
            return False
        threshold_s = max(self.baseline_s_ * self.slow_factor, MIN_SLOW_S)
        return first_byte_s > threshold_s

    def reset_after_suspicion(self, now):
        """Discard the recent answers after the endpoint turned cold.

        :param float now: monotonic time in seconds.
        """
        self._recent.clear()
        self.errors_in_row_ = 0
        if self._suspected_at is None:
            self._suspected_at = now

    def advance(self, now):
        """Reset the baseline if a suspicion is older than ``BASELINE_RESET_S``.

        A lasting change, such as a larger model, must not keep an endpoint at its cold
        limit forever.

        :param float now: monotonic time in seconds.
        """
        if self._suspected_at is None or now - self._suspected_at < BASELINE_RESET_S:
            return
        self._suspected_at = None
        self.baseline_s_ = 0.0
        self._baseline_samples.clear()
        self._recent.clear()

    def _update_baseline(self, first_byte_s):
        self._baseline_samples.append(first_byte_s)
        if len(self._baseline_samples) >= MIN_BASELINE_SAMPLES:
            self.baseline_s_ = statistics.median(self._baseline_samples)
