"""Agents and entries that speak the wire protocol alone, many to a process."""

import asyncio
import json

from sequoiagap import admission, base, config, members, wire

MESSAGE_LIBRARIES = (admission, config, members)  # their messages can be decoded then
FRAME_HEADER_BYTES = 4
TOKEN = b'data: {"choices": [{"delta": {"content": "token "}}]}\n\n'
DONE = b"data: [DONE]\n\n"
CREDIT_EVERY_CHUNKS = 8
MILLISECONDS = 1000
ANSWER_BOUND_MS = 10_000
ANSWER_S = 0.05


def count_received(reader, note):
    """Call a function with the size of all data that a stream receives.

    :param asyncio.StreamReader reader: the stream.
    :param note: function of a number of bytes.
    """
    feed = reader.feed_data

    def counting(data):
        note(len(data))
        feed(data)

    reader.feed_data = counting


def count_sent(connection):
    """Return the bytes that a connection has sent, frame headers included.

    :param sequoiagap.wire.Connection connection: the connection.
    :rtype: int
    """
    return connection.bytes_sent_ + FRAME_HEADER_BYTES * connection.messages_sent_


class LightAgent:
    """An agent of the wire protocol alone, many to a process.

    :param str node_id: id of the endpoint.
    :param str failure_domain: where it stands.
    :param str secret: the deployment's secret.
    """

    def __init__(self, node_id, failure_domain, secret):
        self.node_id = node_id
        self.failure_domain = failure_domain
        self.secret = secret
        self.incarnation = base.new_id("inc")
        self.received_ = 0
        self.port_ = 0
        self._connections = []
        self._in_flight = 0
        self._tasks = base.TaskSet()

    async def start(self):
        """Listen on the loopback address."""
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
        count_received(reader, self._note_received)
        clock_ms = int(asyncio.get_running_loop().time() * MILLISECONDS)
        await connection.send(wire.AgentClock(clock_ms))
        await connection.send(self._load())
        await connection.run(lambda item: self._handle(connection, item))

    @property
    def sent_(self):
        """Bytes sent so far."""
        return sum(count_sent(connection) for connection in self._connections)

    def _note_received(self, size):
        self.received_ += size

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
            await asyncio.sleep(ANSWER_S / tokens)
            data = DONE if number == tokens - 1 else TOKEN
            await connection.send(wire.Chunk(attempt_id, number, data))
        self._in_flight -= 1
        size = len(TOKEN) * (tokens - 1) + len(DONE)
        await connection.send(wire.Final(attempt_id, tokens, size))
        await connection.send(self._load())

    def _load(self):
        return wire.Load("warm", self._in_flight, 64, 0, ANSWER_S)


class LightEntry:
    """An entry of the wire protocol alone, many to a process.

    :param int number: its number.
    :param str secret: the deployment's secret.
    """

    def __init__(self, number, secret):
        self.number = number
        self.secret = secret
        self.received_ = 0
        self.answered_ = 0
        self.connection_ = None
        self._tasks = base.TaskSet()

    async def start(self, port):
        """Connect to the agent.

        :param int port: its TCP port.
        """
        hello = wire.Hello(
            node_id=f"light-entry-{self.number}",
            role="entry",
            incarnation=base.new_id("inc"),
            failure_domain="north",
            secret=self.secret,
        )
        self.connection_ = await wire.connect("127.0.0.1", port, hello)
        count_received(self.connection_.reader, self._note_received)
        self._tasks.start(self.connection_.run(self._on_message), "run")

    async def execute(self):
        """Send one attempt."""
        body = b'{"model": "desk-model", "stream": true, "messages": []}'
        now_ms = int(asyncio.get_running_loop().time() * MILLISECONDS)
        order = wire.Execute(
            request_id=base.new_id("req"),
            attempt_id=base.new_id("att"),
            account="guild",
            target="desk-model",
            method="POST",
            path="/v1/chat/completions",
            headers={"Content-Type": "application/json"},
            body=body,
            expires_at_ms=now_ms + ANSWER_BOUND_MS,
        )
        await self.connection_.send(order)

    async def _on_message(self, item):
        self.answered_ += isinstance(item, wire.Final)
        if isinstance(item, wire.Chunk) and item.sequence % CREDIT_EVERY_CHUNKS == 0:
            credit = wire.Credit(item.attempt_id, item.sequence + 1)
            await self.connection_.send(credit)

    def _note_received(self, size):
        self.received_ += size
