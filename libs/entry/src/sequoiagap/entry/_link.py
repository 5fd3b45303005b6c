"""Link from the entry to one agent: a connection that reconnects when lost."""

import asyncio
import time

from sequoiagap import base, members, wire
from sequoiagap.entry import (
    _attempt_events,
    _pending_replies,
    _reachability,
    _suspicion,
)

RECONNECT_DELAY_S = 0.2
REATTACH_TIMEOUT_S = 2.0
MILLISECONDS = 1000

_log = base.get_logger("link")


class LinkLost:
    """Event that the connection of an attempt was lost."""


class NotSentError(base.WireError):
    """Raised when an attempt was not sent and therefore was not executed."""


class AgentLink:
    """Keeps a connection to one agent and routes its messages to attempts.

    :param sequoiagap.members.Member member: the agent.
    :param sequoiagap.routing.EndpointView view: state of the endpoint as known here.
    :param make_hello: function that returns this entry's hello message.
    :param sequoiagap.config.ConfigChannel channel: replicates the configuration.
    :param ReportMonitor reports: handles the agent's reports.

    :ivar sequoiagap.wire.Connection connection_: open connection, or ``None``.
    :ivar float used_at_: last use by an attempt or a request to the agent, monotonic
        time in seconds.
    :ivar float lost_at_: when the connection was lost or, if it went silent, when it
        last received something, monotonic time in seconds; ``None`` while connected.
    :ivar Reachability reachability_: result of the last attempt to connect.
    """

    def __init__(self, member, view, make_hello, channel, reports):
        self.member = member
        self.view = view
        self.make_hello = make_hello
        self.channel = channel
        self.reports = reports
        self.connection_ = None
        self.used_at_ = time.monotonic()
        self.lost_at_ = self.used_at_
        self._suspicion = _suspicion.Suspicion()
        self._replies = _pending_replies.PendingReplies()
        self._attempts = _attempt_events.AttemptEvents(view)
        self._clock_offset_s = None
        self._tasks = base.TaskSet()
        self.reachability_ = _reachability.Reachability(view.endpoint_id)
        self._handlers = self._make_handlers()

    async def run(self):
        """Keep the connection open until cancelled."""
        while True:
            try:
                host = self.member.host
                connection = await wire.connect(
                    host.address, host.port, self.make_hello()
                )
            except base.WireError as error:
                self.reachability_.record_unreachable(error)
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._run_connection(connection)
            finally:
                self._on_lost()
                connection.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    def expires_at_ms(self, deadline):
        """Convert a deadline to the agent's clock, in milliseconds.

        :param float deadline: deadline on this entry's clock, in seconds.
        :rtype: int
        :raises NotSentError: if the agent's clock is not known yet.
        """
        if self._clock_offset_s is None:
            raise NotSentError("no connection to the agent", "Try another endpoint")
        return int((deadline + self._clock_offset_s) * MILLISECONDS)

    async def execute(self, order):
        """Send an attempt and return the queue of its events.

        The agent's send window bounds the length of the queue.

        :param sequoiagap.wire.Execute order: the message that starts the attempt.
        :returns: queue of messages, with :class:`LinkLost` if the link is lost.
        :rtype: asyncio.Queue
        :raises NotSentError: if there is no connection.
        """
        connection = self.connection_
        if connection is None or connection.closed_:
            raise NotSentError("no connection to the agent", "Try another endpoint")
        self.used_at_ = time.monotonic()
        events = self._attempts.open(order.attempt_id)
        connection.mark_busy(True)
        await wire.try_send(connection, order)
        return events

    async def reattach(self, order, incarnation, next_sequence):
        """Request the rest of an attempt's answer over a new connection.

        :param sequoiagap.wire.Execute order: the message that started the attempt.
        :param str incarnation: incarnation of the agent that received it.
        :param int next_sequence: sequence number of the first missing chunk.
        :returns: whether the same incarnation was reachable in time.
        :rtype: bool
        """
        # A repeatable request goes to another endpoint instead of waiting.
        through_outage = not order.repeatable
        if not await self.reachability_.wait(REATTACH_TIMEOUT_S, through_outage):
            return False
        connection = self.connection_
        if connection is None or connection.peer.incarnation != incarnation:
            return False
        connection.mark_busy(True)
        item = wire.Attach(
            order.attempt_id, incarnation, order.expires_at_ms, next_sequence
        )
        await wire.try_send(connection, item)
        return True

    async def send_credit(self, attempt_id, next_sequence):
        """Acknowledge chunks, so that the agent may send more.

        :param str attempt_id: id of the attempt.
        :param int next_sequence: sequence number of the first chunk that was not
            consumed.
        """
        await self.send(wire.Credit(attempt_id, next_sequence))

    def forget(self, attempt_id):
        """Stop routing the messages of an attempt; late ones are dropped.

        :param str attempt_id: id of the attempt.
        """
        if not self._attempts.forget(attempt_id):
            return
        self.used_at_ = time.monotonic()
        if self.connection_ is not None and self._attempts.is_empty():
            self.connection_.mark_busy(False)

    def cancel(self, order):
        """Cancel an attempt at the agent, without waiting for the agent.

        :param sequoiagap.wire.Execute order: the message that started the attempt.
        """
        if self.connection_ is not None:
            item = wire.Cancel(order.attempt_id, order.expires_at_ms)
            self._tasks.start(wire.try_send(self.connection_, item), "cancel")

    async def request_state(self, timeout_s):
        """Return the agent's state dump as JSON text, or ``None`` without a reply.

        :param float timeout_s: longest wait, in seconds.
        :rtype: str | None
        """
        if self.connection_ is None:
            return None
        sequence = time.monotonic_ns()
        request = wire.StateRequest(sequence)
        return await self._request(sequence, request, timeout_s)

    async def send(self, item):
        """Send a message to the agent, if it is connected.

        A failure is not reported: :meth:`run` handles the lost connection.

        :param item: the message.
        """
        if self.connection_ is not None:
            await wire.try_send(self.connection_, item)

    def suspect(self, now):
        """Probe the agent; without a prompt answer it gets no new requests.

        :param float now: monotonic time in seconds.
        """
        self._suspicion.start(self.connection_, now)

    def unanswered_s(self, now):
        """Return for how long a heartbeat has been unanswered, in seconds.

        :param float now: monotonic time in seconds.
        :rtype: float
        """
        connection = self.connection_
        return 0.0 if connection is None else connection.unanswered_s(now)

    def is_suspect(self, now):
        """Return whether the agent has not answered a probe.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        return self._suspicion.is_confirmed(self.connection_, now)

    def is_down(self, now, grace_s):
        """Return whether the agent is suspect or disconnected for too long.

        :param float now: monotonic time in seconds.
        :param float grace_s: longest tolerated time without a connection, in
            seconds.
        :rtype: bool
        """
        if self.lost_at_ is None:
            return self.is_suspect(now)
        return now - self.lost_at_ > grace_s

    @property
    def is_idle(self):
        """Whether no attempt or request waits for an answer over this link."""
        return self._attempts.is_empty() and self._replies.is_empty()

    @property
    def is_open(self):
        """Whether an attempt can be sent now."""
        return self.connection_ is not None and self._clock_offset_s is not None

    async def send_order(self, order, timeout_s):
        """Send an operator's order; return the agent's reply, or ``None`` without one.

        :param sequoiagap.members.EndpointOrder order: the order.
        :param float timeout_s: longest wait for the reply, in seconds.
        :rtype: sequoiagap.members.EndpointOrderReply | None
        """
        return await self._request(order.order_id, order, timeout_s)

    async def _request(self, reply_id, request, timeout_s):
        async def send():
            await self.reachability_.wait_opened()
            await self.connection_.send(request)

        self.used_at_ = time.monotonic()
        return await self._replies.request(reply_id, send, timeout_s)

    async def _run_connection(self, connection):
        self.connection_ = connection
        self.lost_at_ = None
        self.member.mark_alive(connection.peer.incarnation, time.monotonic())
        self.reachability_.record_opened()
        self.view.connected = True
        _log.emit(base.Event.LINK_OPENED, peer=connection.peer.node_id)
        await self.channel.send_offer(connection)
        reason = await connection.run(
            lambda item: self._handlers.handle(connection, item)
        )
        _log.emit(base.Event.LINK_CLOSED, peer=connection.peer.node_id, reason=reason)

    def _on_lost(self):
        now = time.monotonic()
        connection, self.connection_ = self.connection_, None
        self.lost_at_ = connection.heard_at_ if connection.silent_ else now
        self.member.mark_lost(now)
        self.reports.forget(self.member.host.host_id)
        self.view.connected = False
        self.reachability_.record_lost()
        self._clock_offset_s = None
        self._attempts.put_all(LinkLost())

    def _make_handlers(self):
        handlers = wire.HandlerTable()
        for kind in (wire.Head, wire.Chunk, wire.Final, wire.Refused, wire.Revoked):
            handlers.add(kind, self._on_attempt_event)
        handlers.add(wire.AgentClock, self._on_clock)
        handlers.add(wire.Load, self._on_load)
        handlers.add(wire.StateReply, self._on_state)
        handlers.add(members.EndpointOrderReply, self._on_order_reply)
        self.channel.attach(handlers)
        self.reports.attach(handlers)
        return handlers

    async def _on_attempt_event(self, connection, item):
        if isinstance(item, wire.Final | wire.Refused):
            # The load report that follows this message no longer counts the attempt.
            self._attempts.close(item.attempt_id)
        self._attempts.put(item.attempt_id, item)

    async def _on_clock(self, connection, item):
        now = asyncio.get_running_loop().time()
        self._clock_offset_s = item.now_ms / MILLISECONDS - now
        self.reachability_.record_opened()

    async def _on_load(self, connection, item):
        self.view.record_report(item, time.monotonic())
        if item.state == "gone":
            if not self.member.leaving:
                _log.emit(base.Event.ENDPOINT_LEAVING, endpoint=self.view.endpoint_id)
            self.member.mark_leaving()

    async def _on_state(self, connection, item):
        self._replies.resolve(item.sequence, item.document)

    async def _on_order_reply(self, connection, item):
        self._replies.resolve(item.order_id, item)
