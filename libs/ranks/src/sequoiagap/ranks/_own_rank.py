"""The rank beside a process: what it is asked for, and orders to it."""

import time

from sequoiagap import base
from sequoiagap.ranks import _counts, _map_changes, _messages, _ports

_log = base.get_logger("ranks")


class OwnRank:
    """The rank beside this process.

    :param RankEngine engine: calls of engines.
    :param str address: where the rank's engine listens.
    """

    def __init__(self, engine, address):
        self.engine = engine
        self.address = address
        self._sampler = _counts.CountsSampler()
        self._maps = _map_changes.MapCache()

    async def answer_poll(self, poll, report=None):
        """Return the answer to a poll.

        :param RankPoll poll: the poll.
        :param EngineReport report: a report of a moment ago; read now if not given.
        :rtype: RankState
        """
        if report is None:
            report = await self.engine.report(self.address)
        state = _make_state(poll.number, report)
        if report is None:
            return state
        if poll.wants_counts:
            counts = await self.engine.counts(self.address)
            if counts is not None and counts.epoch == report.epoch:
                self._add_counts(state, counts.counts)
        if poll.wants_experts:
            held = await self.engine.held_experts(self.address)
            if held is not None:
                state.map_version, state.experts = held
        return state

    def _add_counts(self, state, counts):
        reading = self._sampler.sample(counts, time.monotonic())
        if reading is not None:
            state.levels = reading.levels
            state.scale = reading.scale
            state.span_s = reading.span_s

    def receive_map(self, message):
        """Keep a map that later ones may be sent as differences to.

        :param MapNotice message: the map.
        :returns: whether it is known now.
        :rtype: bool
        """
        return self._maps.build(message.base, message.changes, message.name) is not None

    async def answer_order(self, message):
        """Give another agent's order to the engine and return what came of it.

        :param RankOrderMessage message: the order.
        :rtype: RankState
        """
        layers = ()
        if message.changes:
            layers = self._maps.build(message.base, message.changes, message.name)
        if layers is None:
            state = _make_state(message.number, await self.engine.report(self.address))
            state.lacks_base = True
            return state
        order = _ports.RankOrder(
            kind=_ports.OrderKind(message.kind),
            epoch=message.epoch,
            version=message.version,
            step=message.step,
            layers=layers,
        )
        return await self.execute_order(message, order)

    async def execute_order(self, message, order):
        """Give an order to the engine and return what came of it.

        :param RankOrderMessage message: the message that the order is known by.
        :param RankOrder order: the order.
        :rtype: RankState
        """
        result = await self.engine.order(self.address, order)
        state = _make_state(message.number, await self.engine.report(self.address))
        state.result = str(result)
        _log.emit(
            base.Event.RANK_ORDER_SENT,
            kind=message.kind,
            leader=message.leader,
            epoch=message.epoch,
            version=message.version,
            step=message.step,
            result=str(result),
        )
        return state


def read_report(state):
    """Return the engine's report of a state, or ``None`` where it did not answer.

    :param RankState state: the state.
    :rtype: EngineReport | None
    """
    return _ports.read_report(state.report) if state.is_known else None


def _make_state(number, report):
    values = [] if report is None else _ports.write_report(report)
    return _messages.RankState(number, report is not None, values)
