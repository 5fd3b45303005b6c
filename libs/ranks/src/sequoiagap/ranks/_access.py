"""Access to the ranks of a group, through their agents or directly to their engines."""

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

HELD_REQUEST_TIMEOUT_S = 0.15  # while a pass may be held; then the engine is called
HEARTBEAT_INTERVAL_S = 0.2
MAX_DIRECT_CALLS = 16  # concurrent calls to engines of other hosts, one connection each
SLOW_AGENT_TIMEOUT_S = 1.0  # for an agent that is alive, but slow or backlogged


class GroupAccess:
    """Sends polls, orders and notices to every rank of a group.

    An agent that does not answer is bypassed for a while: its engine is called directly
    from here, which costs more. The orders are the same, so nothing else changes.

    :param OwnRank own: the own rank.
    :param int own_rank: number of the own rank.
    :param dict address_by_rank: address of each rank's engine, as far as known.
    :param list_addresses: function that returns further addresses that engines may
        listen on.
    :param dict link_by_rank: :class:`RankLink` of each other rank's agent, filled as
        agents are identified; empty if not given.
    :param Keeper keeper: decides on holds at the own rank; a new one if not given.
    :param float map_bytes_s: maximum rate at which maps are sent, in bytes per second;
        0 for no limit.
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
        """Execute a step of a change.

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
        """Return the state that a rank's agent reports, or ``None``.

        :param int rank: the rank.
        :param bool wants_counts: whether to request the expert counts.
        :param bool wants_experts: whether to request the experts that the rank holds.
        :param bool may_be_recent: whether a recently read report is accepted; the steps
            of a change need the effect of their orders.
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
        """Send a heartbeat to each agent that was sent nothing recently."""
        oldest = time.monotonic() - HEARTBEAT_INTERVAL_S / 2
        for link in list(self.link_by_rank.values()):
            if link.last_sent_at_ < oldest:
                await link.send(_messages.LeaderHeartbeat(self.own_rank))

    def lacks_map(self, rank, layers):
        """Return whether a rank's agent can be reached and does not have a map.

        :param int rank: the rank.
        :param tuple layers: the map.
        :rtype: bool
        """
        link = self.link_by_rank.get(rank)
        is_reached = link is not None and link.is_open and not link.is_silent
        return is_reached and not self._maps.has_map(rank, layers)

    async def send_map(self, rank, layers):
        """Send a rank's agent the map in use, as a base for later differences.

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
        """Call a rank's engine directly instead of its agent for a while.

        :param int rank: the rank.
        """
        link = self.link_by_rank.get(rank)
        if link is not None:
            link.mark_silent()

    def choose_deputies(self):
        """Return the ranks whose agents settle a change that its leader abandons.

        :rtype: list[int]
        """
        linked = (
            rank
            for rank, link in sorted(self.link_by_rank.items())
            if link.is_open and not link.is_silent
        )
        return list(linked)[: _succession.MAX_DEPUTIES]

    async def notify_deputies(self, deputies, is_changing=True):
        """Notify deputies that a change is in progress, or that it has ended.

        :param list deputies: ranks of the deputies, in the order in which they act.
        :param bool is_changing: whether the change is still in progress.
        :returns: the deputies that acknowledged the notice.
        :rtype: list[int]
        """
        responses = await asyncio.gather(
            *(
                self.link_by_rank[rank].request(
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
        """Request the keeper's agreement.

        :param KeeperQuery query: the request.
        :returns: whether the keeper agrees; false if it does not answer.
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
        """Return the state of a rank as read directly from its engine, or ``None``.

        For ranks whose agent does not answer. A direct call costs more, and expert
        counts are left out.

        :param int rank: the rank.
        :param bool wants_experts: whether to request the experts that the rank holds.
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
        """Read the ranks of unidentified engines, once for all concurrent callers."""
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
            # The order bypasses the agent, but only the agent's reports are fresh.
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
    """Return the message of an order, without its map."""
    return _messages.RankOrderMessage(
        0, leader, str(order.kind), order.epoch, order.version, order.step
    )
