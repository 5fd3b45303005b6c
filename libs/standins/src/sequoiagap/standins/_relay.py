"""A relay between two processes, whose connections can be cut or go silent."""

import asyncio

READ_BYTES = 65536


class Relay:
    """Passes bytes on between callers and one target.

    :param str host: IP address of the target.
    :param int port: TCP port of the target.

    :ivar int port_: own TCP port, once started.
    """

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.port_ = 0
        self._server = None
        self._refusing = False
        self._pairs = set()

    async def start(self):
        """Listen on the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port_ = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and cut every connection."""
        self._server.close()
        self.cut()

    @property
    def connections(self):
        """How many connections are open."""
        return len(self._pairs)

    def silence(self):
        """Pass nothing more on over the open connections; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    def cut(self):
        """Cut the open connections; new ones work."""
        for pair in self._pairs:
            pair.abort()

    def refuse(self, refusing):
        """Cut each new connection at once, or stop doing so.

        :param bool refusing: whether to.
        """
        self._refusing = refusing

    async def _serve(self, reader, writer):
        if self._refusing:
            writer.transport.abort()
            return
        try:
            far = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((reader, writer), far)
        self._pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.silent = False

    def abort(self):
        self.near[1].transport.abort()
        self.far[1].transport.abort()

    async def run(self):
        ways = [
            asyncio.create_task(self._pass_on(self.near[0], self.far[1])),
            asyncio.create_task(self._pass_on(self.far[0], self.near[1])),
        ]
        try:
            await asyncio.gather(*ways, return_exceptions=True)
        finally:
            self.abort()

    async def _pass_on(self, reader, writer):
        while True:
            data = await reader.read(READ_BYTES)
            if not data and not self.silent:
                writer.write_eof()
            if not data:
                return
            if not self.silent:
                writer.write(data)
                await writer.drain()
