"""Doubt about an agent, which counts once a probe of it stays unanswered."""

PROBE_ANSWER_S = 0.3


class Suspicion:
    """A suspicion of the agent at the other end of a connection.

    :ivar float suspected_at_: when it arose, monotonic time in seconds.
    """

    def __init__(self):
        self.suspected_at_ = 0.0

    def raise_on(self, connection, now):
        """Suspect the agent and probe it; an earlier suspicion is not put off.

        :param sequoiagap.wire.Connection connection: to the agent, or ``None``.
        :param float now: monotonic time in seconds.
        """
        if not self._awaits_answer(connection):
            self.suspected_at_ = now
        if connection is not None:
            connection.probe()

    def counts(self, connection, now):
        """Return whether the probe went unanswered and nothing was heard since.

        :param sequoiagap.wire.Connection connection: to the agent, or ``None``.
        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        is_late = now - self.suspected_at_ > PROBE_ANSWER_S
        return self._awaits_answer(connection) and is_late

    def _awaits_answer(self, connection):
        return connection is not None and connection.heard_at_ < self.suspected_at_
