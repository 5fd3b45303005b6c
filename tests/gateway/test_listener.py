"""A listener waits until the kernel has the bytes of all answers."""

import asyncio
import socket
import time

from aiohttp import web

from sequoiagap.gateway import _listener
from tests import support

BODY = b"s" * 8_000_000
READ_BYTES = 64 * 1024
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class ListenerTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.handled = asyncio.Event()
        port = support.free_port()
        server = web.Server(self.answer, access_log=None)
        self.listener = _listener.HttpListener(server, f"127.0.0.1:{port}")
        await self.listener.start()
        self.addAsyncCleanup(self.listener.close)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        opened = await asyncio.open_connection(sock=sock, limit=READ_BYTES)
        self.reader, self.writer = opened
        self.addCleanup(self.writer.close)
        self.writer.write(REQUEST)
        await self.handled.wait()
        await asyncio.sleep(0.05)

    async def answer(self, request):
        """Hand a large answer to the HTTP library."""
        self.handled.set()
        return web.Response(body=BODY)

    async def read_all(self):
        """Read the answer; return the length of its body."""
        await self.reader.readuntil(b"\r\n\r\n")
        return len(await self.reader.read(-1))

    async def test_waits_until_a_slow_caller_has_read(self):
        # Guards against a process that ends with parts of answers in its memory.
        waiting = asyncio.create_task(self.listener.wait_flushed(5.0))
        await asyncio.sleep(0.2)
        self.assertFalse(waiting.done())
        self.assertEqual(await self.read_all(), len(BODY))
        await asyncio.wait_for(waiting, 1.0)

    async def test_waits_no_longer_than_allowed(self):
        began = time.monotonic()
        await self.listener.wait_flushed(0.3)
        self.assertLess(time.monotonic() - began, 1.0)
        await self.listener.wait_flushed(-1.0)
