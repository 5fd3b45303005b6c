"""Light agents and entries: they implement only the wire protocol, many per process."""

import asyncio
import json

from sequoiagap import admission, base, config, members, wire

MESSAGE_LIBRARIES = (
    admission,
    config,
    members,
)  # their import registers the message types
FRAME_HEADER_BYTES = 4
TOKEN = b'data: {"choices": [{"delta": {"content": "token "}}]}\n\n'
DONE = b"data: [DONE]\n\n"
CREDIT_INTERVAL_CHUNKS = 8
MS_PER_S = 1000
ATTEMPT_TIMEOUT_MS = 10_000
ANSWER_DURATION_S = 0.05


def count_received(reader, record):
    """Call a function with the size of each piece of data that a stream receives.

    :param asyncio.StreamReader reader: stream to observe.
    :param record: function of a number of bytes.
    """
    feed = reader.feed_data

    def record_and_feed(data):
        record(len(data))
        feed(data)

    reader.feed_data = record_and_feed


def count_sent_bytes(connection):
    """Return the number of bytes sent on a connection, including frame headers.

    :param sequoiagap.wire.Connection connection: connection to count.
    :rtype: int
    """
    return connection.bytes_sent_ + FRAME_HEADER_BYTES * connection.messages_sent_


class LightAgent:
    """Agent that answers attempts with fixed tokens, without a model server.

    :param str node_id: id of the endpoint.
    :param str failure_domain: failure domain of the agent.
    :param str secret: secret of the deployment.

    :ivar int received_bytes_: bytes received so far.
    :ivar int port_: TCP port, 0 before the start.
    """

    def __init__(self, node_id, failure_domain, secret):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.secret = secret
        self.incarnation = base.new_id("inc")
        self.received_bytes_ = 0
        self.port_ = 0
        self._connections = []
        self._in_flight = 0
        self._tasks = base.TaskSet()

    async def start(self):
        """Listen on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        hello = wire.Hello(
            node_id=self.node_id,
            role="agent",
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            secret=self.secret,
        )
        connection = await wire.accept(reader, writer, hello)
        self._connections.append(connection)
        count_received(reader, self._record_received)
        clock_ms = int(asyncio.get_running_loop().time() * MS_PER_S)
        await connection.send(wire.AgentClock(clock_ms))
        await connection.send(self._make_load())
        await connection.run(lambda item: self._handle(connection, item))

    @property
    def sent_bytes_(self):
        """Bytes sent so far, including frame headers."""
        return sum(count_sent_bytes(connection) for connection in self._connections)

    def _record_received(self, size):
        self.received_bytes_ += size

    async def _handle(self, connection, item):
        if isinstance(item, wire.Execute):
            self._tasks.start(self._answer(connection, item), item.attempt_id)

    async def _answer(self, connection, order):
        tokens = json.loads(order.body).get("max_tokens", 1)
        attempt_id = order.attempt_id
        headers = {"content-type": "text/event-stream" if tokens > 1 else "text/plain"}
        self._in_flight += 1
        await connection.send(wire.Head(attempt_id, 200, headers))
        for number in range(tokens):
            await asyncio.sleep(ANSWER_DURATION_S / tokens)
            data = DONE if number == tokens - 1 else TOKEN
            await connection.send(wire.Chunk(attempt_id, number, data))
        self._in_flight -= 1
        size = len(TOKEN) * (tokens - 1) + len(DONE)
        await connection.send(wire.Final(attempt_id, tokens, size))
        await connection.send(self._make_load())

    def _make_load(self):
        return wire.Load("warm", self._in_flight, 64, 0, ANSWER_DURATION_S)


class LightEntry:
    """Entry that sends attempts to an agent, without callers.

    :param int number: number in the name of the entry.
    :param str secret: secret of the deployment.

    :ivar int received_bytes_: bytes received so far.
    :ivar int answered_: attempts with a complete answer.
    """

    def __init__(self, number, secret):
        self.number = number
        self.secret = secret
        self.received_bytes_ = 0
        self.answered_ = 0
        self.connection_ = None
        self._tasks = base.TaskSet()

    async def start(self, port):
        """Connect to an agent or entry on the loopback address.

        :param int port: TCP port of the peer.
        """
        hello = wire.Hello(
            node_id=f"light-entry-{self.number}",
            role="entry",
            incarnation=base.new_id("inc"),
            failure_domain="north",
            secret=self.secret,
        )
        self.connection_ = await wire.connect("127.0.0.1", port, hello)
        count_received(self.connection_.reader, self._record_received)
        self._tasks.start(self.connection_.run(self._on_message), "run")

    async def execute(self):
        """Send one attempt with a streamed answer."""
        body = b'{"model": "desk-model", "stream": true, "messages": []}'
        now_ms = int(asyncio.get_running_loop().time() * MS_PER_S)
        order = wire.Execute(
            request_id=base.new_id("req"),
            attempt_id=base.new_id("att"),
            account="guild",
            target="desk-model",
            method="POST",
            path="/v1/chat/completions",
            headers={"Content-Type": "application/json"},
            body=body,
            expires_at_ms=now_ms + ATTEMPT_TIMEOUT_MS,
        )
        await self.connection_.send(order)

    async def _on_message(self, item):
        self.answered_ += isinstance(item, wire.Final)
        if isinstance(item, wire.Chunk) and item.sequence % CREDIT_INTERVAL_CHUNKS == 0:
            credit = wire.Credit(item.attempt_id, item.sequence + 1)
            await self.connection_.send(credit)

    def _record_received(self, size):
        self.received_bytes_ += size
