"""Decisions of one rank in a change of map.

A map is committed only when all ranks of the group have armed it, and a rank
that armed holds at the step until it is told: so no step can use two maps. It
works like Paxos whose quorum is every rank, which costs no availability that
lock-step has not cost already.

The code does no I/O. It takes messages and returns the orders for the engine
and the answer, which may be sent only once the orders are carried out.
"""

import dataclasses
import enum
import hashlib

from sequoiagap.experts import _messages

MEMBERSHIP_CHARACTERS = 16


class OrderKind(enum.StrEnum):
    """Orders to an engine."""

    ARM = "arm"
    COMMIT = "commit"
    DISARM = "disarm"
    LOAD = "load"
    HOLD = "hold"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to the engine beside the agent.

    :param OrderKind kind: what to do.
    :param int epoch: fencing number; an engine that checks refuses lower ones.
    :param MapRef target: the map.
    :param MapRef previous: the map before it, for ``load``.
    """

    kind: OrderKind
    epoch: int
    target: _messages.MapRef = _messages.NO_MAP
    previous: _messages.MapRef = _messages.NO_MAP


@dataclasses.dataclass(frozen=True)
class EngineView:
    """What an engine says of itself.

    :param int step: its next step.
    :param MapRef previous: map before the committed one.
    :param MapRef committed: committed map; version 0 if it has none.
    :param int armed_epoch: round that armed a map; 0 for none.
    :param MapRef armed: the armed map.
    :param str staged: digest of the map whose weights are staged.
    :param int fence: highest fencing number that it has seen.
    """

    step: int = 0
    previous: _messages.MapRef = _messages.NO_MAP
    committed: _messages.MapRef = _messages.NO_MAP
    armed_epoch: int = 0
    armed: _messages.MapRef = _messages.NO_MAP
    staged: str = ""
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class Effects:
    """What follows from a message.

    :param tuple orders: orders for the engine, to be carried out first.
    :param reply: message to send back, or ``None``.
    """

    orders: tuple = ()
    reply: object = None


class RankState:
    """What one incarnation of a rank has promised, armed and committed.

    A fresh incarnation, after a start of the agent or of its engine, does not
    know what its predecessor promised. It takes part only once every peer has
    answered its ``Join``: from then on a peer refuses each round that counts on
    the predecessor, and a round that was carried out before that is known to
    the peer and so bounds what the fresh incarnation may promise.

    :param str group: name of the group.
    :param int rank: own rank.
    :param int ranks: ranks of the group.
    :param str incarnation: own fresh incarnation.
    :param EngineView view: state of the engine.

    :ivar bool joined_: whether every peer has answered.
    :ivar int promised_: highest epoch promised.
    :ivar MapRef committed_: the committed map.
    """

    def __init__(self, group, rank, ranks, incarnation, view):
        self.group = group
        self.rank = rank
        self.ranks = ranks
        self.incarnation = incarnation
        self.view = view
        self.incarnation_by_rank = {rank: incarnation}
        self.retired_ = set()
        self.promised_ = view.fence
        self.settled_ = 0
        self.armed_epoch_ = view.armed_epoch
        self.armed_ = view.armed
        self.previous_ = view.previous
        self.committed_ = view.committed
        self.acknowledged_ = {rank}
        self.joined_ = ranks == 1

    def join(self, rank):
        """Return the message that asks a peer; sent until it answers.

        :param int rank: the peer.
        :rtype: Join
        """
        return _messages.Join(self.group, self.rank, self.incarnation)

    def membership(self):
        """Return a digest of the ranks' incarnations; empty while not joined.

        :rtype: str
        """
        if not self.joined_:
            return ""
        incarnations = [self.incarnation_by_rank[rank] for rank in range(self.ranks)]
        hashed = hashlib.sha256(repr(incarnations).encode())
        return hashed.hexdigest()[:MEMBERSHIP_CHARACTERS]

    def on_join(self, message):
        """Acknowledge a peer's fresh incarnation.

        :param Join message: the message.
        :rtype: Effects
        """
        if message.incarnation in self.retired_ or message.rank == self.rank:
            return Effects()
        recorded = self.incarnation_by_rank.get(message.rank)
        if recorded is not None and recorded != message.incarnation:
            self.retired_.add(recorded)
        self.incarnation_by_rank[message.rank] = message.incarnation
        return Effects(
            reply=_messages.Joined(
                self.group,
                self.rank,
                self.incarnation,
                message.incarnation,
                self.promised_,
                self.previous_.to_wire(),
                self.committed_.to_wire(),
            )
        )

    def on_joined(self, message):
        """Take a peer's answer; the last one makes this rank take part.

        :param Joined message: the message.
        :rtype: Effects
        """
        recorded = self.incarnation_by_rank.setdefault(
            message.rank, message.incarnation
        )
        if message.joiner != self.incarnation or recorded != message.incarnation:
            return Effects()
        self.promised_ = max(self.promised_, message.promised)
        self.acknowledged_.add(message.rank)
        orders = self._catch_up(
            _messages.MapRef.from_wire(message.committed),
            _messages.MapRef.from_wire(message.previous),
        )
        self.joined_ = len(self.acknowledged_) == self.ranks
        return Effects(orders)

    def on_prepare(self, message):
        """Promise a round, or refuse it.

        :param Prepare message: the message.
        :rtype: Effects
        """
        accepted = self._is_current(message) and message.epoch >= self.promised_
        if accepted:
            self.promised_ = message.epoch
        return Effects(
            reply=_messages.Promise(
                self.group,
                self.rank,
                message.epoch,
                accepted,
                self.promised_,
                self.armed_epoch_,
                self.armed_.to_wire(),
                self.previous_.to_wire(),
                self.committed_.to_wire(),
                self.view.step,
                self.view.staged,
            )
        )

    def on_arm(self, message):
        """Arm a map, or refuse it.

        :param Arm message: the message.
        :rtype: Effects
        """
        target = _messages.MapRef.from_wire(message.target)
        if self.armed_epoch_ == message.epoch and self._is_promised(message):
            return Effects(reply=self._armed(message, True))
        if not self._can_arm(message, target):
            return Effects(reply=self._armed(message, False))
        self.armed_epoch_ = message.epoch
        self.armed_ = target
        order = Order(OrderKind.ARM, message.epoch, target)
        return Effects((order,), self._armed(message, True))

    def on_settle(self, message):
        """End a round as its proposer decided.

        :param Settle message: the message.
        :rtype: Effects
        """
        if not self._is_promised(message):
            return Effects(reply=self._settled(message, False))
        orders = ()
        if self.settled_ < message.epoch:
            self.settled_ = message.epoch
            orders = self._settle(message)
        return Effects(orders, self._settled(message, True))

    def revert_order(self, order):
        """Take back what rests on an order that the engine refused.

        :param Order order: the order.
        """
        if order.kind == OrderKind.ARM and self.armed_epoch_ == order.epoch:
            self.armed_epoch_ = 0
            self.armed_ = _messages.NO_MAP

    def _can_arm(self, message, target):
        return (
            self._is_promised(message)
            and self.settled_ < message.epoch
            and target.version == self.committed_.version + 1
            and self.committed_.at_step <= self.view.step <= target.at_step
            and self.view.staged == target.digest
        )

    def _is_current(self, message):
        """Tell whether a round counts on the incarnations known here."""
        return self.joined_ and message.membership == self.membership()

    def _is_promised(self, message):
        return self._is_current(message) and message.epoch == self.promised_

    def _settle(self, message):
        if message.commit:
            return self._catch_up(
                _messages.MapRef.from_wire(message.target),
                _messages.MapRef.from_wire(message.previous),
            )
        self.armed_epoch_ = 0
        self.armed_ = _messages.NO_MAP
        return (Order(OrderKind.DISARM, message.epoch),)

    def _catch_up(self, target, previous):
        """Adopt a map that is committed elsewhere."""
        if target.version <= self.committed_.version:
            return ()
        was_armed = self.armed_epoch_ and self.armed_ == target
        self.previous_ = previous
        self.committed_ = target
        self.armed_epoch_ = 0
        self.armed_ = _messages.NO_MAP
        kind = OrderKind.COMMIT if was_armed else OrderKind.LOAD
        return (Order(kind, self.promised_, target, previous),)

    def _armed(self, message, accepted):
        return _messages.Armed(self.group, self.rank, message.epoch, accepted)

    def _settled(self, message, accepted):
        return _messages.Settled(self.group, self.rank, message.epoch, accepted)
