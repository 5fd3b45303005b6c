"""Streams to callers that do not read for a while are whole."""

import asyncio
import re
import socket
from unittest import mock

from sequoiagap.gateway import _dispatch, _front, _host_watch, _loads
from tests import support
from tests.gateway import gateway_case

EVENTS = 120
FILLER = b"x" * 32_000  # so that the buffers of the connection fill
PAUSE_S = 1.4  # of a caller that reads again before it gives up
RECEIVE_BYTES = 16 * 1024
READ_TIMEOUT_S = 10.0
LARGE_BYTES = 12_000_000
REQUEST_END = b"\r\n\r\n"
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class LargeEventsEndpoint(gateway_case.RawEndpoint):
    """Sends large events as fast as they are read, and resumes.

    :ivar int arrivals: number of requests.
    """

    def __init__(self):
        super().__init__()
        self.arrivals = 0

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(REQUEST_END)).lower()
            self.arrivals += 1
            found = re.search(rb"last-event-id: (\d+)", head)
            first = int(found[1]) + 1 if found else 1
            request_id = re.search(rb"x-request-id: (\S+)", head)[1]
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"X-Signature: s\r\nConnection: close\r\nX-Request-Id: "
                + request_id
                + REQUEST_END
            )
            for number in range(first, EVENTS + 1):
                writer.write(b"id: %d\ndata: %s\n\n" % (number, FILLER))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class LargeAnswerEndpoint(gateway_case.RawEndpoint):
    """Answers each request with many bytes."""

    async def serve(self, reader, writer):
        head = (await reader.readuntil(REQUEST_END)).lower()
        request_id = re.search(rb"x-request-id: (\S+)", head)[1]
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: %s\r\n"
            b"Content-Length: %d\r\n\r\n" % (request_id, LARGE_BYTES)
        )
        writer.write(b"s" * LARGE_BYTES)
        await writer.drain()
        writer.close()


class SlowCallersTest(gateway_case.GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.endpoint = LargeEventsEndpoint()
        await self.serve_only(self.endpoint)

    async def read_stream(self):
        """Request a stream, pause, then read it all; return the ids of its events."""
        reader, writer = await self.connect("/patient/x")
        await asyncio.sleep(PAUSE_S)
        async with asyncio.timeout(READ_TIMEOUT_S):
            data = await reader.read(-1)
        writer.close()
        self.assertTrue(data.endswith(b"0\r\n\r\n"), "the stream did not end")
        return [int(number) for number in EVENT_ID.findall(data)]

    async def connect(self, path):
        """Send a request over a connection with small buffers; return its streams."""
        host, port = self.gateway.url.removeprefix("http://").split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
        lines = [f"POST {path} HTTP/1.1", f"Host: {gateway_case.HOST}"]
        lines += [f"X-Key: {gateway_case.KEY}", "X-Request-Id: r1", "Connection: close"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return reader, writer

    async def test_caller_that_never_reads_keeps_no_memory(self):
        await self.serve_only(LargeAnswerEndpoint())
        memory = self.gateway.dispatcher.answer_memory
        with mock.patch.object(_front, "BLOCK_TIMEOUT_S", 0.3):
            reader, writer = await self.connect("/safe/x")
            await support.eventually(lambda: memory.used_ == LARGE_BYTES)
            await support.eventually(lambda: memory.used_ == 0)
        writer.close()

    async def assert_whole(self):
        self.assertEqual(await self.read_stream(), list(range(1, EVENTS + 1)))

    async def test_pause_is_not_taken_for_a_silent_host(self):
        # Guards against a stream that is moved because its caller does not read.
        with mock.patch.object(_loads.EndpointLoad, "is_silent", return_value=True):
            await self.assert_whole()
        self.assertEqual(self.endpoint.arrivals, 1)

    async def test_pause_is_not_taken_for_a_silent_endpoint(self):
        with mock.patch.object(_dispatch, "STREAM_SILENCE_S", PAUSE_S / 2):
            await self.assert_whole()
        self.assertEqual(self.endpoint.arrivals, 1)

    async def test_stream_that_is_moved_while_its_caller_pauses_is_whole(self):
        # Guards against an event that comes twice, as it was written but not counted.
        moved = []

        def is_stuck(attempt, load):
            moved.append(attempt)
            return len(moved) == 3  # within the pause

        with mock.patch.object(_host_watch, "_is_stuck", is_stuck):
            await self.assert_whole()
        self.assertEqual(self.endpoint.arrivals, 2)
