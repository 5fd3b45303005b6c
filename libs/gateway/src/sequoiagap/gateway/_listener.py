"""HTTP listener that shuts down without cutting off accepted connections."""

import asyncio
import socket

from aiohttp import web

BACKLOG = 1024  # connections in the accept queue
ACCEPT_TURNS = 3  # event loop turns until an accepted connection has its handler
SHUTDOWN_TIMEOUT_S = 0.5
FLUSH_CHECK_S = 0.02


class HttpListener:
    """Accepts connections at an address for an HTTP server.

    :param aiohttp.web.Server server: serves the connections.
    :param str address: ``host:port``.
    """

    def __init__(self, server, address):
        self.address = address
        self.server = server
        self._runner = web.ServerRunner(
            server, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        self._socket = None
        self._site = None

    async def start(self):
        """Bind the address and start accepting connections."""
        host, _, port = self.address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._socket.setblocking(False)
        await self._runner.setup()
        self._site = web.SockSite(self._runner, self._socket, backlog=BACKLOG)
        await self._site.start()

    async def stop_accepting(self):
        """Stop accepting connections; open ones are served as before.

        A connection that the event loop accepts while its listener closes would get
        neither a handler nor an end. The event loop therefore stops accepting first,
        and connections that arrive until the listener is closed are accepted here.
        """
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        accepted = self._accept_all()
        await self._site.stop()
        for connection in accepted:
            await loop.connect_accepted_socket(self.server, connection)

    def _accept_all(self):
        """Return the connections in the accept queue."""
        accepted = []
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return accepted  # the queue is empty, or no descriptor is free
            connection.setblocking(False)
            accepted.append(connection)

    async def wait_flushed(self, timeout_s):
        """Wait until the kernel has taken all bytes that were written to callers.

        :param float timeout_s: longest wait in seconds.
        """
        for _ in range(int(max(timeout_s, 0.0) / FLUSH_CHECK_S)):
            if not self._has_unsent_bytes():
                return
            await asyncio.sleep(FLUSH_CHECK_S)

    def _has_unsent_bytes(self):
        transports = [protocol.transport for protocol in self.server.connections]
        return any(
            transport.get_write_buffer_size()
            for transport in transports
            if transport is not None
        )

    async def close(self):
        """Close the listener and all connections; busy ones after a short timeout."""
        await self._runner.cleanup()
