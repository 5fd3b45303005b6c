"""Acceptor side of the map change protocol: the state machine of one rank.

A map is committed only after all ranks of the group have armed it. A rank that
has armed a map holds at the target step until it receives the decision, so no
step can use two maps. The protocol is Paxos with a quorum of all ranks; since
the ranks run in lock-step, a missing rank stops the group anyway and the full
quorum costs no further availability.

The code does no I/O. It consumes messages and returns the orders for the engine
and the reply, which may be sent only after the orders have been carried out.
"""

import dataclasses
import enum
import hashlib

from sequoiagap.experts import _messages

MEMBERSHIP_CHARACTERS = 16


class OrderKind(enum.StrEnum):
    """Kinds of orders to an engine."""

    ARM = "arm"
    COMMIT = "commit"
    DISARM = "disarm"
    LOAD = "load"
    HOLD = "hold"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order of an agent to its engine.

    :param OrderKind kind: what the engine has to do.
    :param int epoch: fencing number; an engine that checks fencing refuses orders
        with a number below the highest one that it has seen.
    :param MapRef target: map that the order refers to.
    :param MapRef previous: map before the target, for ``load``.
    """

    kind: OrderKind
    epoch: int
    target: _messages.MapRef = _messages.NO_MAP
    previous: _messages.MapRef = _messages.NO_MAP


@dataclasses.dataclass(frozen=True)
class EngineView:
    """State of an engine as the engine reports it.

    :param int step: next step of the engine.
    :param MapRef previous: map before the committed one.
    :param MapRef committed: committed map; version 0 if there is none.
    :param int armed_epoch: round that armed a map; 0 for none.
    :param MapRef armed: the armed map.
    :param str staged: digest of the map whose weights are staged.
    :param int fence: highest fencing number that the engine has seen.
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
    """Orders and reply that result from handling a message.

    :param tuple orders: orders for the engine, to be carried out before the reply.
    :param reply: message to send back, or ``None``.
    """

    orders: tuple = ()
    reply: object = None


class RankState:
    """Promised epoch, armed map and committed map of one incarnation of a rank.

    A new incarnation, after a start of the agent or of its engine, does not know
    what its predecessor promised. It takes part only after every peer has replied
    to its ``Join``. A peer that has replied refuses each round that includes the
    predecessor, and it reports the rounds carried out before, which sets the
    lowest epoch that the new incarnation may promise.

    :param str group: name of the group.
    :param int rank: own rank.
    :param int ranks: number of ranks in the group.
    :param str incarnation: own new incarnation.
    :param EngineView view: state of the engine.

    :ivar bool joined_: whether every peer has replied to ``Join``.
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
        """Return the ``Join`` request for a peer, to be repeated until it replies.

        :param int rank: the peer.
        :rtype: Join
        """
        return _messages.Join(self.group, self.rank, self.incarnation)

    def membership(self):
        """Return a digest of all ranks' incarnations; empty before joining.

        :rtype: str
        """
        if not self.joined_:
            return ""
        incarnations = [self.incarnation_by_rank[rank] for rank in range(self.ranks)]
        hashed = hashlib.sha256(repr(incarnations).encode())
        return hashed.hexdigest()[:MEMBERSHIP_CHARACTERS]

    def on_join(self, message):
        """Record a peer's new incarnation and reply with the own protocol state.

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
        """Record a peer's reply to ``Join``; the last reply completes joining.

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
        """Promise a round, or refuse it if its epoch or membership is outdated.

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
        """Arm a map, or refuse it if its preconditions do not hold.

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
        """Apply the proposer's decision that ends a round.

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
        """Undo the state change of an order that the engine refused.

        :param Order order: the refused order.
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
        """Return whether a round is based on the incarnations recorded here."""
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
        """Adopt a map that other ranks have committed."""
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
