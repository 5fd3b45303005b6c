"""Bytes that are no answer and come without end: settled at once, in bounded memory."""

import asyncio
import time
import tracemalloc

from sequoiagap import routes
from tests import support
from tests.gateway import gateway_case

SETTLED_S = 1.0
MEMORY_BYTES = 40 * 1024 * 1024
REQUEST_END = b"\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"X-Request-Id: r1\r\nX-Signature: s\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
CASES = {
    "no line ever ends": (b"", b"x" * 65536),
    "header lines without end": (HEAD, b"X-More: y\r\n" * 4096),
    "interim answers without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "a body without end": (HEAD + SIGNED + b"\r\n", b"x" * 65536),
    "an event without end": (HEAD + SIGNED + STREAM + b"\r\n", b"x" * 65536),
    "comment lines without end": (HEAD + SIGNED + STREAM + b"\r\n", b":\n" * 32768),
}


class EndlessEndpoint:
    """Sends a beginning, and then the same bytes until the caller closes."""

    def __init__(self, beginning, piece):
        self.beginning = beginning
        self.piece = piece
        self.closed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(REQUEST_END)
            writer.write(self.beginning)
            while True:
                writer.write(self.piece)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class EndlessTest(gateway_case.GatewayCase):
    async def serve_with(self, beginning, piece):
        endpoint = EndlessEndpoint(beginning, piece)
        port = await endpoint.start()
        self.addCleanup(endpoint.server.close)
        name = f"e{port}"
        ready = routes.EndpointState.READY
        record = routes.Endpoint(name, "desk", "127.0.0.1", port, "a", ready, slots=4)
        self.store.put("endpoints", {name: record})
        known = self.gateway.pool.load_by_id
        await support.eventually(lambda: set(known) == {name})
        return endpoint

    async def test_each_is_settled_at_once(self):
        for name, (beginning, piece) in CASES.items():
            with self.subTest(name):
                endpoint = await self.serve_with(beginning, piece)
                path = "/stream/" if STREAM in beginning else "/order/x"
                began = time.monotonic()
                tracemalloc.start()
                status, _, _ = await self.call(path)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual(status, 502)
                self.assertLess(time.monotonic() - began, SETTLED_S)
                self.assertLess(peak, MEMORY_BYTES)
                await asyncio.wait_for(endpoint.closed.wait(), SETTLED_S)
