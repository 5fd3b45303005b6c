"""Endless bytes that form no answer are rejected at once and in bounded memory."""

import asyncio
import time
import tracemalloc

from tests.gateway import gateway_case

REJECT_TIMEOUT_S = 1.0
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


class EndlessEndpoint(gateway_case.RawEndpoint):
    """Sends a beginning, then repeats a piece until the connection closes."""

    def __init__(self, beginning, piece):
        super().__init__()
        self.beginning = beginning
        self.piece = piece

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


class UnboundedAnswersTest(gateway_case.GatewayCase):
    async def test_each_is_rejected_at_once(self):
        for name, (beginning, piece) in CASES.items():
            with self.subTest(name):
                endpoint = EndlessEndpoint(beginning, piece)
                await self.serve_only(endpoint)
                path = "/stream/" if STREAM in beginning else "/order/x"
                began = time.monotonic()
                tracemalloc.start()
                status, _, _ = await self.call(path)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertEqual(status, 502)
                self.assertLess(time.monotonic() - began, REJECT_TIMEOUT_S)
                self.assertLess(peak, MEMORY_BYTES)
                await asyncio.wait_for(endpoint.closed.wait(), REJECT_TIMEOUT_S)
