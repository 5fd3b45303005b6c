"""Ledger of the attempts that an agent accepted, started, finished or revoked."""

import collections
import dataclasses
import enum

from sequoiagap import base

MAX_DEADLINE_S = 3600.0
FORGET_MARGIN_S = 60.0


class AttemptState(enum.StrEnum):
    """State of an attempt, as far as an agent knows it."""

    NEVER_STARTED = "never_started"
    ACCEPTED = "accepted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Entry:
    state: AttemptState
    expires_at: float


class Ledger:
    """Records the attempts of one incarnation of an agent.

    An attempt that is revoked before its order arrives leaves a tombstone, so that
    the late order is rejected. An id is kept until ``forget_margin_s`` after its
    deadline. A message that arrives after that is invalid by its own deadline, so a
    forgotten attempt can neither run again nor be reported as never started.

    :param str incarnation: incarnation of the agent.
    :param float max_deadline_s: longest time until the deadline of an order, in
        seconds.
    :param float forget_margin_s: time that an id is kept after its deadline, in
        seconds.

    :ivar dict entry_by_id: state and deadline by attempt id.

    >>> ledger = Ledger("inc-1")
    >>> ledger.revoke("att-1", "inc-1", expires_at=9.0, now=1.0)
    <AttemptState.NEVER_STARTED: 'never_started'>
    >>> ledger.accept("att-1", expires_at=9.0, now=2.0)
    False
    """

    def __init__(
        self,
        incarnation,
        max_deadline_s=MAX_DEADLINE_S,
        forget_margin_s=FORGET_MARGIN_S,
    ):
        self.incarnation = incarnation
        self.max_deadline_s = base.check_positive("max_deadline_s", max_deadline_s)
        self.forget_margin_s = base.check_positive("forget_margin_s", forget_margin_s)
        self.entry_by_id = {}
        self._ended_by_bucket = collections.OrderedDict()

    def state(self, attempt_id, expires_at, now):
        """Return the state of an attempt.

        :param str attempt_id: id of the attempt.
        :param float expires_at: deadline of the attempt, in seconds of the agent's
            clock.
        :param float now: time of the agent's clock, in seconds.
        :returns: the state; ``NEVER_STARTED`` only if that is certain.
        :rtype: AttemptState
        """
        entry = self.entry_by_id.get(attempt_id)
        if entry is not None:
            return entry.state
        if self._may_be_forgotten(expires_at, now):
            return AttemptState.UNKNOWN
        return AttemptState.NEVER_STARTED

    def accept(self, attempt_id, expires_at, now):
        """Record an attempt whose order has arrived.

        :param str attempt_id: id of the attempt.
        :param float expires_at: deadline of the attempt.
        :param float now: time of the agent's clock, in seconds.
        :returns: whether the attempt may start later; false if its id is known, or
            if its deadline is past or further away than ``max_deadline_s``.
        :rtype: bool
        """
        self.forget(now)
        if attempt_id in self.entry_by_id or now >= expires_at:
            return False
        if expires_at > now + self.max_deadline_s:
            return False
        self.entry_by_id[attempt_id] = _Entry(AttemptState.ACCEPTED, expires_at)
        return True

    def start(self, attempt_id, now):
        """Record the start of an accepted attempt.

        :param str attempt_id: id of the attempt.
        :param float now: time of the agent's clock, in seconds.
        :returns: whether the attempt may start; false if it was revoked in the
            meantime or if its deadline is past.
        :rtype: bool
        """
        entry = self.entry_by_id.get(attempt_id)
        if entry is None or entry.state != AttemptState.ACCEPTED:
            return False
        if now >= entry.expires_at:
            return False
        entry.state = AttemptState.RUNNING
        return True

    def finish(self, attempt_id, now):
        """Record the end of an attempt.

        An attempt that never started leaves a tombstone.

        :param str attempt_id: id of the attempt.
        :param float now: time of the agent's clock, in seconds.
        """
        entry = self.entry_by_id.get(attempt_id)
        if entry is None:
            return
        if entry.state == AttemptState.ACCEPTED:
            entry.state = AttemptState.NEVER_STARTED
        elif entry.state == AttemptState.RUNNING:
            entry.state = AttemptState.FINISHED
        self._forget_after(attempt_id, max(entry.expires_at, now))

    def revoke(self, attempt_id, incarnation, expires_at, now):
        """Revoke an attempt unless it has started, and return its state.

        :param str attempt_id: id of the attempt.
        :param str incarnation: incarnation that the attempt was sent to.
        :param float expires_at: deadline of the attempt.
        :param float now: time of the agent's clock, in seconds.
        :rtype: AttemptState
        """
        self.forget(now)
        if incarnation != self.incarnation:
            return AttemptState.UNKNOWN
        entry = self.entry_by_id.get(attempt_id)
        if entry is not None:
            if entry.state == AttemptState.ACCEPTED:
                entry.state = AttemptState.NEVER_STARTED
                self._forget_after(attempt_id, entry.expires_at)
            return entry.state
        if self._may_be_forgotten(expires_at, now):
            return AttemptState.UNKNOWN
        tombstone = _Entry(AttemptState.NEVER_STARTED, expires_at)
        self.entry_by_id[attempt_id] = tombstone
        self._forget_after(attempt_id, expires_at)
        return AttemptState.NEVER_STARTED

    def forget(self, now):
        """Remove ended attempts whose deadline passed ``forget_margin_s`` ago.

        :param float now: time of the agent's clock, in seconds.
        """
        first_kept = int((now - self.forget_margin_s) // self.forget_margin_s)
        for bucket in [m for m in self._ended_by_bucket if m < first_kept]:
            for attempt_id in self._ended_by_bucket.pop(bucket):
                self.entry_by_id.pop(attempt_id, None)

    def _may_be_forgotten(self, expires_at, now):
        return now >= expires_at + self.forget_margin_s

    def _forget_after(self, attempt_id, expires_at):
        bucket = int(expires_at // self.forget_margin_s)
        self._ended_by_bucket.setdefault(bucket, []).append(attempt_id)
