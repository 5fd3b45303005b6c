"""TCP relay whose links can be cut, silenced and delayed for each source."""

import asyncio
import enum

from sequoiagap import base, wire

CHUNK_BYTES = 65536
POLL_S = 0.02
EVERY_SOURCE = ""


class LinkMode(enum.StrEnum):
    """What a relay does with the bytes of a link."""

    PASS = "pass"
    CUT = "cut"
    SILENT = "silent"


class Relay:
    """Passes connections on to one target.

    :param int target_port: TCP port of the target; may be changed later.
    :param bool framed: whether the first frame of a connection is a hello that
        names its source; else only the mode of every source counts.
    :param str target_address: IP address of the target.

    :ivar int port_: TCP port that the relay listens on, once started.
    :ivar float delay_s: how long bytes are held, in seconds.

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
        self._silent_up_to = 0
        self._tasks = base.TaskSet()
        self._server = None

    async def start(self):
        """Listen on a port of the system's choice."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Close the listener and every connection."""
        self._server.close()
        self.cut_open()
        await self._tasks.close()

    def set_mode(self, mode, source=EVERY_SOURCE):
        """Change what happens to the links of a source.

        :param LinkMode mode: ``CUT`` closes open connections and refuses new
            ones, ``SILENT`` leaves them open and passes nothing.
        :param str source: node id of the connecting process; all by default.
        """
        self._mode_by_source[source] = LinkMode(mode)
        if mode == LinkMode.CUT:
            cut = [source] if source else list(self._writers_by_source)
            for name in cut:
                self._abort(name)

    def silence_open(self):
        """Make the open connections silent for good; new ones pass."""
        self._silent_up_to = self._accepted

    def cut_open(self):
        """Cut the open connections; new ones pass."""
        for source in list(self._writers_by_source):
            self._abort(source)

    @property
    def connections(self):
        """How many connections are open."""
        return len(self.writers) // 2

    @property
    def writers(self):
        """The writers of the open connections, to both sides."""
        return [item for own in self._writers_by_source.values() for item in own]

    def heal(self):
        """Let every link pass again, also those that were silent."""
        self._mode_by_source.clear()

    def _mode(self, source):
        every = self._mode_by_source.get(EVERY_SOURCE, LinkMode.PASS)
        return self._mode_by_source.get(source, every)

    async def _serve(self, reader, writer):
        task = self._tasks.start(self._relay(reader, writer), "relay")
        await asyncio.wait([task])

    async def _relay(self, reader, writer):
        source, first = EVERY_SOURCE, b""
        own = []
        self._accepted += 1
        number = self._accepted
        try:
            if self.framed:
                source, first = await _read_source(reader)
            if self._mode(source) == LinkMode.CUT:
                return
            onward = await asyncio.open_connection(
                self.target_address, self.target_port
            )
            own = [writer, onward[1]]
            self._writers_by_source.setdefault(source, []).extend(own)
            await self._pass_on(number, source, first, onward[1])
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(number, source, reader, onward[1]))
                group.create_task(self._pump(number, source, onward[0], writer))
        except (OSError, base.WireError, ExceptionGroup):
            pass
        finally:
            self._forget(source, own)
            writer.transport.abort()
            for item in own:
                item.transport.abort()

    async def _pump(self, number, source, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            await self._pass_on(number, source, data, writer)
        if writer.can_write_eof():
            writer.write_eof()

    async def _pass_on(self, number, source, data, writer):
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        while self._is_silent(number, source):  # noqa: ASYNC110 - test tool
            await asyncio.sleep(POLL_S)
        writer.write(data)
        await writer.drain()

    def _is_silent(self, number, source):
        if number <= self._silent_up_to:
            return True
        return self._mode(source) == LinkMode.SILENT

    def _abort(self, source):
        for writer in self._writers_by_source.pop(source, []):
            writer.transport.abort()

    def _forget(self, source, writers):
        left = self._writers_by_source.get(source, [])
        for writer in writers:
            if writer in left:
                left.remove(writer)


async def _read_source(reader):
    """Return the node id of a hello, and the frame that carried it."""
    payload = await wire.read_frame(reader)
    if payload is None:
        raise base.WireError("the source closed before its hello", "Reconnect")
    hello = wire.decode(payload)
    frame = len(payload).to_bytes(4, "big") + payload
    return getattr(hello, "node_id", EVERY_SOURCE), frame
