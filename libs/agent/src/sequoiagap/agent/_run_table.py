"""Index of runs by attempt and by key, including buffered answers."""

import collections
import dataclasses

from sequoiagap import base

RETENTION_S = 10.0
KEYED_RETENTION_S = 600.0
MAX_HELD_BYTES = 8 * 1024 * 1024


class RunTable:
    """Holds active runs, and ended runs for a retention time.

    :param int held_bytes: limit on the bytes of answers of ended runs.

    :ivar dict by_attempt_id: run of each attempt.
    :ivar dict by_identity: run of each key, by the identity of the key.
    :ivar int held_bytes_: bytes of ended answers, measured when each run ended.
    """

    def __init__(self, held_bytes=MAX_HELD_BYTES):
        self.held_bytes = base.check_positive("held_bytes", held_bytes)
        self.by_attempt_id = {}
        self.by_identity = {}
        self.held_bytes_ = 0
        self._ended = collections.deque()
        self._ended_keyed = collections.deque()

    def add(self, run, attempt_id):
        """Add an attempt to a run.

        :param Run run: the run.
        :param str attempt_id: the attempt.
        """
        self.by_attempt_id[attempt_id] = run
        run.attempt_ids_.append(attempt_id)
        if run.is_keyed:
            self.by_identity[run.proposal.identity] = run

    def record_end(self, run, now):
        """Record the end of a run and drop ended runs past their retention.

        :param Run run: the run.
        :param float now: the agent's clock in seconds.
        """
        run.ended_at_ = now
        run.order = dataclasses.replace(run.order, body=b"")
        run.held_bytes_ = run.buffer.held_bytes_
        self.held_bytes_ += run.held_bytes_
        (self._ended_keyed if run.is_keyed else self._ended).append(run)
        self.drop_old(now)

    def drop_old(self, now):
        """Drop ended runs past their retention time or over the memory limit.

        :param float now: the agent's clock in seconds.
        """
        for ended, retention_s in (
            (self._ended, RETENTION_S),
            (self._ended_keyed, KEYED_RETENTION_S),
        ):
            while ended and self._should_drop(ended[0], now - retention_s):
                self._drop(ended.popleft())

    def release_key(self, run):
        """Remove the key of a run, so that a later request may use it again.

        :param Run run: the run.
        """
        if run.is_keyed and self.by_identity.get(run.proposal.identity) is run:
            del self.by_identity[run.proposal.identity]

    def running(self):
        """Return the runs that have not ended.

        :rtype: list[Run]
        """
        runs = dict.fromkeys(self.by_attempt_id.values())
        return [run for run in runs if run.end_ is None]

    def _should_drop(self, run, ended_before):
        return run.ended_at_ < ended_before or self.held_bytes_ > self.held_bytes

    def _drop(self, run):
        self.held_bytes_ -= run.held_bytes_
        for attempt_id in run.attempt_ids_:
            self.by_attempt_id.pop(attempt_id, None)
        self.release_key(run)
