"""Links to the other gateways, which read the store for one another."""

import asyncio
import random
import time

from sequoiagap import base, wire
from sequoiagap.gateway import _messages, _registration

ASK_TIMEOUT_S = 0.9
ASK_STAGGER_S = 0.1  # until one more peer is asked, as most answer at once
DISCOVERY_INTERVAL_S = 3.0
FIRST_DISCOVERY_S = 0.4
LONGEST_RETRY_S = 3.0
MISSING_KEPT_S = 10.0  # until a process that no list shows any more counts as gone
RECONNECT_S = 0.5
MAX_PEERS = 8  # gateways that one links; more add no way to the store
LINK_PING_S = 1.0

_log = base.get_logger("peers")


class PeerLinks:
    """Finds other gateways in the store and keeps a connection to each.

    :param Node own: this process.
    :param Store store: lists the processes.
    :param make_hello: function that returns the :class:`wire.Hello` of this process.
    :param answer_peer: function of a :class:`ReadRequest`; returns its answer.

    :ivar dict node_by_id: gateways and agents that the store has shown so far.
    """

    def __init__(self, own, store, make_hello, answer_peer):
        self.own = own
        self.store = store
        self.make_hello = make_hello
        self.answer_peer = answer_peer
        self.node_by_id = {}
        self._connection_by_id = {}
        self._questions = wire.Questions()
        self._tasks = base.TaskSet()
        self._linked = set()
        self._registration = _registration.Registration(own, store)
        self._seen_at_by_id = {}
        self._answered_last = None

    async def run(self):
        """Register this process and look for others until cancelled."""
        backoff = base.Backoff(FIRST_DISCOVERY_S, LONGEST_RETRY_S, random.Random())
        while True:
            try:
                await self._registration.write_if_missing()
                node_by_id = await self.store.list_nodes()
                self._registration.check(node_by_id)
                self._learn(node_by_id)
            except base.PlatformError:
                await asyncio.sleep(backoff.next_wait())
                continue
            backoff.reset()
            known = len(self.node_by_id) > 1
            await asyncio.sleep(DISCOVERY_INTERVAL_S if known else FIRST_DISCOVERY_S)

    async def stop(self):
        """Close all links."""
        await self._tasks.close()

    async def serve(self, reader, writer):
        """Serve a connection that another process has opened."""
        try:
            connection = await wire.accept(reader, writer, self.make_hello())
        except base.WireError:
            return
        await self._run(connection)

    def registered(self):
        """Return how many gateways are registered; 0 before that has been read.

        :rtype: int
        """
        nodes = self.node_by_id.values()
        return sum(node.role == self.own.role for node in nodes)

    def linked(self):
        """Return how many gateways are linked now.

        :rtype: int
        """
        return len(self._connection_by_id)

    async def read(self, topic, known=b""):
        """Ask linked gateways for their reading of a topic and take the first one.

        They are asked one after the other, as most answer at once and a content may
        be large.

        :param str topic: what was read.
        :param bytes known: digest of the content that is known here.
        :returns: the answer, or ``None`` if none has a reading of late.
        :rtype: ReadReply | None
        """
        questions = set()
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                for connection in self._in_order():
                    question = self._ask(connection, topic, known)
                    questions.add(asyncio.ensure_future(question))
                    reply = await _first_found(questions, ASK_STAGGER_S)
                    if reply is not None:
                        return reply
                return await _first_found(questions, ASK_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            for question in questions:
                question.cancel()

    def _in_order(self):
        """Return the connections, that which answered last first."""
        connections = list(self._connection_by_id.values())
        random.shuffle(connections)
        return sorted(connections, key=lambda c: c is not self._answered_last)

    async def _ask(self, connection, topic, known):
        question = _messages.ReadRequest(0, topic, known)
        try:
            reply = await self._questions.ask(connection, question)
        except base.WireError:
            return None
        if reply is None or not reply.found:
            return None
        self._answered_last = connection
        return reply

    def check_registration(self):
        """Take it that the store may have lost what was registered."""
        self._registration.doubt()

    def _learn(self, listed_by_id):
        """Take a list of processes; where some are missing it may be old, or a copy."""
        now = time.monotonic()
        self._seen_at_by_id |= dict.fromkeys(listed_by_id, now)
        known = self.node_by_id | listed_by_id
        seen = self._seen_at_by_id
        node_by_id = {n: v for n, v in known.items() if now - seen[n] < MISSING_KEPT_S}
        self.node_by_id = node_by_id
        for node_id, node in sorted(node_by_id.items()):
            is_peer = node.role == self.own.role and node_id != self.own.node_id
            if is_peer and node_id not in self._linked:
                if len(self._linked) >= MAX_PEERS:
                    return
                self._linked.add(node_id)
                self._tasks.start(self._keep_link(node_id), f"peer-{node_id}")

    async def _keep_link(self, node_id):
        while node_id in self.node_by_id:
            node = self.node_by_id[node_id]
            try:
                connection = await wire.connect(
                    node.address, node.port, self.make_hello()
                )
            except base.WireError:
                await asyncio.sleep(RECONNECT_S)
                continue
            connection.idle_interval_s = LINK_PING_S
            self._connection_by_id[node_id] = connection
            _log.emit(base.Event.PEER_OPENED, peer=node_id)
            try:
                reason = await self._run(connection)
            finally:
                self._connection_by_id.pop(node_id, None)
            _log.emit(base.Event.PEER_CLOSED, peer=node_id, reason=reason)
            await asyncio.sleep(RECONNECT_S)
        self._linked.discard(node_id)

    async def _run(self, connection):
        async def handle(item):
            if isinstance(item, _messages.ReadRequest):
                self._tasks.start(self._reply(connection, item), "read-for-peer")
            elif isinstance(item, _messages.ReadReply):
                self._questions.take(item)

        return await connection.run(handle)

    async def _reply(self, connection, question):
        await wire.try_send(connection, self.answer_peer(question))


async def _first_found(questions, timeout_s):
    """Return the first answer among questions within a time, or ``None``.

    Questions that ended without one are taken out.
    """
    ends_at = time.monotonic() + timeout_s
    while questions and (left_s := ends_at - time.monotonic()) > 0:
        done, _ = await asyncio.wait(
            questions, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        questions -= done
        found = [question.result() for question in done if question.result()]
        if found:
            return found[0]
    return None
