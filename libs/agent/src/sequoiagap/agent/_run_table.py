"""Runs at the endpoint by attempt and by key, with their held answers."""

import collections
import dataclasses

from sequoiagap import base

HOLD_S = 10.0
KEYED_HOLD_S = 600.0
HELD_BYTES = 8 * 1024 * 1024


class RunTable:
    """Runs under way, and ended ones that are held for a while.

    :param int held_bytes: most bytes of ended answers to hold.

    :ivar dict by_attempt_id: run by the id of each attempt that joined it.
    :ivar dict by_identity: run by the identity of its key.
    :ivar int held_bytes_: bytes of ended answers, as of their ends.
    """

    def __init__(self, held_bytes=HELD_BYTES):
        self.held_bytes = base.check_positive("held_bytes", held_bytes)
        self.by_attempt_id = {}
        self.by_identity = {}
        self.held_bytes_ = 0
        self._ended = collections.deque()
        self._ended_keyed = collections.deque()

    def add(self, run, attempt_id):
        """Add an attempt's run.

        :param Run run: the run.
        :param str attempt_id: the attempt.
        """
        self.by_attempt_id[attempt_id] = run
        run.attempt_ids_.append(attempt_id)
        if run.is_keyed:
            self.by_identity[run.wish.identity] = run

    def hold(self, run, now):
        """Note that a run has ended, and drop ended ones that are held too long.

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
        """Drop ended runs that are held too long or need too much memory.

        :param float now: the agent's clock in seconds.
        """
        for ended, hold_s in (
            (self._ended, HOLD_S),
            (self._ended_keyed, KEYED_HOLD_S),
        ):
            while ended and self._is_to_drop(ended[0], now - hold_s):
                self._drop(ended.popleft())

    def unkey(self, run):
        """Let the key of a run that never started be tried again.

        :param Run run: the run.
        """
        if run.is_keyed and self.by_identity.get(run.wish.identity) is run:
            del self.by_identity[run.wish.identity]

    def running(self):
        """Return the runs that have not ended.

        :rtype: list[Run]
        """
        runs = dict.fromkeys(self.by_attempt_id.values())
        return [run for run in runs if run.end_ is None]

    def _is_to_drop(self, run, ended_before):
        return run.ended_at_ < ended_before or self.held_bytes_ > self.held_bytes

    def _drop(self, run):
        self.held_bytes_ -= run.held_bytes_
        for attempt_id in run.attempt_ids_:
            self.by_attempt_id.pop(attempt_id, None)
        self.unkey(run)
