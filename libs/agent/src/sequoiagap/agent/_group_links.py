"""Connections to the agents of the other ranks of a group."""

import asyncio

from sequoiagap import base, wire

RETRY_DELAY_S = 0.2

_log = base.get_logger("group")


class GroupLinks:
    """Sends messages to the other ranks and connects to them on demand.

    :param list peers: settings of the ranks' agents, indexed by rank.
    :param int rank: rank of this agent.
    :param make_hello: function that returns this agent's hello.

    :ivar int messages_sent_: messages sent so far.
    :ivar int bytes_sent_: payload bytes sent so far.
    """

    def __init__(self, peers, rank, make_hello):
        self.peers = peers
        self.rank = rank
        self.make_hello = make_hello
        self.handlers_ = wire.HandlerTable()
        self.messages_sent_ = 0
        self.bytes_sent_ = 0
        self._busy = False
        self._connection_by_rank = {}
        self._lock_by_rank = {r: asyncio.Lock() for r in range(len(peers))}
        self._tasks = base.TaskSet()

    async def send(self, rank, item):
        """Send a message to a rank; return whether it was sent.

        :param int rank: receiver of the message.
        :param item: the message.
        :rtype: bool
        """
        try:
            connection = await self._connect(rank)
            before = connection.bytes_sent_
            await connection.send(item)
        except base.WireError:
            return False
        self.messages_sent_ += 1
        self.bytes_sent_ += connection.bytes_sent_ - before
        return True

    def start(self, coroutine, name):
        """Start a task that is cancelled when the links are closed.

        :param collections.abc.Coroutine coroutine: coroutine to run.
        :param str name: name of the task, for logs.
        :rtype: asyncio.Task
        """
        return self._tasks.start(coroutine, name)

    def mark_busy(self, busy):
        """Set whether a decision waits for the peers.

        :param bool busy: busy connections are probed at short intervals, so that a
            silent one is detected and replaced soon.
        """
        self._busy = busy
        for connection in self._connection_by_rank.values():
            connection.mark_busy(busy)

    async def close(self):
        """Close all connections."""
        await self._tasks.close()
        for connection in self._connection_by_rank.values():
            connection.close()

    async def _connect(self, rank):
        async with self._lock_by_rank[rank]:
            connection = self._connection_by_rank.get(rank)
            if connection is not None and not connection.closed_:
                return connection
            peer = self.peers[rank]
            connection = await wire.connect(
                str(peer.address), peer.port, self.make_hello()
            )
            connection.mark_busy(self._busy)
            self._connection_by_rank[rank] = connection
            self._tasks.start(self._receive(connection), f"group-link-{rank}")
            return connection

    async def _receive(self, connection):
        peer = connection.peer.node_id
        _log.emit(base.Event.LINK_OPENED, peer=peer)
        reason = await connection.run(
            lambda item: self.handlers_.handle(connection, item)
        )
        _log.emit(base.Event.LINK_CLOSED, peer=peer, reason=reason)
