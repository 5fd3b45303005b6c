"""Polls and orders of the rank beside this process."""

import time

from sequoiagap import base
from sequoiagap.ranks import _counts, _map_changes, _messages, _ports

_log = base.get_logger("ranks")


class OwnRank:
    """Answers polls and executes orders for the rank beside this process.

    :param RankEngine engine: calls to engines.
    :param str address: address that the rank's engine listens on.
    """

    def __init__(self, engine, address):
        self.engine = engine
        self.address = address
        self._sampler = _counts.CountsSampler()
        self._maps = _map_changes.MapCache()

    async def answer_poll(self, poll, report=None):
        """Return the response to a poll.

        :param RankPoll poll: the poll.
        :param EngineReport report: a recent report; read from the engine if not given.
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
        """Store a map that later maps may be sent as differences to.

        :param MapNotice message: the map.
        :returns: whether the map is now known here.
        :rtype: bool
        """
        return self._maps.build(message.base, message.changes, message.name) is not None

    async def answer_order(self, message):
        """Forward another agent's order to the engine and return its result.

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
        """Send an order to the engine and return its result.

        :param RankOrderMessage message: message that carried the order.
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
    """Return the engine's report in a state, or ``None`` if the engine did not answer.

    :param RankState state: the state.
    :rtype: EngineReport | None
    """
    return _ports.read_report(state.report) if state.is_known else None


def _make_state(number, report):
    values = [] if report is None else _ports.write_report(report)
    return _messages.RankState(number, report is not None, values)
