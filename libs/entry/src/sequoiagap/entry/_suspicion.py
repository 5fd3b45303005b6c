"""Suspicion that an agent has failed, confirmed by an unanswered probe."""

PROBE_TIMEOUT_S = 0.3


class Suspicion:
    """Tracks whether the agent at the other end of a connection is suspect.

    :ivar float suspected_at_: start of the suspicion, monotonic time in seconds.
    """

    def __init__(self):
        self.suspected_at_ = 0.0

    def start(self, connection, now):
        """Suspect the agent and send it a probe.

        An earlier suspicion that is still unanswered keeps its start time.

        :param sequoiagap.wire.Connection connection: connection to the agent, or
            ``None``.
        :param float now: monotonic time in seconds.
        """
        if not self._is_unanswered(connection):
            self.suspected_at_ = now
        if connection is not None:
            connection.probe()

    def is_confirmed(self, connection, now):
        """Return whether the probe timed out and nothing was received since.

        :param sequoiagap.wire.Connection connection: connection to the agent, or
            ``None``.
        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        is_late = now - self.suspected_at_ > PROBE_TIMEOUT_S
        return self._is_unanswered(connection) and is_late

    def _is_unanswered(self, connection):
        return connection is not None and connection.heard_at_ < self.suspected_at_
