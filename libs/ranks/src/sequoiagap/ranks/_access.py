"""Ways to the ranks of a group: by their agents, or straight to their engines."""

import asyncio
import dataclasses
import time

from sequoiagap import base, wire
from sequoiagap.ranks import _change, _messages, _ports

ASK_TIMEOUT_S = 0.3
SILENT_S = 1.0  # orders pass an agent over that did not answer this long ago
RECONNECT_S = 0.3
LINK_PING_S = 1.0

_REPORT_FIELDS = frozenset(f.name for f in dataclasses.fields(_ports.EngineReport))

_log = base.get_logger("ranks")


class OwnRank:
    """The rank beside this process.

    :param RankEngine engine: calls of engines.
    :param str address: where the rank's engine listens.
    """

    def __init__(self, engine, address):
        self.engine = engine
        self.address = address

    async def answer_poll(self, poll):
        """Return the answer to a poll.

        :param RankPoll poll: the poll.
        :rtype: RankState
        """
        report = await self.engine.report(self.address)
        state = _state(poll.number, report)
        if report is None:
            return state
        if poll.wants_counts:
            counts = await self.engine.counts(self.address)
            if counts is not None and counts.epoch == report.epoch:
                state.counts = counts.counts
        if poll.wants_experts:
            held = await self.engine.held_experts(self.address)
            if held is not None:
                state.map_version, state.experts = held
        return state

    async def answer_order(self, item):
        """Give an order to the engine and return what came of it.

        :param RankOrderMessage item: the order.
        :rtype: RankState
        """
        order = _ports.RankOrder(
            kind=_ports.OrderKind(item.kind),
            epoch=item.epoch,
            version=item.version,
            step=item.step,
            layers=item.layers,
        )
        result = await self.engine.order(self.address, order)
        state = _state(item.number, await self.engine.report(self.address))
        state.result = str(result)
        _log.emit(
            base.Event.RANK_ORDER_SENT,
            kind=item.kind,
            leader=item.leader,
            epoch=item.epoch,
            version=item.version,
            step=item.step,
            result=str(result),
        )
        return state


class RankLink:
    """A connection to the agent of another rank, kept open while leading.

    :param gateway.Node node: the agent.
    :param make_hello: function that returns the :class:`wire.Hello` of this process.
    """

    def __init__(self, node, make_hello):
        self.node = node
        self.make_hello = make_hello
        self._connection = None
        self._silent_until = 0.0
        self._questions = wire.Questions()

    @property
    def is_open(self):
        """Whether the agent is connected."""
        return self._connection is not None

    @property
    def is_silent(self):
        """Whether the agent left a question without an answer a moment ago."""
        return time.monotonic() < self._silent_until

    async def run(self):
        """Keep the connection open until cancelled."""
        while True:
            try:
                connection = await wire.connect(
                    self.node.address, self.node.port, self.make_hello()
                )
            except base.WireError:
                await asyncio.sleep(RECONNECT_S)
                continue
            connection.idle_interval_s = LINK_PING_S
            self._connection = connection
            try:
                await connection.run(self._take)
            finally:
                self._connection = None
                self._questions.drop()
            await asyncio.sleep(RECONNECT_S)

    async def ask(self, item, timeout_s=ASK_TIMEOUT_S):
        """Send a poll or an order and return the answer.

        :param item: a message with a ``number``, which is set here.
        :param float timeout_s: longest wait, in seconds.
        :rtype: RankState | None
        """
        connection = self._connection
        if connection is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._questions.ask(connection, item)
        except TimeoutError:
            self._note_silent()
            return None
        except base.WireError:
            return None
        self._silent_until = 0.0
        return answer

    def _note_silent(self):
        now = time.monotonic()
        if not self.is_silent:
            _log.emit(base.Event.RANK_SILENT, peer=self.node.node_id)
        self._silent_until = now + SILENT_S

    async def _take(self, item):
        if isinstance(item, _messages.RankState):
            self._questions.take(item)


class GroupAccess:
    """Reaches every rank of a group.

    An agent that does not answer is passed over after a while: its engine is asked
    from here, which costs more. Orders are then the same, so nothing else changes.

    :param OwnRank own: the own rank.
    :param int own_rank: its number.
    :param dict address_by_rank: where each rank's engine listens, as far as known.
    :param list_addresses: function that returns where engines may listen besides.

    :ivar dict link_by_rank: :class:`RankLink` of each other rank's agent.
    """

    def __init__(self, own, own_rank, address_by_rank, list_addresses=list):
        self.own = own
        self.own_rank = own_rank
        self.address_by_rank = address_by_rank
        self.list_addresses = list_addresses
        self.link_by_rank = {}

    async def carry_out(self, step):
        """Carry out a step of a change.

        :param Step step: the step.
        :returns: the replies by rank.
        :rtype: dict[int, RankReply]
        """
        if step.wait_s:
            await asyncio.sleep(step.wait_s)
        ranks = list(step.order_by_rank)
        replies = await asyncio.gather(
            *(self._give(rank, step.order_by_rank[rank]) for rank in ranks)
        )
        return dict(zip(ranks, replies, strict=True))

    async def poll(self, rank, wants_counts=False, wants_experts=False):
        """Return what a rank's agent says, or ``None``.

        :param int rank: the rank.
        :param bool wants_counts: whether to ask for the counts of experts.
        :param bool wants_experts: whether to ask for the experts that it holds.
        :rtype: RankState | None
        """
        poll = _messages.RankPoll(0, self.own_rank, wants_counts, wants_experts)
        if rank == self.own_rank:
            return await self.own.answer_poll(poll)
        link = self.link_by_rank.get(rank)
        return await link.ask(poll) if link is not None else None

    async def poll_engine(self, rank, wants_experts=False):
        """Return what a rank's engine says to a question from here, or ``None``.

        For ranks whose agent does not answer. It costs more, and counts are left out.

        :param int rank: the rank.
        :param bool wants_experts: whether to ask for the experts that it holds.
        :rtype: RankState | None
        """
        if rank not in self.address_by_rank:
            await self._find_engines()
        address = self.address_by_rank.get(rank)
        if address is None:
            return None
        engine = OwnRank(self.own.engine, address)
        poll = _messages.RankPoll(0, self.own_rank, False, wants_experts)
        state = await engine.answer_poll(poll)
        is_rank = state.is_known and state.report["rank"] == rank
        return state if is_rank else None

    async def _find_engines(self):
        """Ask engines whose rank is not known for it."""
        known = set(self.address_by_rank.values())
        addresses = [a for a in self.list_addresses() if a not in known]
        reports = await asyncio.gather(*(self.own.engine.report(a) for a in addresses))
        own = await self.own.engine.report(self.own.address)
        for address, report in zip(addresses, reports, strict=True):
            if report is not None and own is not None and report.group == own.group:
                self.address_by_rank[report.rank] = address

    async def _give(self, rank, order):
        state = await self._ask(rank, order)
        if state is None:
            return await self._give_direct(rank, order)
        if not state.is_known:
            return _change.RankReply()
        result = _ports.OrderResult(state.result or _ports.OrderResult.UNKNOWN)
        return _change.RankReply(result, read_report(state))

    async def _ask(self, rank, order):
        link = self.link_by_rank.get(rank)
        if link is not None and link.is_silent:
            return None
        if order is None:
            return await self.poll(rank)
        item = _messages.RankOrderMessage(
            0,
            self.own_rank,
            str(order.kind),
            order.epoch,
            order.version,
            order.step,
            order.layers,
        )
        if rank == self.own_rank:
            return await self.own.answer_order(item)
        return await link.ask(item) if link is not None else None

    async def _give_direct(self, rank, order):
        address = self.address_by_rank.get(rank)
        if address is None:
            return _change.RankReply()
        result = _ports.OrderResult.UNKNOWN
        if order is not None:
            result = await self.own.engine.order(address, order)
        report = await self.own.engine.report(address)
        if report is not None and report.rank != rank:
            return _change.RankReply()
        return _change.RankReply(result, report)


def read_report(state):
    """Return the engine's report of a state.

    :param RankState state: the state.
    :rtype: EngineReport | None
    """
    if not state.is_known:
        return None
    known = state.report.items()
    return _ports.EngineReport(**{k: v for k, v in known if k in _REPORT_FIELDS})


def _state(number, report):
    fields = {} if report is None else dataclasses.asdict(report)
    return _messages.RankState(number, report is not None, fields, [])
