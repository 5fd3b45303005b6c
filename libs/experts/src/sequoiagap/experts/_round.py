"""Proposer side of the map change protocol: one round."""

import dataclasses
import enum

from sequoiagap import base
from sequoiagap.experts import _messages


class Phase(enum.StrEnum):
    """Phases of a round, in their order."""

    PREPARING = "preparing"
    ARMING = "arming"
    SETTLING = "settling"
    DONE = "done"
    FAILED = "failed"


class MapConflictError(base.SequoiagapError):
    """Two ranks have committed different maps under one version."""


@dataclasses.dataclass(frozen=True)
class Send:
    """A message and the rank to send it to.

    :param int rank: rank of the receiver.
    :param message: message to send.
    """

    rank: int
    message: object


class Round:
    """Completes an unfinished earlier round or else changes the map.

    :param str group: name of the group.
    :param int rank: rank of the proposer.
    :param int ranks: number of ranks in the group.
    :param int epoch: number of the round, see :func:`next_epoch`.
    :param str membership: digest of the incarnations on which the round is based.
    :param str wanted: digest of the map to change to; empty to only complete
        earlier rounds.
    :param int lead_steps: steps between arming and the change.
    :param bool always_settles: whether engines hold from the start of the round
        and so need a decision even if nothing changes.

    :ivar Phase phase_: current phase of the round.
    :ivar bool committed_: whether the round committed a map.
    :ivar int highest_epoch_: highest epoch in any reply, for the next round.
    :ivar MapRef target_: map that the round arms or commits.
    """

    def __init__(
        self,
        group,
        rank,
        ranks,
        epoch,
        membership,
        wanted="",
        lead_steps=8,
        always_settles=False,
    ):
        self.group = group
        self.rank = rank
        self.ranks = ranks
        self.epoch = epoch
        self.membership = membership
        self.wanted = wanted
        self.lead_steps = lead_steps
        self.always_settles = always_settles
        self.phase_ = Phase.PREPARING
        self.committed_ = False
        self.highest_epoch_ = epoch
        self.target_ = _messages.NO_MAP
        self.previous_ = _messages.NO_MAP
        self.promise_by_rank = {}
        self.answered_ = set()

    @property
    def is_over(self):
        """Whether the round has succeeded or failed."""
        return self.phase_ in (Phase.DONE, Phase.FAILED)

    def outstanding(self):
        """Return the messages of the current phase that have no reply yet.

        :rtype: list[Send]
        """
        if self.is_over:
            return []
        message = self._make_message()
        return [Send(r, message) for r in range(self.ranks) if r not in self.answered_]

    def on_promise(self, message):
        """Record a reply to ``Prepare``.

        :param Promise message: the reply.
        :returns: messages to send next.
        :rtype: list[Send]
        :raises MapConflictError: if two ranks committed different maps under one
            version.
        """
        self.highest_epoch_ = max(self.highest_epoch_, message.promised)
        if message.epoch != self.epoch or self.phase_ != Phase.PREPARING:
            return []
        if not message.accepted:
            return self._enter_phase(Phase.FAILED)
        self.promise_by_rank[message.rank] = message
        return self._record_answer(message.rank, self._decide)

    def on_armed(self, message):
        """Record a reply to ``Arm``.

        :param Armed message: the reply.
        :returns: messages to send next.
        :rtype: list[Send]
        """
        if message.epoch != self.epoch or self.phase_ != Phase.ARMING:
            return []
        if not message.accepted:
            return self._enter_phase(Phase.SETTLING)
        return self._record_answer(message.rank, self._commit)

    def on_settled(self, message):
        """Record a reply to ``Settle``.

        :param Settled message: the reply.
        :returns: messages to send next.
        :rtype: list[Send]
        """
        if message.epoch != self.epoch or self.phase_ != Phase.SETTLING:
            return []
        if not message.accepted:
            return self._enter_phase(Phase.FAILED)
        return self._record_answer(message.rank, lambda: self._enter_phase(Phase.DONE))

    def _record_answer(self, rank, complete):
        self.answered_.add(rank)
        return complete() if len(self.answered_) == self.ranks else []

    def _enter_phase(self, phase):
        self.phase_ = phase
        self.answered_ = set()
        return self.outstanding()

    def _decide(self):
        promises = list(self.promise_by_rank.values())
        newest = max(promises, key=lambda p: p.committed[0])
        committed = _messages.MapRef.from_wire(newest.committed)
        self._check_conflict(promises, committed)
        if any(p.committed[0] < committed.version for p in promises):
            self.target_ = committed
            self.previous_ = _messages.MapRef.from_wire(newest.previous)
            return self._commit()
        self.previous_ = committed
        if self._is_armed_everywhere(promises):
            self.target_ = _messages.MapRef.from_wire(promises[0].armed)
            return self._commit()
        if self._can_arm(promises, committed):
            at_step = max(p.step for p in promises)
            # A group without a map cannot step, so its first map takes effect at once.
            at_step += self.lead_steps if committed.version else 0
            self.target_ = _messages.MapRef(committed.version + 1, self.wanted, at_step)
            return self._enter_phase(Phase.ARMING)
        if self.always_settles or any(p.armed_epoch for p in promises):
            return self._enter_phase(Phase.SETTLING)
        return self._enter_phase(Phase.DONE)

    def _can_arm(self, promises, committed):
        return bool(self.wanted) and all(
            p.staged == self.wanted and p.step >= committed.at_step for p in promises
        )

    def _is_armed_everywhere(self, promises):
        """Return whether an earlier round may have committed the armed map."""
        epochs = {p.armed_epoch for p in promises}
        return len(epochs) == 1 and 0 not in epochs

    def _commit(self):
        self.committed_ = True
        return self._enter_phase(Phase.SETTLING)

    def _check_conflict(self, promises, committed):
        same = [p for p in promises if p.committed[0] == committed.version]
        if any(p.committed != committed.to_wire() for p in same):
            raise MapConflictError(
                f"ranks of {self.group} report different maps {committed.version}",
                "Stop rebalancing the group and restart its engines",
            )

    def _make_message(self):
        if self.phase_ == Phase.PREPARING:
            return _messages.Prepare(self.group, self.rank, self.epoch, self.membership)
        if self.phase_ == Phase.ARMING:
            return _messages.Arm(
                self.group,
                self.rank,
                self.epoch,
                self.membership,
                self.target_.to_wire(),
            )
        return _messages.Settle(
            self.group,
            self.rank,
            self.epoch,
            self.membership,
            self.committed_,
            self.target_.to_wire(),
            self.previous_.to_wire(),
        )


def next_epoch(highest, rank, ranks):
    """Return the lowest epoch above ``highest`` that a rank may propose.

    Epochs are split among the ranks modulo their number, so that no two proposers
    use the same epoch.

    :param int highest: highest epoch seen so far.
    :param int rank: rank of the proposer.
    :param int ranks: number of ranks in the group.
    :rtype: int

    >>> next_epoch(7, rank=1, ranks=3)
    10
    """
    return (highest // ranks + 1) * ranks + rank
