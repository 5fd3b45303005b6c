"""A connection reset tells an endpoint at once that its caller has disconnected."""

import asyncio
from unittest import mock

from sequoiagap import base
from sequoiagap.gateway import _attempt_log
from tests import support
from tests.gateway import gateway_case

RESET_TIMEOUT_S = 0.3  # below the half second after which work counts as wasted
REQUEST_END = b"\r\n\r\n"


class RecordingEndpoint(gateway_case.RawEndpoint):
    """Receives requests, sends given pieces and counts how connections end.

    :param list pieces: bytes sent after a request, before the endpoint falls silent.
    """

    def __init__(self, pieces=()):
        super().__init__()
        self.pieces = pieces
        self.arrivals = 0
        self.resets = 0
        self.ends = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(REQUEST_END)
            self.arrivals += 1
            for piece in self.pieces:
                writer.write(piece)
            if await reader.read() == b"":
                self.ends += 1
        except ConnectionResetError:
            self.resets += 1
        finally:
            self.closed.set()
            writer.close()


class CallerDisconnectTest(gateway_case.GatewayCase):
    async def serve_with(self, *pieces):
        """Register one endpoint that sends the pieces and falls silent."""
        self.endpoint = RecordingEndpoint(pieces)
        await self.serve_only(self.endpoint)

    async def disconnect(self, path, after):
        """Send a request and close the connection once ``after()`` is true."""
        host, _, port = self.gateway.url.removeprefix("http://").partition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"GET {path} HTTP/1.1",
            f"Host: {gateway_case.HOST}",
            f"X-Key: {gateway_case.KEY}",
            "X-Request-Id: left",
        )
        writer.write("\r\n".join(head).encode() + REQUEST_END)
        await support.eventually(after)
        writer.close()

    async def expect_reset(self):
        async with asyncio.timeout(RESET_TIMEOUT_S):
            await self.endpoint.closed.wait()
        self.assertEqual((self.endpoint.resets, self.endpoint.ends), (1, 0))

    async def test_before_the_first_byte(self):
        for path in ("/safe/x", "/order/x", "/patient/stream"):
            with self.subTest(path):
                await self.serve_with()
                await self.disconnect(path, lambda: self.endpoint.arrivals)
                await self.expect_reset()

    async def test_closed_connection_is_logged(self):
        await self.serve_with()
        with mock.patch.object(_attempt_log._log, "emit") as emit:
            await self.disconnect("/safe/x", lambda: self.endpoint.arrivals)
            await self.expect_reset()
            await asyncio.sleep(2 * _attempt_log.CLOSE_CHECK_S)
        events = {call.args[0]: call.kwargs for call in emit.call_args_list}
        self.assertIn(base.Event.ATTEMPT_ENDED, events)
        self.assertEqual(events[base.Event.ATTEMPT_ENDED]["outcome"], "unknown")
        self.assertNotIn(base.Event.ATTEMPT_LINGERS, events)

    async def test_in_the_middle_of_a_stream(self):
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: left\r\nX-Signature: s\r\n\r\n"
        )
        await self.serve_with(head, b"id: 1\ndata: 1\n\n")
        await self.disconnect("/patient/stream", lambda: self.endpoint.arrivals)
        await self.expect_reset()

    async def test_at_the_deadline(self):
        await self.serve_with()
        status, _, _ = await self.call("/short/x")
        self.assertEqual(status, 504)
        await self.expect_reset()

    async def test_complete_answer_closes_its_connection_in_order(self):
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            b"X-Request-Id: r1\r\nX-Signature: s\r\n\r\nok"
        )
        await self.serve_with(answer)
        status, _, body = await self.call("/safe/x")
        self.assertEqual((status, body), (200, b"ok"))
        await self.endpoint.closed.wait()
        self.assertEqual(self.endpoint.ends, 1)
        self.assertEqual(self.endpoint.resets, 0)
