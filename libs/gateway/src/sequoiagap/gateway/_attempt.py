"""One attempt to run a request at one endpoint over HTTP."""

import asyncio
import contextvars
import socket
import struct
import time

import aiohttp
import yarl

from sequoiagap import wire
from sequoiagap.gateway import _answer_memory, _attempt_result, _event_stream

CONNECT_TIMEOUT_S = 0.5
SERVER_ERROR_STATUS = 500
MAX_HEADER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s
SKIPPED_HEADERS = frozenset({"Accept", "Accept-Encoding", "User-Agent", "Content-Type"})


_current_attempt = contextvars.ContextVar("attempt")


class Attempt:
    """Sends a request to an endpoint and receives its answer.

    Each attempt has a connection of its own, so bytes that an endpoint sends late or
    after a complete answer can't become part of a later answer, and no request is lost
    to an idle connection that was closed. An abandoned attempt resets its connection:
    an endpoint may read an orderly close as the end of the request only, and continue
    to work.

    :param aiohttp.ClientSession session: opens the connection.
    :param Dialect dialect: names of headers.
    :param Outgoing outgoing: what to send, and where.
    :param AnswerLease lease: memory for what is buffered of the answer; the caller
        releases that of a complete answer.
    :param float first_byte_timeout_s: longest wait for the head of the answer, in
        seconds.
    :param float idle_timeout_s: longest wait for progress, in seconds: any bytes of a
        buffered answer, an event of a stream.
    :param handle_head: function that receives the :class:`AnswerHead` as soon as it has
        arrived.

    :ivar bool is_sent_: whether the request may have reached the endpoint.
    :ivar bool is_disconnected_: whether the connection ended before the answer did.
    :ivar bool is_blocked_: whether the endpoint isn't read, as the caller doesn't read.
    :ivar AnswerHead head_: decoded headers of the answer, once they have arrived.
    :ivar float first_byte_s_: time until the headers arrived, in seconds.
    :ivar float last_byte_at_: when the last byte arrived and was passed on, or the
        attempt began, monotonic seconds.
    :ivar float output_at_: when the newest event of a stream arrived, monotonic
        seconds, or ``None``.
    """

    def __init__(
        self,
        session,
        dialect,
        outgoing,
        lease,
        first_byte_timeout_s,
        idle_timeout_s,
        handle_head=lambda head: None,
    ):
        self.session = session
        self.dialect = dialect
        self.outgoing = outgoing
        self.lease = lease
        self.first_byte_timeout_s = first_byte_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.handle_head = handle_head
        self.is_sent_ = False
        self.is_disconnected_ = False
        self.is_blocked_ = False
        self.head_ = None
        self.first_byte_s_ = 0.0
        self.last_byte_at_ = time.monotonic()
        self.output_at_ = None
        self._progress_at = self.last_byte_at_
        self._timer = None
        self._closed = None
        self._socket = None

    def record_socket(self, sock):
        """Record the socket over which the request will be sent."""
        self._socket = sock

    @property
    def is_closed_(self):
        """Whether the attempt has no open connection."""
        return self._socket is None or self._socket.fileno() < 0

    def record_connected(self):
        """Record an open connection; the request may be on its way."""
        self.is_sent_ = True
        if self._timer is not None:
            now = asyncio.get_running_loop().time()
            self._timer.reschedule(now + self.first_byte_timeout_s)

    async def run(self, sink=None):
        """Send the request and receive the answer.

        :param sink: receives the events of a stream as they arrive, by its coroutine
            methods ``send_head(status, headers)`` and ``send_events(events, last_id)``;
            ``None`` buffers the answer until it is complete.
        :rtype: AttemptResult
        """
        _current_attempt.set(self)
        try:
            return await self._exchange(sink)
        except TimeoutError:
            return self._failed("no byte arrived before the timeout")
        except (aiohttp.ClientError, OSError) as error:
            is_malformed = isinstance(error, aiohttp.ClientResponseError)
            self.is_disconnected_ = self.is_sent_ and not is_malformed
            error.__traceback__ = None  # its frames hold what has been received
            return self._failed(f"{type(error).__name__}: {error}"[:160])
        except (
            _event_stream.EventStreamError,
            _answer_memory.AnswerMemoryError,
        ) as error:
            error.__traceback__ = None
            return self._failed(str(error))
        except asyncio.CancelledError:
            self._reset()
            self.lease.release()
            raise

    def abandon(self, reason):
        """Return the result of an attempt that was cancelled.

        :param str reason: why it was cancelled.
        :rtype: AttemptResult
        """
        return self._failed(reason)

    async def _exchange(self, sink):
        outgoing = self.outgoing
        began = time.monotonic()
        request = self.session.request(
            outgoing.method,
            yarl.URL(outgoing.url, encoded=True),
            headers=outgoing.headers,
            data=outgoing.body or None,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
            trace_request_ctx=self,
        )
        async with asyncio.timeout(CONNECT_TIMEOUT_S) as self._timer:
            response = await request
        try:
            self._timer = None
            self.last_byte_at_ = self._progress_at = time.monotonic()
            self.first_byte_s_ = self.last_byte_at_ - began
            connection = response.connection
            if connection is not None and connection.protocol is not None:
                self._closed = connection.protocol.closed
            if self._closed is not None:
                self._closed.add_done_callback(_retrieve_exception)
            self.lease.on_evicted = lambda: response.content.set_exception(
                _answer_memory.AnswerMemoryError("a smaller answer needs the memory")
            )
            return await self._receive(response, sink)
        finally:
            self.lease.on_evicted = None
            response.close()

    async def _receive(self, response, sink):
        head = self.dialect.read_answer(response.status, response.headers)
        self.head_ = head
        if head.request_id and head.request_id != self.outgoing.request_id:
            return self._failed(f"the answer belongs to request {head.request_id}")
        self.handle_head(head)
        if head.is_not_run:
            reason = f"refused by the endpoint with status {response.status}"
            return _attempt_result.AttemptResult(
                _attempt_result.AttemptOutcome.NOT_RUN, reason
            )
        if "Content-Encoding" in response.headers:
            return self._failed("the answer has an encoding that was not requested")
        is_stream = response.headers.get("Content-Type", "").startswith("text/event")
        is_success = response.status < _attempt_result.FIRST_REDIRECT_STATUS
        if sink is not None and is_success and is_stream:
            return await self._forward_stream(response, sink)
        return await self._buffer_answer(response, head)

    async def _buffer_answer(self, response, head):
        announced, body = response.content_length, _answer_memory.AnswerBody()
        if announced is not None and announced > MAX_ANSWER_BYTES:
            return self._failed(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        if announced is not None:
            await self.lease.reserve(announced)
            self._progress_at = time.monotonic()
        async for piece in self._pieces(response):
            self._progress_at = self.last_byte_at_
            body.append(piece)
            if len(body) > MAX_ANSWER_BYTES:
                return self._failed(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
            if announced is None:
                await self.lease.grow_to(len(body))
                self._progress_at = time.monotonic()
        if not self._is_complete(response):
            return self._failed("the answer was cut off")
        if not head.is_sealed:
            return self._failed(f"unsigned answer with status {response.status}")
        self.lease.keep()
        answer = _attempt_result.Answer(response.status, response.headers, body)
        if response.status >= SERVER_ERROR_STATUS:
            reason = f"the endpoint failed with status {response.status}"
            return _attempt_result.AttemptResult(
                _attempt_result.AttemptOutcome.UNKNOWN, reason, answer
            )
        return _attempt_result.AttemptResult(
            _attempt_result.AttemptOutcome.ANSWERED, answer=answer
        )

    async def _forward_stream(self, response, sink):
        if not self.head_.is_sealed:
            return self._failed("unsigned stream")
        splitter = _event_stream.EventSplitter(self.outgoing.resume_after)
        async for piece in self._pieces(response):
            events = splitter.feed(piece)
            await self.lease.grow_to(splitter.rest_bytes_)
            if any(map(_event_stream.has_content, events)):
                self._progress_at = self.output_at_ = self.last_byte_at_
            if events:
                await self._send(sink, response, events, splitter.last_id_)
        if not splitter.is_at_end() or not self._is_complete(response):
            return self._failed("the stream was cut off")
        await sink.send_head(response.status, response.headers)
        return _attempt_result.AttemptResult(_attempt_result.AttemptOutcome.ANSWERED)

    async def _send(self, sink, response, events, last_id):
        """Send events to the caller; the time that it takes is not the endpoint's."""
        began = time.monotonic()
        self.is_blocked_ = True
        try:
            await sink.send_head(response.status, response.headers)
            await sink.send_events(events, last_id)
        finally:
            self.is_blocked_ = False
        self.last_byte_at_ = time.monotonic()
        self._progress_at += self.last_byte_at_ - began

    async def _pieces(self, response):
        while True:
            waited_s = time.monotonic() - self._progress_at
            async with asyncio.timeout(self.idle_timeout_s - waited_s):
                piece = await response.content.readany()
            if not piece:
                return
            self.last_byte_at_ = time.monotonic()
            yield piece

    def _is_complete(self, response):
        """Return whether the answer ended by itself and was not cut off.

        An answer without a length ends with its connection; if the connection was
        reset, the answer is incomplete, however many bytes have arrived.
        """
        headers = response.headers
        if "Content-Length" in headers or "Transfer-Encoding" in headers:
            return True
        closed = self._closed
        if closed is None or not closed.done() or closed.cancelled():
            return False
        return closed.exception() is None

    def _reset(self):
        """Make the close that follows at once reset the connection."""
        sock = self._socket
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _failed(self, reason):
        self._reset()
        self.lease.release()
        if not self.is_sent_:
            return _attempt_result.AttemptResult(
                _attempt_result.AttemptOutcome.NOT_SENT, f"no connection: {reason}"
            )
        return _attempt_result.AttemptResult(
            _attempt_result.AttemptOutcome.UNKNOWN, reason
        )


def open_session():
    """Return a client session whose connections carry one request each.

    :rtype: aiohttp.ClientSession
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_record_connected)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_open_socket
        ),
        response_class=wire.BoundedResponse,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(wire.send_once,),
        trace_configs=[trace],
    )


def _open_socket(address):
    family, kind, protocol, *_ = address
    sock = socket.socket(family, kind, protocol)
    _current_attempt.get().record_socket(sock)
    return sock


def _retrieve_exception(closed):
    """Retrieve how a connection ended, so that asyncio does not log it."""
    if not closed.cancelled():
        closed.exception()


async def _record_connected(session, context, parameters):
    context.trace_request_ctx.record_connected()
