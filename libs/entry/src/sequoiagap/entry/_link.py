"""The entry's link to one agent: a connection that is opened again when lost."""

import asyncio
import time

from sequoiagap import base, config, wire

RECONNECT_DELAY_S = 0.2
SETTLE_TIMEOUT_S = 2.0
MAX_PENDING_EVENTS = 4096

_log = base.get_logger("link")


class LinkLost:
    """Event of an attempt whose connection was lost."""


class AgentLink:
    """Keeps a connection to one agent and routes its messages to attempts.

    :param sequoiagap.members.Member member: the agent.
    :param sequoiagap.routing.EndpointView view: what the entry believes of it.
    :param make_hello: function that returns this entry's hello.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.

    :ivar sequoiagap.wire.Connection connection_: open connection or ``None``.
    """

    def __init__(self, member, view, make_hello, holder):
        self.member = member
        self.view = view
        self.make_hello = make_hello
        self.holder = holder
        self.connection_ = None
        self._events_by_attempt_id = {}
        self._revoked_by_attempt_id = {}
        self._states_by_sequence = {}
        self._opened = asyncio.Event()
        self._handlers = self._make_handlers()

    async def run(self):
        """Keep the connection open until cancelled."""
        while True:
            try:
                host = self.member.host
                connection = await wire.connect(
                    host.address, host.port, self.make_hello()
                )
            except base.WireError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._use(connection)
            finally:
                self._lost()
                connection.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def execute(self, order):
        """Send an attempt and return the queue of its events.

        :param sequoiagap.wire.Execute order: the attempt.
        :returns: queue of messages, with :class:`LinkLost` if the link is lost.
        :rtype: asyncio.Queue
        :raises sequoiagap.base.WireError: if it could not be sent.
        """
        if self.connection_ is None:
            raise base.WireError("no connection to the agent", "Try another endpoint")
        events = asyncio.Queue(MAX_PENDING_EVENTS)
        self._events_by_attempt_id[order.attempt_id] = events
        self.view.own_in_flight += 1
        self.connection_.mark_busy(True)
        await self.connection_.send(order)
        return events

    def forget(self, attempt_id):
        """Stop routing the messages of an attempt; late ones are dropped.

        :param str attempt_id: the attempt.
        """
        if self._events_by_attempt_id.pop(attempt_id, None) is None:
            return
        self.view.own_in_flight -= 1
        if self.connection_ is not None and not self._events_by_attempt_id:
            self.connection_.mark_busy(False)

    async def cancel(self, attempt_id):
        """Tell the agent that nobody waits for an attempt any more.

        :param str attempt_id: the attempt.
        """
        if self.connection_ is not None:
            await self._send_quietly(wire.Cancel(attempt_id))

    async def revoke(self, attempt_id, incarnation):
        """Ask the agent, over a new connection if need be, what it knows.

        :param str attempt_id: the attempt.
        :param str incarnation: incarnation that it was sent to.
        :returns: a :class:`sequoiagap.outcome.Standing`; ``unknown`` if the
            agent can't be asked in time.
        :rtype: str
        """
        answer = asyncio.get_running_loop().create_future()
        self._revoked_by_attempt_id[attempt_id] = answer
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                await self._opened.wait()
                await self.connection_.send(wire.Revoke(attempt_id, incarnation))
                return await answer
        except (TimeoutError, base.WireError):
            return "unknown"
        finally:
            self._revoked_by_attempt_id.pop(attempt_id, None)

    async def request_state(self, timeout_s):
        """Return the agent's state dump as JSON text, or ``None``.

        :param float timeout_s: longest wait, in seconds.
        :rtype: str | None
        """
        if self.connection_ is None:
            return None
        answer = asyncio.get_running_loop().create_future()
        sequence = time.monotonic_ns()
        self._states_by_sequence[sequence] = answer
        try:
            async with asyncio.timeout(timeout_s):
                await self.connection_.send(wire.StateRequest(sequence))
                return await answer
        except (TimeoutError, base.WireError):
            return None
        finally:
            self._states_by_sequence.pop(sequence, None)

    async def offer(self, number):
        """Tell the agent that this entry has adopted a version.

        :param int number: the version.
        """
        if self.connection_ is not None:
            await self._send_quietly(config.ConfigOffer(number))

    async def _use(self, connection):
        self.connection_ = connection
        self.member.alive = True
        self.member.incarnation = connection.peer.incarnation
        self._opened.set()
        self.view.connected = True
        _log.emit(base.Event.LINK_OPENED, peer=connection.peer.node_id)
        await self.offer(self.holder.current_.number)
        reason = await connection.run(
            lambda item: self._handlers.handle(connection, item)
        )
        _log.emit(base.Event.LINK_CLOSED, peer=connection.peer.node_id, reason=reason)

    def _lost(self):
        self.connection_ = None
        self.member.alive = False
        self.view.connected = False
        self._opened.clear()
        for events in self._events_by_attempt_id.values():
            _force(events, LinkLost())

    def _make_handlers(self):
        handlers = wire.HandlerTable()
        for kind in (wire.Head, wire.Chunk, wire.Final, wire.Refused):
            handlers.add(kind, self._on_attempt_event)
        handlers.add(wire.Load, self._on_load)
        handlers.add(wire.Revoked, self._on_revoked)
        handlers.add(wire.StateReply, self._on_state)
        handlers.add(config.ConfigPull, self._on_pull)
        return handlers

    async def _on_attempt_event(self, connection, item):
        events = self._events_by_attempt_id.get(item.attempt_id)
        if events is not None:
            await events.put(item)

    async def _on_load(self, connection, item):
        self.view.take_report(item, time.monotonic())
        if item.state == "gone":
            self.member.leaving = True

    async def _on_revoked(self, connection, item):
        answer = self._revoked_by_attempt_id.get(item.attempt_id)
        if answer is not None and not answer.done():
            answer.set_result(item.standing)

    async def _on_state(self, connection, item):
        answer = self._states_by_sequence.get(item.sequence)
        if answer is not None and not answer.done():
            answer.set_result(item.document)

    async def _on_pull(self, connection, item):
        current = self.holder.current_
        if current.number > item.above:
            body = config.ConfigBody(current.number, current.to_json())
            await connection.send(body)

    async def _send_quietly(self, item):
        try:
            await self.connection_.send(item)
        except base.WireError:
            return


def _force(queue, item):
    """Put an item on a queue, dropping the oldest where it is full."""
    if queue.full():
        queue.get_nowait()
    queue.put_nowait(item)
