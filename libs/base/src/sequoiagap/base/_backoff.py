"""Exponential backoff with jitter."""

GROWTH_FACTOR = 2.0
JITTER = 0.5  # fraction of a delay; keeps processes from retrying at the same moment


class Backoff:
    """Computes retry delays that grow with each consecutive failure.

    :param float first_s: delay after the first failure, in seconds.
    :param float longest_s: maximum delay, in seconds.
    :param random.Random random_state: source of the jitter.

    >>> import random
    >>> backoff = Backoff(0.1, 0.4, random.Random(1))
    >>> delays = [backoff.next_delay() for _ in range(4)]
    >>> all(0.5 * s <= d <= s for s, d in zip((0.1, 0.2, 0.4, 0.4), delays))
    True
    """

    def __init__(self, first_s, longest_s, random_state):
        self.first_s = first_s
        self.longest_s = longest_s
        self.random_state = random_state
        self._delay_s = first_s

    def next_delay(self):
        """Return the delay after one more failure, in seconds.

        :rtype: float
        """
        delay_s = self._delay_s
        self._delay_s = min(delay_s * GROWTH_FACTOR, self.longest_s)
        return delay_s * (1.0 - JITTER * self.random_state.random())

    def reset(self):
        """Restart with the first delay, after a success."""
        self._delay_s = self.first_s
