"""The agent's ledger of attempts: what came, what started, what is revoked."""

import collections
import dataclasses
import enum

from sequoiagap import base

MAX_DEADLINE_S = 3600.0
FORGET_MARGIN_S = 60.0


class AttemptState(enum.StrEnum):
    """What an agent knows of an attempt."""

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
    """Remembers attempts of one incarnation of an agent.

    An attempt that was revoked before it came leaves a tombstone, so that the
    message is refused when it arrives late. An id is forgotten only when its
    deadline is past by ``forget_margin_s``: a message that names it later is
    void by its own deadline, so a forgotten id can neither run again nor be
    taken for one that never started.

    :param str incarnation: incarnation of the agent.
    :param float max_deadline_s: longest deadline that an order may name.
    :param float forget_margin_s: how long past its deadline an id is kept.

    :ivar dict entry_by_id: what is known, by attempt id.

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
        self._ended_by_minute = collections.OrderedDict()

    def state(self, attempt_id, expires_at, now):
        """Return what is known of an attempt.

        :param str attempt_id: the attempt.
        :param float expires_at: its deadline.
        :param float now: the agent's clock in seconds.
        :returns: ``NEVER_STARTED`` only where that is proved.
        :rtype: AttemptState
        """
        known = self.entry_by_id.get(attempt_id)
        if known is not None:
            return known.state
        if self._may_be_forgotten(expires_at, now):
            return AttemptState.UNKNOWN
        return AttemptState.NEVER_STARTED

    def accept(self, attempt_id, expires_at, now):
        """Record an order that has come and may start later.

        :param str attempt_id: the attempt.
        :param float expires_at: its deadline.
        :param float now: the agent's clock in seconds.
        :returns: whether it may start; not if it is known or its deadline past.
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
        """Record that an accepted attempt starts.

        :param str attempt_id: the attempt.
        :param float now: the agent's clock in seconds.
        :returns: whether it may; not if revoked meanwhile or past its deadline.
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
        """Record that an attempt has ended.

        One that never started leaves a tombstone.

        :param str attempt_id: the attempt.
        :param float now: the agent's clock in seconds.
        """
        entry = self.entry_by_id.get(attempt_id)
        if entry is None:
            return
        if entry.state == AttemptState.ACCEPTED:
            entry.state = AttemptState.NEVER_STARTED
        elif entry.state == AttemptState.RUNNING:
            entry.state = AttemptState.FINISHED
        self._remember_until(attempt_id, max(entry.expires_at, now))

    def revoke(self, attempt_id, incarnation, expires_at, now):
        """Forbid an attempt that has not started and say what is known of it.

        :param str attempt_id: the attempt.
        :param str incarnation: incarnation that the attempt was sent to.
        :param float expires_at: its deadline.
        :param float now: the agent's clock in seconds.
        :rtype: AttemptState
        """
        self.forget(now)
        if incarnation != self.incarnation:
            return AttemptState.UNKNOWN
        known = self.entry_by_id.get(attempt_id)
        if known is not None:
            if known.state == AttemptState.ACCEPTED:
                known.state = AttemptState.NEVER_STARTED
                self._remember_until(attempt_id, known.expires_at)
            return known.state
        if self._may_be_forgotten(expires_at, now):
            return AttemptState.UNKNOWN
        tombstone = _Entry(AttemptState.NEVER_STARTED, expires_at)
        self.entry_by_id[attempt_id] = tombstone
        self._remember_until(attempt_id, expires_at)
        return AttemptState.NEVER_STARTED

    def forget(self, now):
        """Drop ended ids whose deadline is past by the margin.

        :param float now: the agent's clock in seconds.
        """
        minute = int((now - self.forget_margin_s) // self.forget_margin_s)
        for ended in [m for m in self._ended_by_minute if m < minute]:
            for attempt_id in self._ended_by_minute.pop(ended):
                self.entry_by_id.pop(attempt_id, None)

    def _may_be_forgotten(self, expires_at, now):
        return now >= expires_at + self.forget_margin_s

    def _remember_until(self, attempt_id, expires_at):
        bucket = int(expires_at // self.forget_margin_s)
        self._ended_by_minute.setdefault(bucket, []).append(attempt_id)
