"""An attempt reaches the endpoint once, whatever its method."""

from unittest import mock

from sequoiagap import settings, wire
from sequoiagap.agent import _endpoint
from tests import support
from tests.gateway import gateway_case

REQUEST_END = b"\r\n\r\n"


class ClosingEndpoint(gateway_case.RawEndpoint):
    """Receives requests and closes each connection without an answer.

    :ivar int arrivals: number of requests received.
    """

    def __init__(self):
        super().__init__()
        self.arrivals = 0

    async def serve(self, reader, writer):
        await reader.readuntil(REQUEST_END)
        self.arrivals += 1
        writer.close()


class EndpointResendsTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.endpoint = ClosingEndpoint()
        port = await self.endpoint.start()
        self.addCleanup(self.endpoint.server.close)
        loaded = settings.EndpointSettings(
            kind="service", url=f"http://127.0.0.1:{port}", serves=["desk"]
        )
        self.client = _endpoint.EndpointClient(loaded, mock.Mock())
        await self.client.open()
        self.addAsyncCleanup(self.client.close)

    async def test_http_library_sends_no_attempt_again_by_itself(self):
        for method in ("GET", "PUT", "DELETE"):
            for repeatable in (False, True):
                with self.subTest(method, repeatable=repeatable):
                    order = wire.Execute(
                        request_id="r1",
                        attempt_id="a1",
                        account="guild",
                        target="desk",
                        method=method,
                        path="/order",
                        headers={},
                        body=b"",
                        expires_at_ms=0,
                        repeatable=repeatable,
                    )
                    before = self.endpoint.arrivals
                    with self.assertRaises(_endpoint.EndpointError):
                        await self.client.call(order, None, None)
                    self.assertEqual(self.endpoint.arrivals - before, 1)
