"""Connections to the other gateways, which share their readings of the store."""

import asyncio
import random
import time

from sequoiagap import base, routes, wire
from sequoiagap.gateway import _messages, _registration

REQUEST_TIMEOUT_S = 0.9
REQUEST_STAGGER_S = 0.1  # until the next peer is asked too; most reply sooner
DISCOVERY_INTERVAL_S = 3.0
FIRST_DISCOVERY_S = 0.4
MAX_RETRY_S = 3.0
MISSING_KEPT_S = 10.0  # until a process that is no longer listed counts as gone
RECONNECT_S = 0.5
MAX_PEERS = 8  # more connections do not make the store easier to reach
MAX_CONNECT_FAILURES = 3  # in a row, until another gateway gets the place
LINK_PING_S = 1.0

_log = base.get_logger("peers")


class PeerLinks:
    """Discovers other gateways in the store and keeps a connection to each.

    :param Node own: this process.
    :param Store store: lists the processes.
    :param make_hello: function that returns the :class:`wire.Hello` of this process.
    :param answer_peer: function that returns the :class:`ReadReply` to a
        :class:`ReadRequest`.
    :param shared_states: function that returns what this process shares with the
        others: objects with ``message_types``, ``snapshot(now)``, and
        ``handle(message, now)`` that returns whether a message was news.

    :ivar dict node_by_id: gateways and agents that the store has listed so far.
    """

    def __init__(self, own, store, make_hello, answer_peer, shared_states):
        self.own = own
        self.store = store
        self.make_hello = make_hello
        self.answer_peer = answer_peer
        self.shared_states = shared_states
        self.node_by_id = {}
        self._connection_by_id = {}
        self._open_connections = set()
        self._pending_requests = wire.PendingRequests()
        self._tasks = base.TaskSet()
        self._linked = set()
        self._unreachable_at_by_id = {}
        self._registration = _registration.Registration(own, store)
        self._seen_at_by_id = {}
        self._last_responder = None
        self._registered_ids = frozenset()

    async def run(self):
        """Register this process and discover others until cancelled."""
        backoff = base.Backoff(FIRST_DISCOVERY_S, MAX_RETRY_S, random.Random())
        while True:
            try:
                await self._registration.write_if_missing()
                node_by_id = await self.store.list_nodes()
                self._registration.check(node_by_id)
                self._merge_nodes(node_by_id)
            except base.PlatformError:
                await asyncio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            has_others = len(self.node_by_id) > 1
            await asyncio.sleep(
                DISCOVERY_INTERVAL_S if has_others else FIRST_DISCOVERY_S
            )

    async def stop(self):
        """Close all connections."""
        await self._tasks.close()

    async def serve(self, reader, writer):
        """Serve a connection opened by another process."""
        try:
            connection = await wire.accept(reader, writer, self.make_hello())
        except base.WireError:
            return
        await self._run(connection)

    def registered_count(self):
        """Return how many gateways are registered; 0 before the first listing.

        :rtype: int
        """
        return len(self._registered_ids)

    def registered_ids(self):
        """Return the ids of the registered gateways; none before the first listing.

        :rtype: frozenset[str]
        """
        return self._registered_ids

    def linked_count(self):
        """Return how many gateways are connected now.

        :rtype: int
        """
        return len(self._connection_by_id)

    async def read(self, topic, known_digest=b""):
        """Request a reading of a topic from connected gateways; return the first one.

        The requests are staggered, as most peers reply at once and a content may be
        large.

        :param str topic: topic of the store.
        :param bytes known_digest: digest of the content that this gateway has.
        :returns: the reply, or ``None`` if no peer has a recent reading.
        :rtype: ReadReply | None
        """
        requests = set()
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                for connection in self._connections_by_preference():
                    request = self._request_reading(connection, topic, known_digest)
                    requests.add(asyncio.ensure_future(request))
                    reply = await _first_found(requests, REQUEST_STAGGER_S)
                    if reply is not None:
                        return reply
                return await _first_found(requests, REQUEST_TIMEOUT_S)
        except TimeoutError:
            return None
        finally:
            for request in requests:
                request.cancel()

    def _connections_by_preference(self):
        """Return the connections, starting with the last one that replied."""
        connections = list(self._connection_by_id.values())
        random.shuffle(connections)
        return sorted(connections, key=lambda c: c is not self._last_responder)

    async def _request_reading(self, connection, topic, known_digest):
        request = _messages.ReadRequest(0, topic, known_digest)
        try:
            reply = await self._pending_requests.request(connection, request)
        except base.WireError:
            return None
        if reply is None or not reply.found:
            return None
        self._last_responder = connection
        return reply

    def check_registration(self):
        """Rewrite the registration soon, as the store may have lost it."""
        self._registration.rewrite_soon()

    def _merge_nodes(self, listed_by_id):
        """Merge a list of processes, which may be old or from a copy."""
        now = time.monotonic()
        self._seen_at_by_id |= dict.fromkeys(listed_by_id, now)
        merged = self.node_by_id | listed_by_id
        seen_at = self._seen_at_by_id
        node_by_id = {
            n: v for n, v in merged.items() if now - seen_at[n] < MISSING_KEPT_S
        }
        self.node_by_id = node_by_id
        self._registered_ids = frozenset(
            node_id
            for node_id, node in node_by_id.items()
            if node.role == self.own.role
        )
        self._open_links()

    def _open_links(self):
        """Start links until there are enough, or one to each gateway."""
        for node_id in self._unlinked_ids()[: MAX_PEERS - len(self._linked)]:
            self._linked.add(node_id)
            self._tasks.start(self._keep_link(node_id), f"peer-{node_id}")

    def _unlinked_ids(self):
        """Return the other gateways without a link, the ones to link to first.

        Entries of hosts that are gone stay in the store, so those that could not be
        reached come last, the latest ones behind the others.
        """
        unlinked = self._registered_ids - self._linked - {self.own.node_id}
        tried_at = self._unreachable_at_by_id
        return sorted(unlinked, key=lambda i: (tried_at.get(i, float("-inf")), i))

    async def _keep_link(self, node_id):
        failures = 0
        while node_id in self.node_by_id:
            node = self.node_by_id[node_id]
            try:
                connection = await wire.connect(
                    node.address, node.port, self.make_hello()
                )
            except base.WireError:
                failures += 1
                if failures >= MAX_CONNECT_FAILURES and self._unlinked_ids():
                    self._unreachable_at_by_id[node_id] = time.monotonic()
                    break
                await asyncio.sleep(RECONNECT_S)
                continue
            failures = 0
            self._unreachable_at_by_id.pop(node_id, None)
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
        self._open_links()

    def share(self, item, received_over=None):
        """Send a message to all connected gateways, those that connected included.

        :param item: an instance of a message class.
        :param received_over: connection over which it was received, which is left out.
        """
        for connection in self._open_connections - {received_over}:
            self._tasks.start(wire.try_send(connection, item), "share")

    async def _run(self, connection):
        state_by_type = {
            message_type: state
            for state in self.shared_states()
            for message_type in state.message_types
        }

        async def handle(item):
            if isinstance(item, _messages.ReadRequest):
                self._tasks.start(self._reply(connection, item), "read-for-peer")
            elif isinstance(item, _messages.ReadReply):
                self._pending_requests.resolve(item)
            elif type(item) in state_by_type:
                state = state_by_type[type(item)]
                if state.handle(item, routes.suspend_aware_time()):
                    self.share(item, received_over=connection)

        self._open_connections.add(connection)
        # Beside the receiver: two sides that only send would block each other.
        self._tasks.start(self._send_snapshots(connection), "send-snapshots")
        try:
            return await connection.run(handle)
        finally:
            self._open_connections.discard(connection)

    async def _send_snapshots(self, connection):
        """Tell a process that has connected what is known here."""
        for state in self.shared_states():
            for item in state.snapshot(routes.suspend_aware_time()):
                await wire.try_send(connection, item)

    async def _reply(self, connection, request):
        await wire.try_send(connection, self.answer_peer(request))


async def _first_found(requests, timeout_s):
    """Return the first reply among requests within a timeout, or ``None``.

    Requests that ended without a reply are removed from the set.
    """
    deadline = time.monotonic() + timeout_s
    while requests and (remaining_s := deadline - time.monotonic()) > 0:
        done, _ = await asyncio.wait(
            requests, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        requests -= done
        found = [request.result() for request in done if request.result()]
        if found:
            return found[0]
    return None
