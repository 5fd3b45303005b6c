"""Framed connection between two processes, with heartbeats in both directions.

Heartbeats are frequent on a connection that carries work and rare on an idle one.
The peer is considered lost when a heartbeat stays unanswered for
``silence_timeout_s``. Time in which this process itself hung does not count.
"""

import asyncio
import time

from sequoiagap import base
from sequoiagap.wire import _codec, _framing, _handshake, _messages

BUSY_PING_INTERVAL_S = 0.3
IDLE_PING_INTERVAL_S = 5.0
SILENCE_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0

_log = base.get_logger("wire")


class Connection:
    """Sends and receives messages after the handshake and monitors the peer.

    :param asyncio.StreamReader reader: incoming stream.
    :param asyncio.StreamWriter writer: outgoing stream.
    :param Hello own: hello of this side.
    :param Hello peer: hello of the other side.
    :param float silence_timeout_s: timeout of a heartbeat's answer in seconds.

    :ivar float idle_interval_s: time between heartbeats while idle, in seconds; the
        owner may change it.
    :ivar float heard_at_: time of the last frame of the peer, monotonic seconds.
    :ivar bool busy_: whether work depends on the connection; set by the owner.
    :ivar bool closed_: whether the connection has ended.
    :ivar bool silent_: whether it was closed because a heartbeat was unanswered.
    :ivar int bytes_sent_: payload bytes sent so far.
    :ivar int bytes_received_: payload bytes received so far.
    :ivar int messages_sent_: messages sent so far.
    """

    def __init__(self, reader, writer, own, peer, silence_timeout_s=SILENCE_TIMEOUT_S):
        self.reader = reader
        self.writer = writer
        self.own = own
        self.peer = peer
        self.silence_timeout_s = silence_timeout_s
        self.idle_interval_s = IDLE_PING_INTERVAL_S
        self.heard_at_ = time.monotonic()
        self.busy_ = False
        self.closed_ = False
        self.bytes_sent_ = 0
        self.bytes_received_ = 0
        self.messages_sent_ = 0
        self.silent_ = False
        self._sequence = 0
        self._oldest_ping_at = None
        self._last_ping_at = time.monotonic()
        self._probe_requested = False
        self._wake_up = asyncio.Event()

    @property
    def is_congested_(self):
        """Whether the send buffer holds unsent bytes."""
        return self.writer.transport.get_write_buffer_size() > 0

    async def send(self, item):
        """Send one message; wait while the send buffer is full.

        :param item: an instance of a message class.
        :raises sequoiagap.base.WireError: if the connection is closed.
        """
        if self.closed_:
            raise _connection_lost_error(self.peer)
        payload = _codec.encode(item)
        _framing.write_frame(self.writer, payload)
        self.bytes_sent_ += len(payload)
        self.messages_sent_ += 1
        try:
            await self.writer.drain()
        except OSError as error:
            raise _connection_lost_error(self.peer) from error

    def mark_busy(self, busy):
        """Set whether work depends on this connection.

        :param bool busy: whether to send heartbeats at the short interval.
        """
        self.busy_ = busy
        if busy:
            self._wake_up.set()

    def probe(self):
        """Send a heartbeat now, as on a busy connection."""
        self._probe_requested = True
        self._wake_up.set()

    async def run(self, handle):
        """Receive messages until the connection ends.

        :param handle: coroutine function that takes a message.
        :returns: reason why the connection ended.
        :rtype: str
        """
        pinger = asyncio.create_task(self._ping_forever(), name="ping")
        try:
            return await self._receive(handle)
        finally:
            await base.cancel_and_wait(pinger)
            self.close()

    def close(self):
        """Abort the connection; unsent bytes are dropped."""
        if not self.closed_:
            self.closed_ = True
            self.writer.transport.abort()

    async def close_gracefully(self, reason):
        """Send a goodbye with the reason, flush and close.

        :param str reason: reason sent to the peer.
        """
        try:
            async with asyncio.timeout(self.silence_timeout_s):
                await self.send(_messages.Goodbye(reason))
                self.writer.write_eof()
        except (TimeoutError, OSError, base.WireError):
            pass
        self.closed_ = True
        self.writer.close()

    async def _receive(self, handle):
        while True:
            try:
                payload = await _framing.read_frame(self.reader)
                if payload is None:
                    return self._end_reason()
                self.heard_at_ = time.monotonic()
                self.bytes_received_ += len(payload)
                item = _codec.decode(payload)
            except base.WireError as error:
                self._log_rejected(error)
                return str(error)
            except OSError as error:
                return f"connection lost: {error}"
            if isinstance(item, _messages.Goodbye):
                return f"peer said goodbye: {item.reason}"
            if not await self._handle_heartbeat(item):
                await handle(item)

    async def _handle_heartbeat(self, item):
        if isinstance(item, _messages.Ping):
            await self._send_or_close(_messages.Pong(item.sequence))
            return True
        if isinstance(item, _messages.Pong):
            self._oldest_ping_at = None
            return True
        return False

    def unanswered_s(self, now):
        """Return for how long a heartbeat has been unanswered.

        :param float now: monotonic time in seconds.
        :returns: time in seconds; 0 if no heartbeat is pending or the peer has sent
            a frame since.
        :rtype: float
        """
        if self._oldest_ping_at is None:
            return 0.0
        return max(now - max(self._oldest_ping_at, self.heard_at_), 0.0)

    async def _ping_forever(self):
        while not self.closed_:
            lag_s = await self._wait_until_next_check()
            if lag_s > base.MAX_LOOP_LAG_S and self._oldest_ping_at is not None:
                self._oldest_ping_at += lag_s
            now = time.monotonic()
            pinged_at = self._oldest_ping_at
            if pinged_at is None:
                await self._ping_if_due(now)
            elif now - pinged_at > self.silence_timeout_s:
                _log.emit(base.Event.LINK_SILENT, peer=self.peer.node_id)
                self.silent_ = True
                self.close()

    async def _ping_if_due(self, now):
        is_idle_due = now - self._last_ping_at >= self.idle_interval_s
        if not (self.busy_ or self._probe_requested or is_idle_due):
            return
        self._probe_requested = False
        self._last_ping_at = now
        self._oldest_ping_at = now
        self._sequence += 1
        await self._send_or_close(_messages.Ping(self._sequence))

    def _end_reason(self):
        if self.silent_:
            return f"no heartbeat answer within {self.silence_timeout_s} s"
        return "closed here" if self.closed_ else "closed by peer"

    async def _wait_until_next_check(self):
        """Wait until the next heartbeat check; return its lag in seconds."""
        interval = BUSY_PING_INTERVAL_S
        if not self.busy_ and self._oldest_ping_at is None:
            idle_s = time.monotonic() - self._last_ping_at
            interval = max(self.idle_interval_s - idle_s, 0.0)
        due_at = time.monotonic() + interval
        try:
            async with asyncio.timeout(interval):
                await self._wake_up.wait()
        except TimeoutError:
            return time.monotonic() - due_at
        self._wake_up.clear()
        return 0.0

    async def _send_or_close(self, item):
        try:
            async with asyncio.timeout(self.silence_timeout_s):
                await self.send(item)
        except (TimeoutError, base.WireError):
            self.close()

    def _log_rejected(self, error):
        _log.emit(
            base.Event.FRAME_REJECTED, peer=self.peer.node_id, error=error.message
        )


async def connect(address, port, own):
    """Open a connection to another process.

    :param str address: IP address.
    :param int port: TCP port.
    :param Hello own: hello of this side, with secret and TLS contexts.
    :rtype: Connection
    :raises sequoiagap.base.WireError: if the peer can't be reached in time or
        does not authenticate.
    """
    context = own.tls.client_ if own.tls else None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address, port, ssl=context)
    except (OSError, TimeoutError) as error:
        raise base.WireError(
            f"{address}:{port} can't be reached ({error!r})",
            "Check that the process runs, its address and its certificate",
        ) from error
    peer = await _handshake.authenticate(reader, writer, own, is_initiator=True)
    return Connection(reader, writer, own, peer)


async def accept(reader, writer, own):
    """Authenticate a connection that another process has opened.

    :param asyncio.StreamReader reader: incoming stream.
    :param asyncio.StreamWriter writer: outgoing stream.
    :param Hello own: hello of this side, with the secret.
    :rtype: Connection
    :raises sequoiagap.base.WireError: if the peer does not authenticate in time.
    """
    peer = await _handshake.authenticate(reader, writer, own, is_initiator=False)
    return Connection(reader, writer, own, peer)


async def try_send(connection, item):
    """Send a message; ignore a lost connection, which its receive loop handles.

    :param Connection connection: connection to send it on.
    :param item: an instance of a message class.
    :returns: whether the connection accepted the message.
    :rtype: bool
    """
    try:
        await connection.send(item)
    except base.WireError:
        return False
    return True


async def listen(serve, address, port, tls=None):
    """Start a server for connections of other processes.

    :param serve: coroutine function that takes reader and writer of a connection.
    :param str address: IP address to listen on.
    :param int port: TCP port; 0 lets the system choose.
    :param TlsContexts tls: TLS contexts, or ``None`` for plain TCP.
    :rtype: asyncio.Server
    """
    if tls is None:
        return await asyncio.start_server(serve, address, port)
    return await asyncio.start_server(
        serve,
        address,
        port,
        ssl=tls.server_,
        ssl_handshake_timeout=_handshake.HANDSHAKE_TIMEOUT_S,
    )


def _connection_lost_error(peer):
    return base.WireError(f"connection to {peer.node_id} is closed", "Reconnect")
