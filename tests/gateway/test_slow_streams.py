"""Slow streams with progress continue; stalled streams that still send bytes end."""

import asyncio
from unittest import mock

from sequoiagap.gateway import _dispatch
from tests.gateway import gateway_case

SILENCE_S = 0.5  # replaces the default timeout
REQUEST_END = b"\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Request-Id: r1\r\nX-Signature: s\r\nConnection: close\r\n\r\n"
)
TRICKLES = {
    "comment lines": b":\n\n",
    "events of comments alone": b": still there\nretry: 5\n\n",
    "parts of an event": b"data: x\n",
    "events that were sent before": b"id: 1\ndata: 1\n\n",
}


class SlowEndpoint(gateway_case.RawEndpoint):
    """Sends a head, then pieces at intervals, repeating the last one if endless."""

    def __init__(self, pieces, interval_s, is_endless=False):
        super().__init__()
        self.pieces = pieces
        self.interval_s = interval_s
        self.is_endless = is_endless

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(REQUEST_END)
            writer.write(HEAD)
            for piece in self.pieces:
                writer.write(piece)
                await asyncio.sleep(self.interval_s)
            while self.is_endless and not reader.at_eof():
                writer.write(self.pieces[-1])
                await writer.drain()
                await asyncio.sleep(self.interval_s)
        except ConnectionError:
            pass
        finally:
            self.closed.set()
            writer.close()


@mock.patch.object(_dispatch, "STREAM_SILENCE_S", SILENCE_S)
class SlowStreamsTest(gateway_case.GatewayCase):
    async def test_bytes_without_progress_do_not_keep_a_stream_alive(self):
        for name, trickle in TRICKLES.items():
            with self.subTest(name):
                pieces = [b"id: 1\ndata: 1\n\n", trickle]
                endpoint = SlowEndpoint(pieces, SILENCE_S / 5, is_endless=True)
                await self.serve_only(endpoint)
                calling = asyncio.create_task(
                    self.call("/patient/x", X_Request_Id="r1")
                )
                try:
                    async with asyncio.timeout(3 * SILENCE_S):
                        await endpoint.closed.wait()
                finally:
                    calling.cancel()

    async def test_slow_stream_with_progress_is_not_cut(self):
        pieces = [b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 7)]
        await self.serve_only(SlowEndpoint(pieces, SILENCE_S * 0.6))
        status, _, body = await self.call("/patient/x", X_Request_Id="r1")
        self.assertEqual((status, body), (200, b"".join(pieces)))
