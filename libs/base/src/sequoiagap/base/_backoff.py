"""Growing, spread waits between tries of something that fails."""

GROWTH = 2.0
SPREAD = 0.5  # of a wait, so that many processes don't try at one moment


class Backoff:
    """Waits that grow with each failure in a row.

    :param float first_s: first wait, in seconds.
    :param float longest_s: longest wait, in seconds.
    :param random.Random random_state: spreads the waits.

    >>> import random
    >>> backoff = Backoff(0.1, 0.4, random.Random(1))
    >>> waits = [backoff.next_wait() for _ in range(4)]
    >>> all(0.5 * s <= w <= s for s, w in zip((0.1, 0.2, 0.4, 0.4), waits))
    True
    """

    def __init__(self, first_s, longest_s, random_state):
        self.first_s = first_s
        self.longest_s = longest_s
        self.random_state = random_state
        self._wait_s = first_s

    def next_delay(self):
        """Return the wait after one more failure, in seconds.

        :rtype: float
        """
        wait_s = self._wait_s
        self._wait_s = min(wait_s * GROWTH, self.longest_s)
        return wait_s * (1.0 - SPREAD * self.random_state.random())

    def reset(self):
        """Take it that a try has succeeded."""
        self._wait_s = self.first_s
