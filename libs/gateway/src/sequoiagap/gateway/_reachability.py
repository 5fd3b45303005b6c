"""Tracks whether a gateway can connect to endpoints at all."""

LOST_AFTER_FAILURES = 4  # failed connections in a row


class Reachability:
    """Tracks whether this gateway can connect to endpoints at all.

    :ivar int failures: failed connections since the last successful one.
    """

    def __init__(self):
        self.failures = 0

    def record(self, is_connected):
        """Record whether an attempt opened a connection."""
        self.failures = 0 if is_connected else self.failures + 1

    def is_lost(self):
        """Return whether so many connections failed that callers should go elsewhere.

        :rtype: bool
        """
        return self.failures >= LOST_AFTER_FAILURES
