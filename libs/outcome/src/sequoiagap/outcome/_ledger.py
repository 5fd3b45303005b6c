"""The agent's ledger of attempts: what started, what ended, what is revoked."""

import collections
import enum

from sequoiagap import base


class Standing(enum.StrEnum):
    """What an agent knows of an attempt."""

    NEVER_STARTED = "never_started"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Ledger:
    """Remembers attempts of one incarnation of an agent.

    An attempt that was revoked before it came leaves a tombstone, so that the
    message is refused when it arrives late.

    :param str incarnation: incarnation of the agent.
    :param int capacity: how many ended attempts and tombstones to remember.

    >>> ledger = Ledger("inc-1")
    >>> ledger.revoke("att-1", "inc-1")
    <Standing.NEVER_STARTED: 'never_started'>
    >>> ledger.start("att-1")
    False
    """

    def __init__(self, incarnation, capacity=100_000):
        self.incarnation = incarnation
        self.capacity = base.check_positive("capacity", capacity)
        self.running_ids_ = set()
        self._ended_by_id = collections.OrderedDict()

    def start(self, attempt_id):
        """Record that an attempt starts.

        :param str attempt_id: the attempt.
        :returns: whether it may start; not if it was seen or revoked before.
        :rtype: bool
        """
        if attempt_id in self.running_ids_ or attempt_id in self._ended_by_id:
            return False
        self.running_ids_.add(attempt_id)
        return True

    def finish(self, attempt_id):
        """Record that a started attempt has ended.

        :param str attempt_id: the attempt.
        """
        self.running_ids_.discard(attempt_id)
        self._remember(attempt_id, Standing.FINISHED)

    def revoke(self, attempt_id, incarnation):
        """Forbid an attempt that has not started and say what is known of it.

        :param str attempt_id: the attempt.
        :param str incarnation: incarnation that the attempt was sent to.
        :rtype: Standing
        """
        if incarnation != self.incarnation:
            return Standing.UNKNOWN
        if attempt_id in self.running_ids_:
            return Standing.RUNNING
        known = self._ended_by_id.get(attempt_id)
        if known is not None:
            return known
        self._remember(attempt_id, Standing.NEVER_STARTED)
        return Standing.NEVER_STARTED

    def _remember(self, attempt_id, standing):
        self._ended_by_id[attempt_id] = standing
        while len(self._ended_by_id) > self.capacity:
            self._ended_by_id.popitem(last=False)
