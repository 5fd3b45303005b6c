"""Bodies of callers reach the endpoint byte by byte as they were sent."""

import gzip
import zlib

import yarl

from tests.gateway import gateway_case

TEXT = b"a commission order " * 200
BODY_BY_ENCODING = {
    "gzip": gzip.compress(TEXT),
    "deflate": zlib.compress(TEXT),
    "br": b"\x8b\x02\x80order\x03",
    "identity": TEXT,
    "gzip, gzip": gzip.compress(gzip.compress(TEXT)),
}


class EncodedBodiesTest(gateway_case.GatewayCase):
    async def send(self, encoding, body):
        """Send an order; return its status and what reached an endpoint."""
        number = next(self.numbers)
        url = yarl.URL(f"{self.gateway.url}/order/{number}", encoded=True)
        headers = {
            "Host": gateway_case.HOST,
            "X-Request-Id": f"r{number}",
            "X-Key": gateway_case.KEY,
            "Content-Encoding": encoding,
        }
        async with self.session.post(url, headers=headers, data=body) as response:
            await response.read()
        seen = [seen for endpoint in self.endpoints for seen in endpoint.seen]
        (arrived,) = [found for found in seen if found[1] == f"/order/{number}"]
        return response.status, arrived[2]["Content-Encoding"], arrived[3]

    async def test_encoded_body_is_forwarded_unchanged(self):
        # Guards against servers that get a body decoded behind their caller's back.
        for encoding, body in BODY_BY_ENCODING.items():
            with self.subTest(encoding):
                self.assertEqual(await self.send(encoding, body), (200, encoding, body))

    async def test_body_that_is_not_in_its_encoding_is_forwarded_unchanged(self):
        for encoding in ("gzip", "deflate"):
            with self.subTest(encoding):
                body = b"not encoded at all"
                self.assertEqual(await self.send(encoding, body), (200, encoding, body))
