"""A stream that breaks off never looks complete, nor contains anything else."""

import asyncio

from sequoiagap import routes, standins
from tests import support
from tests.gateway import gateway_case

REQUEST_END = b"\r\n\r\n"
SIGNED = b"X-Signature: s\r\n"
EVENTS = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 6)]
WHOLE = b"".join(EVENTS)


def head(status, *lines, content_type=b"text/event-stream"):
    """Return the head of an answer without a length."""
    line = f"HTTP/1.1 {status} Status\r\n".encode()
    kind = b"Content-Type: " + content_type + b"\r\n"
    return line + SIGNED + kind + b"".join(lines) + b"\r\n"


def framed(status, body, *lines, content_type=b"text/plain"):
    """Return an answer with a length."""
    length = f"Content-Length: {len(body)}\r\n".encode()
    return head(status, length, *lines, content_type=content_type) + body


class ScriptedEndpoint(gateway_case.RawEndpoint):
    """Writes given bytes to the requests in turn, the last ones to all further.

    :param list answers: bytes of each answer.
    :param bool resets: whether the connection is reset after the bytes.
    :ivar int arrivals: number of requests received.
    """

    def __init__(self, *answers, resets=False):
        super().__init__()
        self.answers = list(answers)
        self.resets = resets
        self.arrivals = 0

    async def serve(self, reader, writer):
        await reader.readuntil(REQUEST_END)
        self.arrivals += 1
        answers = self.answers
        writer.write(answers.pop(0) if len(answers) > 1 else answers[0])
        await writer.drain()
        if self.resets:
            await asyncio.sleep(0.05)
            standins.reset_connection(writer)
        writer.close()


class BrokenStreamsTest(gateway_case.GatewayCase):
    async def serve_in_turn(self, first, second):
        """Register two endpoints, of which the first one is chosen first."""
        ports = [await endpoint.start() for endpoint in (first, second)]
        for endpoint in (first, second):
            self.addCleanup(endpoint.server.close)
        ready = routes.EndpointState.READY
        records = {
            f"e{port}": routes.Endpoint(
                f"e{port}", "desk", "127.0.0.1", port, domain, ready, slots=4
            )
            for port, domain in zip(ports, "ab", strict=True)
        }
        self.store.put("endpoints", records)
        known = self.gateway.pool.load_by_id
        await support.eventually(lambda: set(known) == set(records))

    async def read_stream(self):
        """Return the bytes that a caller receives, and whether the body is complete."""
        host, _, port = self.gateway.url.removeprefix("http://").partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = (
            "GET /stream/ HTTP/1.1",
            f"Host: {gateway_case.HOST}",
            f"X-Key: {gateway_case.KEY}",
            "X-Request-Id: r1",
            "Connection: close",
        )
        writer.write("\r\n".join(lines).encode() + REQUEST_END)
        received = b""
        try:
            while data := await reader.read(65536):
                received += data
        except ConnectionError:
            pass
        writer.close()
        return received, received.endswith(b"\r\n0\r\n\r\n")

    async def test_error_of_the_next_endpoint_does_not_enter_a_started_stream(self):
        table = {
            "server error": framed(500, b"broken inside"),
            "unknown route": framed(404, b"broken inside"),
            "refusal": framed(503, b"broken inside", b"X-Not-Run: 1\r\n"),
            "another content": framed(200, b"broken inside"),
            "unsigned": framed(500, b"broken inside").replace(SIGNED, b""),
            "torn head": b"HTTP/1.1 500 broken inside\r\nX-",
            "no answer in the protocol": b"broken inside\n\n",
        }
        for name, answer in table.items():
            with self.subTest(name):
                first = ScriptedEndpoint(head(200) + EVENTS[0] + b"id: 2\nda")
                second = ScriptedEndpoint(answer)
                await self.serve_in_turn(first, second)
                received, is_complete = await self.read_stream()
                self.assertIn(EVENTS[0], received)
                self.assertNotIn(b"broken inside", received)
                self.assertEqual(received.count(b"HTTP/1.1"), 1)
                self.assertFalse(is_complete)
                self.assertEqual(second.arrivals, 1)

    async def test_stream_without_length_or_chunks_ends_with_its_connection(self):
        table = {
            "whole": (head(200) + WHOLE, False, True),
            "inside an event": (head(200) + WHOLE[:-4], False, False),
            "reset": (head(200) + WHOLE, True, False),
        }
        for name, (answer, resets, expected) in table.items():
            with self.subTest(name):
                endpoints = [ScriptedEndpoint(answer, resets=resets) for _ in range(2)]
                await self.serve_in_turn(*endpoints)
                received, is_complete = await self.read_stream()
                self.assertEqual(is_complete, expected)
                if expected:
                    self.assertIn(WHOLE, received)

    async def test_stream_without_length_continues_elsewhere_after_a_break(self):
        first = ScriptedEndpoint(head(200) + EVENTS[0] + b"id: 2\nda")
        second = ScriptedEndpoint(head(200) + b"".join(EVENTS[1:]))
        await self.serve_in_turn(first, second)
        received, is_complete = await self.read_stream()
        self.assertTrue(is_complete)
        for event in EVENTS:
            self.assertEqual(received.count(event), 1)


class RepeatedRefusalTest(gateway_case.GatewayCase):
    async def test_earlier_refusal_written_once_more_does_not_mean_not_run(self):
        earlier = framed(
            503, b"full", b"X-Not-Run: 1\r\n", b"X-Request-Id: earlier\r\n"
        )
        own = framed(200, b"done", b"X-Request-Id: r1\r\n")
        endpoint = ScriptedEndpoint(earlier + own)
        await self.serve_only(endpoint)
        status, _, _ = await self.call("/order-twice/", "POST")
        self.assertEqual((status, endpoint.arrivals), (502, 1))

    async def test_refusal_after_the_answer_reaches_nobody(self):
        refusal = framed(503, b"full", b"X-Not-Run: 1\r\n")
        endpoint = ScriptedEndpoint(framed(200, b"done") + refusal)
        await self.serve_only(endpoint)
        for _ in range(3):
            status, _, body = await self.call("/order-twice/", "POST")
            self.assertEqual((status, body), (200, b"done"))
        self.assertEqual(endpoint.arrivals, 3)
