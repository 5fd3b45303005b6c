"""State space model of a rank group that runs the real map change protocol.

A world consists of three ranks with their engines, the proposers' rounds and every
message in flight. Each choice (deliver a message, step, start a round, crash,
restart) leads to a successor; messages can arrive in any order or be lost.
"""

import copy
import functools

from sequoiagap import experts, wire
from sequoiagap.standins import _rank_engine

RANKS = 3
FIRST_MAP = experts.MapRef(1, "first", 0)
METHOD_BY_REQUEST = {
    experts.Join: "on_join",
    experts.Joined: "on_joined",
    experts.Prepare: "on_prepare",
    experts.Arm: "on_arm",
    experts.Settle: "on_settle",
}
METHOD_BY_ANSWER = {
    experts.Promise: "on_promise",
    experts.Armed: "on_armed",
    experts.Settled: "on_settled",
}


class TwoMapsError(Exception):
    """Raised if two ranks use different maps in one step."""


class World:
    """Represents one state of the group.

    :param type rank_type: class that makes the decisions of ranks.
    :param type round_type: class that makes the decisions of proposers.
    """

    def __init__(self, rank_type=experts.RankState, round_type=experts.Round):
        self.rank_type = rank_type
        self.round_type = round_type
        self.engines = [
            _rank_engine.RankEngine("hold_at_step", False, FIRST_MAP)
            for _ in range(RANKS)
        ]
        self.messages = []  # (sender, receiver, payload)
        self.rounds = [None] * RANKS
        self.starts = [0] * RANKS
        self.rounds_left = [0] * RANKS
        self.wanted = [""] * RANKS
        self.crashes_left = 0
        self.crash_kinds = ("agent",)
        self.crash_ranks = range(RANKS)
        self.states = [None] * RANKS
        self.incarnations = {}  # by digest of the membership
        for rank in range(RANKS):
            self.start(rank)
        self.deliver_all()
        self.rank_keys = [self.rank_key(rank) for rank in range(RANKS)]

    def key(self):
        """Return a hashable key that identifies this world."""
        remaining = (tuple(self.rounds_left), self.crashes_left)
        messages = tuple(sorted(self.messages))
        return (tuple(self.rank_keys), messages, remaining)

    def successor(self, choice):
        """Return the successor of this world for a choice."""
        world = copy.copy(self)
        world.incarnations = dict(self.incarnations)
        for name in ("engines", "messages", "rounds", "starts", "rounds_left"):
            setattr(world, name, list(getattr(self, name)))
        world.states = list(self.states)
        world.rank_keys = list(self.rank_keys)
        kind, argument = choice
        if kind == "step":
            changed_ranks = range(RANKS)
        else:
            changed_ranks = (argument[1],) if kind == "deliver" else (argument,)
        for rank in changed_ranks:
            world.copy_rank(rank)
        world.apply(choice)
        world.update_rank_keys(changed_ranks)
        return world

    def update_rank_keys(self, ranks):
        """Update the keys of changed ranks."""
        for rank in ranks:
            self.rank_keys[rank] = self.rank_key(rank)

    def copy_rank(self, rank):
        """Copy the state of a rank so that it can be modified."""
        self.engines[rank] = copy_decisions(self.engines[rank])
        self.states[rank] = copy_decisions(self.states[rank])
        self.rounds[rank] = copy_decisions(self.rounds[rank])

    def rank_key(self, rank):
        """Return a hashable key that identifies the state of one rank."""
        state, engine, current = (
            self.states[rank],
            self.engines[rank],
            self.rounds[rank],
        )
        state_key = state and (
            state.incarnation,
            tuple(sorted(state.incarnation_by_rank.items())),
            tuple(sorted(state.retired_)),
            (state.promised_, state.settled_, state.armed_epoch_, state.joined_),
            state.armed_,
            state.previous_,
            state.committed_,
            () if state.joined_ else tuple(sorted(state.acknowledged_)),
        )
        engine_key = (
            engine.step_,
            engine.previous_,
            engine.committed_,
            engine.armed_epoch_,
            engine.armed_,
            engine.staged_,
        )
        round_key = current and (
            (current.epoch, current.phase_, current.committed_, current.target_),
            tuple(sorted(current.answered_)),
            tuple(
                (peer, wire.encode(promise))
                for peer, promise in sorted(current.promise_by_rank.items())
                if current.phase_ == experts.Phase.PREPARING
            ),
        )
        return (state_key, engine_key, round_key)

    def choices(self):
        """Return all choices that are possible in this world."""
        found = [("deliver", m) for m in sorted(set(self.messages))]
        for rank in range(RANKS):
            state = self.states[rank]
            if state is None:
                found.append(("start", rank))
                continue
            if self.rounds_left[rank] and state.membership():
                found.append(("propose", rank))
            if self.crashes_left and rank in self.crash_ranks:
                found += [("crash_" + kind, rank) for kind in self.crash_kinds]
        if self._can_step():
            found.append(("step", None))
        return found

    def apply(self, choice):
        """Apply a choice to this world."""
        kind, argument = choice
        if kind == "deliver":
            self.messages.remove(argument)
            self.deliver(argument)
        elif kind == "start":
            self.start(argument)
        elif kind == "propose":
            self.propose(argument)
        elif kind == "step":
            self.step()
        else:
            self.crash(argument, kind)

    def start(self, rank):
        """Start a new incarnation of an agent."""
        self.starts[rank] += 1
        incarnation = f"{rank}.{self.starts[rank]}"
        view = self.engines[rank].view()
        self.states[rank] = self.rank_type("g", rank, RANKS, incarnation, view)
        self.send_joins(rank)

    def send_joins(self, rank):
        """Send a rank's join requests to the peers that have not acknowledged it."""
        state = self.states[rank]
        for peer in range(RANKS):
            if peer not in state.acknowledged_:
                self.send(rank, peer, state.join(peer))

    def propose(self, rank):
        """Start a round as the proposer."""
        state = self.states[rank]
        self.rounds_left[rank] -= 1
        epoch = experts.next_epoch(state.promised_, rank, RANKS)
        wanted = self.wanted[rank]
        self.incarnations[state.membership()] = dict(state.incarnation_by_rank)
        self.rounds[rank] = self.round_type(
            "g", rank, RANKS, epoch, state.membership(), wanted, lead_steps=1
        )
        self.send_all(rank, self.rounds[rank].outstanding())

    def crash(self, rank, kind):
        """Stop an agent; unless the kind is ``crash_agent``, restart its engine."""
        self.crashes_left -= 1
        if kind != "crash_agent":
            self.engines[rank].restart()
        self.states[rank] = None
        self.rounds[rank] = None

    def step(self):
        """Run one step of the group.

        :raises TwoMapsError: if ranks use different maps.
        """
        used = {engine.current().digest for engine in self.engines}
        if len(used) != 1:
            raise TwoMapsError(f"step {self.engines[0].step_} used {sorted(used)}")
        for engine in self.engines:
            engine.step_ += 1

    def send_all(self, sender, sends):
        """Send messages to several ranks."""
        for send in sends:
            self.send(sender, send.rank, send.message)

    def send(self, sender, receiver, item):
        """Put a message in flight, or deliver it at once to the sender itself."""
        message = (sender, receiver, wire.encode(item))
        if sender == receiver:
            self.deliver(message)
        elif message not in self.messages:
            self.messages.append(message)

    def deliver(self, message):
        """Deliver one message to its receiver; a stopped agent drops it."""
        sender, receiver, payload = message
        item = decode_payload(payload)
        state = self.states[receiver]
        if state is None:
            return
        if type(item) in METHOD_BY_ANSWER:
            current = self.rounds[receiver]
            if current is not None:
                sends = getattr(current, METHOD_BY_ANSWER[type(item)])(item)
                self.send_all(receiver, sends)
            return
        state.view = self.engines[receiver].view()
        effects = getattr(state, METHOD_BY_REQUEST[type(item)])(item)
        for order in effects.orders:
            for map_ref in (order.previous, order.target):
                self.engines[receiver].stage(map_ref.digest)
            self.engines[receiver].apply_order(order)
        if effects.reply is not None:
            self.send(receiver, sender, effects.reply)

    def deliver_all(self):
        """Deliver messages in order until none is in flight."""
        while self.messages:
            self.deliver(self.messages.pop(0))

    def recover(self):
        """Continue without faults and return whether the group runs on one map."""
        self.crashes_left = 0
        for rank in range(RANKS):
            if self.states[rank] is None:
                self.start(rank)
        for _ in range(3):
            for rank in range(RANKS):
                self.send_joins(rank)
            self.deliver_all()
        for _ in range(4):
            self.wanted[0] = ""
            self.propose(0)
            for _ in range(3):
                self.send_all(0, self.rounds[0].outstanding())
                self.deliver_all()
            before = self.engines[0].step_
            for _ in range(3):
                if self._can_step():
                    self.step()
            if self.engines[0].step_ == before + 3:
                return len({e.committed_ for e in self.engines}) == 1
        return False

    def _can_step(self):
        return all(engine.can_step() for engine in self.engines)


@functools.cache
def decode_payload(payload):
    """Decode a payload; the message is cached and shared between callers.

    :param bytes payload: an encoded message.
    """
    return wire.decode(payload)


def copy_decisions(item):
    """Return a copy of an object, with copies of its sets, dicts and lists.

    :param item: object to copy, or ``None``.
    """
    if item is None:
        return None
    copied = object.__new__(type(item))
    for name, value in vars(item).items():
        is_container = type(value) in (set, dict, list)
        copied.__dict__[name] = value.copy() if is_container else value
    return copied
