"""Ways to the ranks of a group: by their agents, or straight to their engines."""

import asyncio
import dataclasses
import time

from sequoiagap.ranks import (
    _change,
    _keeper,
    _map_changes,
    _messages,
    _own_rank,
    _pacing,
    _ports,
    _succession,
)

HELD_REQUEST_TIMEOUT_S = 0.15  # while a pass may be held; then the engine is asked
HEARTBEAT_INTERVAL_S = 0.2
MAX_DIRECT_CALLS = 16  # at once to engines of other hosts, each on a connection
SLOW_AGENT_TIMEOUT_S = 1.0  # of an agent that is heard, but is slow or far behind


class GroupAccess:
    """Reaches every rank of a group.

    An agent that does not answer is passed over after a while: its engine is asked
    from here, which costs more. Orders are then the same, so nothing else changes.

    :param OwnRank own: the own rank.
    :param int own_rank: its number.
    :param dict address_by_rank: where each rank's engine listens, as far as known.
    :param list_addresses: function that returns where engines may listen besides.
    :param dict link_by_rank: :class:`RankLink` of each other rank's agent, as it gets
        known; none if not given.
    :param Keeper keeper: decides about holds at the own rank; a fresh one if not given.
    :param float map_bytes_s: rate at which maps are sent at most, in bytes a second; 0
        for no bound.
    """

    def __init__(
        self,
        own,
        own_rank,
        address_by_rank,
        list_addresses=list,
        link_by_rank=None,
        keeper=None,
        map_bytes_s=0.0,
    ):
        self.own = own
        self.own_rank = own_rank
        self.address_by_rank = address_by_rank
        self.list_addresses = list_addresses
        self.link_by_rank = {} if link_by_rank is None else link_by_rank
        self.keeper = keeper or _keeper.Keeper()
        self._maps = _map_changes.MapSender()
        self._pacer = _pacing.LinkPacer(map_bytes_s)
        self._direct_calls = asyncio.Semaphore(MAX_DIRECT_CALLS)
        self._discovery = None

    async def execute(self, step):
        """Carry out a step of a change.

        :param Step step: the step.
        :returns: the replies by rank.
        :rtype: dict[int, RankReply]
        """
        if step.wait_s:
            await asyncio.sleep(step.wait_s)
        ranks = list(step.order_by_rank)
        replies = await asyncio.gather(
            *(self._send_order(rank, step.order_by_rank[rank]) for rank in ranks)
        )
        return dict(zip(ranks, replies, strict=True))

    async def poll(
        self, rank, wants_counts=False, wants_experts=False, may_be_recent=False
    ):
        """Return what a rank's agent says, or ``None``.

        :param int rank: the rank.
        :param bool wants_counts: whether to ask for the counts of experts.
        :param bool wants_experts: whether to ask for the experts that it holds.
        :param bool may_be_recent: whether a report of a moment ago will do; the steps
            of a change need what their orders have brought about.
        :rtype: RankState | None
        """
        poll = _messages.RankPoll(
            0, self.own_rank, wants_counts, wants_experts, may_be_recent
        )
        if rank == self.own_rank:
            return await self.own.answer_poll(poll)
        link = self.link_by_rank.get(rank)
        if link is None or link.is_silent:
            return None
        return await link.request(poll, SLOW_AGENT_TIMEOUT_S)

    async def send_heartbeats(self):
        """Let the agents that were told nothing of late know that this one leads."""
        oldest = time.monotonic() - HEARTBEAT_INTERVAL_S / 2
        for link in list(self.link_by_rank.values()):
            if link.last_sent_at_ < oldest:
                await link.send(_messages.LeaderHeartbeat(self.own_rank))

    def lacks_map(self, rank, layers):
        """Return whether a rank's agent could be told a map that it does not have.

        :param int rank: the rank.
        :param tuple layers: the map.
        :rtype: bool
        """
        link = self.link_by_rank.get(rank)
        is_reached = link is not None and link.is_open and not link.is_silent
        return is_reached and not self._maps.has_map(rank, layers)

    async def send_map(self, rank, layers):
        """Tell a rank's agent the map in use, to which later ones can differ.

        :param int rank: the rank.
        :param tuple layers: the map.
        """
        link = self.link_by_rank[rank]
        message = _messages.MapNotice(
            0, self.own_rank, *self._maps.encode(rank, layers)
        )
        await self._pacer.acquire(len(message.changes))
        answer = await link.request(message)
        if answer is not None and answer.is_agreed:
            self._maps.record_received(rank, layers)
        elif answer is not None:
            self._maps.forget(rank)

    def bypass_agent(self, rank):
        """Ask a rank's engine rather than its agent for a while.

        :param int rank: the rank.
        """
        link = self.link_by_rank.get(rank)
        if link is not None:
            link.mark_silent()

    def choose_deputies(self):
        """Return the ranks whose agents are to settle a change that is left behind.

        :rtype: list[int]
        """
        linked = (
            rank
            for rank, link in sorted(self.link_by_rank.items())
            if link.is_open and not link.is_silent
        )
        return list(linked)[: _succession.MAX_DEPUTIES]

    async def notify_deputies(self, deputies, is_changing=True):
        """Tell deputies that a change is under way, or that it has ended.

        :param list deputies: their ranks, the first to act first.
        :param bool is_changing: whether the change is still under way.
        :returns: those that have heard it.
        :rtype: list[int]
        """
        responses = await asyncio.gather(
            *(
                self.link_by_rank[rank].ask(
                    _messages.ChangeNotice(
                        0,
                        self.own_rank,
                        place if is_changing else _succession.NO_DEPUTY,
                    ),
                    HELD_REQUEST_TIMEOUT_S,
                )
                for place, rank in enumerate(deputies)
            )
        )
        answers = zip(deputies, responses, strict=True)
        return [rank for rank, answer in answers if answer is not None]

    async def query_keeper(self, query):
        """Ask a keeper.

        :param KeeperQuery query: the question.
        :returns: whether it agrees; not so if it does not answer.
        :rtype: bool
        """
        change = query.change
        if query.keeper == self.own_rank:
            return self.keeper.decide(change, query.wants_arming)
        link = self.link_by_rank.get(query.keeper)
        if link is None:
            return False
        message = _messages.KeeperRequest(
            0,
            self.own_rank,
            change.epoch,
            change.version,
            change.step,
            query.wants_arming,
        )
        answer = await link.request(message, HELD_REQUEST_TIMEOUT_S)
        return answer is not None and answer.is_agreed

    async def poll_engine(self, rank, wants_experts=False):
        """Return what a rank's engine says to a question from here, or ``None``.

        For ranks whose agent does not answer. It costs more, and counts are left out.

        :param int rank: the rank.
        :param bool wants_experts: whether to ask for the experts that it holds.
        :rtype: RankState | None
        """
        if rank not in self.address_by_rank:
            await self._discover_engines()
        address = self.address_by_rank.get(rank)
        if address is None:
            return None
        engine = _own_rank.OwnRank(self.own.engine, address)
        poll = _messages.RankPoll(0, self.own_rank, False, wants_experts)
        async with self._direct_calls:
            state = await engine.answer_poll(poll)
        is_rank = state.is_known and _own_rank.read_report(state).rank == rank
        return state if is_rank else None

    async def _discover_engines(self):
        """Ask engines whose rank is not known for it, once for all that want one."""
        if self._discovery is None or self._discovery.done():
            self._discovery = asyncio.ensure_future(self._query_engine_ranks())
        await asyncio.shield(self._discovery)

    async def _query_engine_ranks(self):
        known_addresses = set(self.address_by_rank.values())
        addresses = [
            found for found in self.list_addresses() if found not in known_addresses
        ]
        reports = await asyncio.gather(
            *(self._query_engine(found) for found in addresses)
        )
        own = await self.own.engine.report(self.own.address)
        for address, report in zip(addresses, reports, strict=True):
            if report is not None and own is not None and report.group == own.group:
                self.address_by_rank[report.rank] = address

    async def _query_engine(self, address):
        async with self._direct_calls:
            return await self.own.engine.report(address)

    async def _send_order(self, rank, order):
        if order is not None and order.kind == _ports.OrderKind.HOLD:
            # Without the agent between; but only its reports are fresh.
            reply = await self._send_direct(rank, order)
            state = await self.poll(rank)
            report = None if state is None else _own_rank.read_report(state)
            return dataclasses.replace(reply, report=report)
        state = await self._send_via_agent(rank, order)
        if state is None:
            return await self._send_direct(rank, order)
        if not state.is_known:
            return _change.RankReply()
        result = _ports.OrderResult(state.result or _ports.OrderResult.UNKNOWN)
        return _change.RankReply(result, _own_rank.read_report(state))

    async def _send_via_agent(self, rank, order):
        link = self.link_by_rank.get(rank)
        if link is not None and link.is_silent:
            return None
        if order is None:
            return await self.poll(rank)
        if rank == self.own_rank:
            return await self.own.execute_order(
                _make_order_message(order, self.own_rank), order
            )
        if link is None:
            return None
        is_held = order.kind != _ports.OrderKind.PREPARE
        timeout_s = HELD_REQUEST_TIMEOUT_S if is_held else SLOW_AGENT_TIMEOUT_S
        message = _make_order_message(order, self.own_rank)
        if order.layers:
            encoded = self._maps.encode(rank, order.layers)
            message.base, message.changes, message.name = encoded
            await self._pacer.acquire(len(message.changes))
        state = await link.request(message, timeout_s)
        if state is not None and order.layers:
            self._record_map(rank, order.layers, state)
        return state

    def _record_map(self, rank, layers, state):
        if state.lacks_base:
            self._maps.forget(rank)
        elif state.is_known:
            self._maps.record_received(rank, layers)

    async def _send_direct(self, rank, order):
        address = self.address_by_rank.get(rank)
        if rank == self.own_rank:
            address = self.own.address
        if address is None:
            return _change.RankReply()
        result = _ports.OrderResult.UNKNOWN
        if order is not None:
            result = await self.own.engine.order(address, order)
        report = await self.own.engine.report(address)
        if report is not None and report.rank != rank:
            return _change.RankReply()
        return _change.RankReply(result, report)


def _make_order_message(order, leader):
    """Return an order without its map."""
    return _messages.RankOrderMessage(
        0, leader, str(order.kind), order.epoch, order.version, order.step
    )
