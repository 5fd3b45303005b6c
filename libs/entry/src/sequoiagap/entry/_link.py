"""The entry's link to one agent: a connection that is opened again when lost."""

import asyncio
import time

from sequoiagap import base, members, wire
from sequoiagap.entry import _attempt_events, _pending, _reachability, _suspicion

RECONNECT_DELAY_S = 0.2
SETTLE_TIMEOUT_S = 2.0
MILLISECONDS = 1000

_log = base.get_logger("link")


class LinkLost:
    """Event of an attempt whose connection was lost."""


class NotSentError(base.WireError):
    """An order was not sent, and so was not run."""


class AgentLink:
    """Keeps a connection to one agent and routes its messages to attempts.

    :param sequoiagap.members.Member member: the agent.
    :param sequoiagap.routing.EndpointView view: what the entry believes of it.
    :param make_hello: function that returns this entry's hello.
    :param sequoiagap.config.ConfigChannel channel: spreads the configuration.
    :param reports: object that attaches the handler of agents' reports.

    :ivar sequoiagap.wire.Connection connection_: open connection or ``None``.
    :ivar float used_at_: when an attempt or question last needed the link,
        monotonic time in seconds.
    :ivar float lost_at_: since when there is no connection, or when a silent one
        was last heard, monotonic time in seconds; ``None`` while there is one.
    :ivar Reachability reachability_: what the last try to connect has shown.
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
        self._replies = _pending.PendingReplies()
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
                self.reachability_.note_unreachable(error)
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                await self._use(connection)
            finally:
                self._lost()
                connection.close()
            await asyncio.sleep(RECONNECT_DELAY_S)

    def expires_at_ms(self, deadline):
        """Return a deadline on the agent's clock, in milliseconds.

        :param float deadline: on this entry's clock, in seconds.
        :rtype: int
        :raises NotSentError: if the agent has not told its clock yet.
        """
        if self._clock_offset_s is None:
            raise NotSentError("no connection to the agent", "Try another endpoint")
        return int((deadline + self._clock_offset_s) * MILLISECONDS)

    async def execute(self, order):
        """Send an attempt and return the queue of its events.

        The agent sends no further ahead than its window, which bounds the queue.

        :param sequoiagap.wire.Execute order: the attempt.
        :returns: queue of messages, with :class:`LinkLost` if the link is lost.
        :rtype: asyncio.Queue
        :raises NotSentError: if it was not sent.
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
        """Ask for the rest of an attempt's answer over a new connection.

        :param sequoiagap.wire.Execute order: the attempt.
        :param str incarnation: incarnation of the agent that it was sent to.
        :param int next_sequence: first chunk that is lacking.
        :returns: whether the same incarnation could be asked in time.
        :rtype: bool
        """
        # Where another endpoint may do, an outage is not waited out.
        through_outage = not order.repeatable
        if not await self.reachability_.wait(SETTLE_TIMEOUT_S, through_outage):
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
        """Tell the agent that chunks were taken, so that it may send more.

        :param str attempt_id: the attempt.
        :param int next_sequence: first chunk that was not taken.
        """
        await self.tell(wire.Credit(attempt_id, next_sequence))

    def forget(self, attempt_id):
        """Stop routing the messages of an attempt; late ones are dropped.

        :param str attempt_id: the attempt.
        """
        if not self._attempts.forget(attempt_id):
            return
        self.used_at_ = time.monotonic()
        if self.connection_ is not None and self._attempts.is_empty():
            self.connection_.mark_busy(False)

    def cancel(self, order):
        """Tell the agent that nobody waits for an attempt any more.

        :param sequoiagap.wire.Execute order: the attempt.
        """
        if self.connection_ is not None:
            item = wire.Cancel(order.attempt_id, order.expires_at_ms)
            self._tasks.start(wire.try_send(self.connection_, item), "cancel")

    async def request_state(self, timeout_s):
        """Return the agent's state dump as JSON text, or ``None``.

        :param float timeout_s: longest wait, in seconds.
        :rtype: str | None
        """
        if self.connection_ is None:
            return None
        sequence = time.monotonic_ns()
        question = wire.StateRequest(sequence)
        return await self._ask(sequence, question, timeout_s)

    async def tell(self, item):
        """Send the agent a message; a lost connection is settled elsewhere.

        :param item: the message.
        """
        if self.connection_ is not None:
            await wire.try_send(self.connection_, item)

    def suspect(self, now):
        """Probe the agent; it gets no new work if the answer does not come soon.

        :param float now: monotonic time in seconds.
        """
        self._suspicion.raise_on(self.connection_, now)

    def unanswered_s(self, now):
        """Return for how long the agent has left a heartbeat unanswered.

        :param float now: monotonic time in seconds.
        :rtype: float
        """
        connection = self.connection_
        return 0.0 if connection is None else connection.unanswered_s(now)

    def is_suspect(self, now):
        """Return whether the agent left a probe unanswered and was not heard since.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        return self._suspicion.counts(self.connection_, now)

    def is_down(self, now, grace_s):
        """Return whether the agent can't be used, and not only for a moment.

        :param float now: monotonic time in seconds.
        :param float grace_s: how long a connection may be lacking, in seconds.
        :rtype: bool
        """
        if self.lost_at_ is None:
            return self.is_suspect(now)
        return now - self.lost_at_ > grace_s

    @property
    def is_idle(self):
        """Whether nothing awaits an answer over this link."""
        return self._attempts.is_empty() and self._replies.is_empty()

    @property
    def is_open(self):
        """Whether an attempt could be sent now."""
        return self.connection_ is not None and self._clock_offset_s is not None

    async def order(self, order, timeout_s):
        """Send an order to the endpoint; return the agent's reply or ``None``.

        :param sequoiagap.members.EndpointOrder order: the order.
        :param float timeout_s: longest wait for the reply, in seconds.
        :rtype: sequoiagap.members.EndpointOrderReply | None
        """
        return await self._ask(order.order_id, order, timeout_s)

    async def _ask(self, reply_id, question, timeout_s):
        async def send():
            await self.reachability_.wait_opened()
            await self.connection_.send(question)

        self.used_at_ = time.monotonic()
        return await self._replies.ask(reply_id, send, timeout_s)

    async def _use(self, connection):
        self.connection_ = connection
        self.lost_at_ = None
        self.member.mark_alive(connection.peer.incarnation, time.monotonic())
        self.reachability_.note_opened()
        self.view.connected = True
        _log.emit(base.Event.LINK_OPENED, peer=connection.peer.node_id)
        await self.channel.send_offer(connection)
        reason = await connection.run(
            lambda item: self._handlers.handle(connection, item)
        )
        _log.emit(base.Event.LINK_CLOSED, peer=connection.peer.node_id, reason=reason)

    def _lost(self):
        now = time.monotonic()
        connection, self.connection_ = self.connection_, None
        self.lost_at_ = connection.heard_at_ if connection.silent_ else now
        self.member.mark_lost(now)
        self.reports.forget(self.member.host.host_id)
        self.view.connected = False
        self.reachability_.note_lost()
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
            # Before the load that follows, which no longer counts it.
            self._attempts.close(item.attempt_id)
        self._attempts.put(item.attempt_id, item)

    async def _on_clock(self, connection, item):
        now = asyncio.get_running_loop().time()
        self._clock_offset_s = item.now_ms / MILLISECONDS - now
        self.reachability_.note_opened()

    async def _on_load(self, connection, item):
        self.view.take_report(item, time.monotonic())
        if item.state == "gone":
            if not self.member.leaving:
                _log.emit(base.Event.ENDPOINT_LEAVING, endpoint=self.view.endpoint_id)
            self.member.mark_leaving()

    async def _on_state(self, connection, item):
        self._replies.settle(item.sequence, item.document)

    async def _on_order_reply(self, connection, item):
        self._replies.settle(item.order_id, item)
