"""Simulated host link that is slow for the answers of a large group's ranks."""

import asyncio
import time

from sequoiagap import base, gateway, wire
from sequoiagap.ranks import _access, _links, _messages, _own_rank, _pacing

HEADER_BYTES = 90  # per message, for framing and lower layers
LATENCY_S = 0.0015


class HostLink:
    """Link of one host, on which bytes queue behind earlier ones in each direction.

    :param float bytes_s: rate in each direction, in bytes per second.

    :ivar float longest_wait_s_: longest time until a byte has crossed, in seconds.
    """

    def __init__(self, bytes_s):
        self.bytes_s = bytes_s
        self.bytes_ = 0
        self.longest_wait_s_ = 0.0
        self._free_at_by_direction = {}

    def delay(self, direction, size):
        """Queue bytes on the link and return the time until they arrive, in seconds."""
        now = time.monotonic()
        free_at = max(self._free_at_by_direction.get(direction, now), now)
        free_at += (size + HEADER_BYTES) / self.bytes_s
        self._free_at_by_direction[direction] = free_at
        self.bytes_ += size + HEADER_BYTES
        self.longest_wait_s_ = max(self.longest_wait_s_, free_at - now)
        return free_at - now + LATENCY_S


class AgentConnection:
    """Connection to the agent beside a rank, over the leader's link.

    :param HostLink host_link: the link.
    :param OwnRank own: the agent's side.
    """

    def __init__(self, host_link, own):
        self.host_link = host_link
        self.own = own
        self.heard_at_ = time.monotonic()
        self.is_congested_ = False
        self.bytes_sent_ = self.bytes_received_ = 0
        self.leader_heard_at_ = []
        self.on_message = None
        self.tasks = base.TaskSet()

    async def send(self, message):
        """Send a message; its answer arrives once both have crossed the link."""
        delay_s = self.host_link.delay("out", len(wire.encode(message)))
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._arrive, wire.decode(wire.encode(message)))

    def _arrive(self, message):
        self.leader_heard_at_.append(time.monotonic())
        self.tasks.start(self._answer(message), "answer")

    async def _answer(self, message):
        if isinstance(message, _messages.RankPoll):
            answer = await self.own.answer_poll(message)
        elif isinstance(message, _messages.RankOrderMessage):
            answer = await self.own.answer_order(message)
        elif isinstance(message, _messages.MapNotice):
            answer = _messages.KeeperAnswer(
                message.number, self.own.receive_map(message)
            )
        elif isinstance(message, _messages.KeeperRequest | _messages.ChangeNotice):
            answer = _messages.KeeperAnswer(message.number, True)
        else:
            return
        delay_s = self.host_link.delay("in", len(wire.encode(answer)))
        asyncio.get_running_loop().call_later(delay_s, self._hear, answer)

    def _hear(self, answer):
        self.heard_at_ = time.monotonic()
        self.tasks.start(self.on_message(answer), "take")


def link_ranks(group, host_link, own_rank=0):
    """Return the leader's access to the ranks of a group over one link.

    :param GroupStandIn group: the group.
    :param HostLink host_link: the leader's link.
    :param int own_rank: rank of the leader.
    :returns: the access, and the connections by rank.
    :rtype: tuple[GroupAccess, dict[int, AgentConnection]]
    """
    link_by_rank, connection_by_rank = {}, {}
    for rank in range(group.world.size):
        if rank == own_rank:
            continue
        node = gateway.Node(f"n{rank}", "ranks", "127.0.0.1", 1, "a", str(rank))
        link = _links.RankLink(node, None)
        connection = AgentConnection(host_link, _own_rank.OwnRank(group, str(rank)))
        connection.on_message = link._on_message
        link._connection = connection
        link_by_rank[rank], connection_by_rank[rank] = link, connection
    own = _own_rank.OwnRank(group, str(own_rank))
    addresses = {rank: str(rank) for rank in link_by_rank}
    access = _access.GroupAccess(
        own,
        own_rank,
        addresses,
        list,
        link_by_rank,
        map_bytes_s=_pacing.MAP_SHARE * host_link.bytes_s,
    )
    return access, connection_by_rank
