"""Connections to the agents of the other ranks of a group."""

import asyncio
import time

from sequoiagap import base, wire
from sequoiagap.ranks import _messages, _ports

REPLY_TIMEOUT_S = 0.3  # if nothing at all is heard from the agent meanwhile
SILENT_BACKOFF_S = 1.0  # time for which an agent that timed out is bypassed
RECONNECT_S = 0.3
LINK_PING_S = 3.0  # a link on which a request times out is probed at once
IDENTIFY_RETRY_S = 0.05  # until an agent has reported which rank it serves
IDENTIFIED_CHECK_S = 1.0
IDLE_CHECK_S = 5.0  # the same while this agent is not the leader

_log = base.get_logger("ranks")


class RankLink:
    """Connection to the agent of another rank.

    :param gateway.Node node: the agent.
    :param make_hello: function that returns the :class:`wire.Hello` of this process.

    :ivar float last_sent_at_: when the last message was sent, in monotonic seconds.
    :ivar int late_answers_: number of answers that arrived after their request had
        timed out.
    """

    def __init__(self, node, make_hello):
        self.node = node
        self.make_hello = make_hello
        self._connection = None
        self._silent_until = 0.0
        self.late_answers_ = 0
        self.last_sent_at_ = 0.0
        self._requests = wire.Questions()

    @property
    def is_open(self):
        """Whether the agent is connected."""
        return self._connection is not None

    @property
    def is_silent(self):
        """Whether a recent request timed out without anything heard from the agent."""
        return time.monotonic() < self._silent_until

    @property
    def bytes_(self):
        """Payload bytes of the open connection, sent and received."""
        connection = self._connection
        if connection is None:
            return 0
        return connection.bytes_sent_ + connection.bytes_received_

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
                await connection.run(self._on_message)
            finally:
                self._connection = None
                self._requests.drop()
            await asyncio.sleep(RECONNECT_S)

    async def request(self, message, timeout_s=REPLY_TIMEOUT_S):
        """Send a request and return its response, or ``None`` without one.

        :param message: a message with a ``number``, which is set here.
        :param float timeout_s: maximum wait, in seconds.
        :rtype: RankState | KeeperAnswer | None
        """
        connection = self._connection
        if connection is None:
            return None
        loop = asyncio.get_running_loop()
        self.last_sent_at_ = began = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s) as timer:
                check = loop.call_later(
                    REPLY_TIMEOUT_S, _expire_if_silent, timer, connection, began
                )
                try:
                    answer = await self._requests.ask(connection, message)
                finally:
                    check.cancel()
        except TimeoutError:
            waited_s = time.monotonic() - began
            is_on_time = waited_s < max(timeout_s, REPLY_TIMEOUT_S) + base.OWN_LAG_S
            if is_on_time and connection.heard_at_ < began:
                self.mark_silent()
                connection.probe()
            return None
        except base.WireError:
            return None
        self._silent_until = 0.0
        return answer

    async def send(self, message):
        """Send a message without a response, unless the connection is congested.

        :param message: the message.
        """
        connection = self._connection
        if connection is not None and not connection.is_congested_:
            self.last_sent_at_ = time.monotonic()
            await wire.try_send(connection, message)

    def mark_silent(self):
        """Treat the agent as silent for a while."""
        now = time.monotonic()
        if not self.is_silent:
            _log.emit(base.Event.RANK_SILENT, peer=self.node.node_id)
        self._silent_until = now + SILENT_BACKOFF_S

    async def _on_message(self, message):
        if isinstance(message, _messages.RankState | _messages.KeeperAnswer):
            self.late_answers_ += not self._requests.take(message)


def _expire_if_silent(timer, connection, began):
    """End a wait early if nothing at all was heard since it started."""
    if connection.heard_at_ < began and not timer.expired():
        timer.reschedule(asyncio.get_running_loop().time())


class RankLinks:
    """Links to the agents of the own group, by the rank that each serves.

    :param base.TaskSet tasks: runs the links' tasks.
    :param str node_id: own node id.
    :param make_hello: function that returns the :class:`wire.Hello` of this process.
    :param own_report: function that returns the newest report of the own engine, or
        ``None``.

    :ivar dict by_rank: :class:`RankLink` to the agent of each rank identified so far.
    :ivar dict address_by_rank: address that the engine of each of these ranks listens
        on.
    """

    def __init__(self, tasks, node_id, make_hello, own_report):
        self.tasks = tasks
        self.node_id = node_id
        self.make_hello = make_hello
        self.own_report = own_report
        self.by_rank = {}
        self.address_by_rank = {}
        self._is_leading = False
        self._link_by_node_id = {}

    def update(self, nodes, is_leading):
        """Open links to the agents among the registered processes.

        :param nodes: the registered :class:`gateway.Node` objects.
        :param bool is_leading: whether this agent is the leader; otherwise it may have
            to take over.
        """
        self._is_leading = is_leading
        for node in list(nodes):
            is_agent = node.role == "ranks" and node.endpoint
            if not is_agent or node.node_id == self.node_id:
                continue
            existing = self._link_by_node_id.get(node.node_id)
            if existing is None or existing.node != node:
                link = RankLink(node, self.make_hello)
                self._link_by_node_id[node.node_id] = link
                self.tasks.start(self._maintain(link), f"rank-{node.node_id}")

    async def _maintain(self, link):
        runner = asyncio.ensure_future(link.run())
        try:
            while self._link_by_node_id.get(link.node.node_id) is link:
                is_identified = await self._identify(link)
                await asyncio.sleep(self._check_interval(is_identified))
        finally:
            await base.cancel_and_wait(runner)

    def _check_interval(self, is_identified):
        if not is_identified:
            return IDENTIFY_RETRY_S
        return IDENTIFIED_CHECK_S if self._is_leading else IDLE_CHECK_S

    async def _identify(self, link):
        """Poll an agent for the rank that it serves, and use the link for that rank.

        :returns: whether the agent reported its rank.
        """
        own = self.own_report()
        if own is None or not link.is_open or link.is_silent:
            return False
        state = await link.request(_messages.RankPoll(0, _messages.NOT_LEADING))
        if state is None or not state.is_known:
            return False
        report = _ports.read_report(state.report)
        if report.group == own.group:
            self.by_rank[report.rank] = link
            self.address_by_rank[report.rank] = link.node.endpoint
        return True
