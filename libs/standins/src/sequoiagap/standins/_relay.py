"""TCP relay that can cut, silence and delay connections by source."""

import asyncio
import enum

from sequoiagap import base, wire

CHUNK_BYTES = 65536
POLL_S = 0.02
ALL_SOURCES = ""


class LinkMode(enum.StrEnum):
    """How a relay treats the connections of a source."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


class Relay:
    """Forwards TCP connections to one target.

    :param int target_port: TCP port of the target; may be changed later.
    :param bool framed: whether the first frame of a connection is a hello that
        names its source; otherwise only the mode for all sources applies.
    :param str target_address: IP address of the target.

    :ivar int port_: TCP port of the listener, once started.
    :ivar float delay_s: delay before each chunk is forwarded, in seconds.

    .. code-block:: python

        relay = Relay(target_port=7000)
        await relay.start()
        relay.set_mode(LinkMode.SILENT)
    """

    def __init__(self, target_port, framed=False, target_address="127.0.0.1"):
        self.target_port = target_port
        self.framed = framed
        self.target_address = target_address
        self.delay_s = 0.0
        self.port_ = 0
        self._mode_by_source = {}
        self._writers_by_source = {}
        self._accepted = 0
        self._last_silenced = 0
        self._tasks = base.TaskSet()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Close the listener and every connection."""
        self._server.close()
        self.cut_open()
        await self._tasks.close()

    def set_mode(self, mode, source=ALL_SOURCES):
        """Set the mode of a source.

        :param LinkMode mode: ``CUT`` resets open connections and closes new
            ones, ``SILENT`` keeps them open and forwards nothing.
        :param str source: node id of the connecting process; all sources by default.
        """
        self._mode_by_source[source] = LinkMode(mode)
        if mode == LinkMode.CUT:
            cut = [source] if source else list(self._writers_by_source)
            for name in cut:
                self._abort(name)

    def silence_open(self):
        """Silence the open connections permanently; new ones are forwarded."""
        self._last_silenced = self._accepted

    def cut_open(self):
        """Reset the open connections; new ones are forwarded."""
        for source in list(self._writers_by_source):
            self._abort(source)

    @property
    def connections(self):
        """Number of open connections."""
        return len(self.writers) // 2

    @property
    def writers(self):
        """Writers of the open connections, for both directions."""
        return [
            opened for writers in self._writers_by_source.values() for opened in writers
        ]

    def heal(self):
        """Forward the connections of all sources again, including silent ones."""
        self._mode_by_source.clear()

    def _mode(self, source):
        default_mode = self._mode_by_source.get(ALL_SOURCES, LinkMode.PASS)
        return self._mode_by_source.get(source, default_mode)

    async def _serve(self, reader, writer):
        task = self._tasks.start(self._relay(reader, writer), "relay")
        await asyncio.wait([task])

    async def _relay(self, reader, writer):
        source, hello_frame = ALL_SOURCES, b""
        writers = []
        self._accepted += 1
        number = self._accepted
        try:
            if self.framed:
                source, hello_frame = await _read_source(reader)
            if self._mode(source) == LinkMode.CUT:
                return
            target = await asyncio.open_connection(
                self.target_address, self.target_port
            )
            writers = [writer, target[1]]
            self._writers_by_source.setdefault(source, []).extend(writers)
            await self._forward(number, source, hello_frame, target[1])
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward_all(number, source, reader, target[1]))
                group.create_task(self._forward_all(number, source, target[0], writer))
        except (OSError, base.WireError, ExceptionGroup):
            pass
        finally:
            self._forget(source, writers)
            writer.transport.abort()
            for opened in writers:
                opened.transport.abort()

    async def _forward_all(self, number, source, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            await self._forward(number, source, data, writer)
        if writer.can_write_eof():
            writer.write_eof()

    async def _forward(self, number, source, data, writer):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self._is_silent(number, source):  # noqa: ASYNC110 - test tool
            await asyncio.sleep(POLL_S)
        writer.write(data)
        await writer.drain()

    def _is_silent(self, number, source):
        if number <= self._last_silenced:
            return True
        return self._mode(source) == LinkMode.SILENT

    def _abort(self, source):
        for writer in self._writers_by_source.pop(source, []):
            writer.transport.abort()

    def _forget(self, source, writers):
        open_writers = self._writers_by_source.get(source, [])
        for writer in writers:
            if writer in open_writers:
                open_writers.remove(writer)


async def _read_source(reader):
    """Read the hello; return its node id and the complete frame."""
    payload = await wire.read_frame(reader)
    if payload is None:
        raise base.WireError("connection closed before its hello", "Reconnect")
    hello = wire.decode(payload)
    frame = len(payload).to_bytes(4, "big") + payload
    return getattr(hello, "node_id", ALL_SOURCES), frame
