"""Answers of the store and of engines that are none, read by the platform's clients."""

import asyncio
import gc
import json
import re
import sys
import tracemalloc

from sequoiagap import base, ranks
from tests import support

sys.path.insert(0, str(support.ROOT / "platform"))

from sequoiagap_site import engine, store  # noqa: E402 - found by the path above

REQUEST_END = b"\r\n\r\n"
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)
STATUS_LINES = (
    "HTTP/1.1 000",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 20 OK",
    "HTTP/2.0 200 OK",
)
DOCUMENT = json.dumps(
    {
        "Running": 1,
        "Waiting": 0,
        "Counts": [1],
        "Map": {"Version": 1, "Experts": [[0]]},
        "Items": [],
    }
).encode()


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "a head": (HEAD, b"X-More: y\r\n" * 4096),
    "a body": (HEAD + b"\r\n", b"[" * 65536),
    "an announced body": (HEAD + b"Content-Length: 99999999\r\n\r\n", b"[" * 65536),
    "a body of chunks": (HEAD + CHUNKED, b"4000\r\n" + b"[" * 0x4000 + b"\r\n"),
    "a chunk extension": (HEAD + CHUNKED + b"1;", b"x" * 65536),
}
NOTHING_TOLD = (None, None, None, ranks.OrderResult.UNKNOWN)
# The targets: what one answer of an engine, one of the store and a list may take.
ENGINE_BYTES = 1024 * 1024
STORE_BYTES = 8 * 1024 * 1024
LIST_BYTES = 16 * 1024 * 1024
BUFFERED_BYTES = 6 * 1024 * 1024  # by the kernel, on both sides
ENTRY = {"Metadata": {"Name": "i-1"}, "Spec": {"Filler": "x" * 1_000_000}}
PAGE = json.dumps({"Items": [ENTRY], "HasMore": True, "AsOf": 1}).encode()


class InvalidAnswersTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.status_line = "HTTP/1.1 200 OK"
        self.page = DOCUMENT
        self.endless = None
        self.sent = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.engine = engine.PlatformEngine()
        self.addAsyncCleanup(self.engine.close)
        self.store = store.PlatformStore(f"http://{self.address}")
        self.addAsyncCleanup(self.store.close)

    async def serve(self, reader, writer):
        """Answer one request with the status line and a valid document."""
        head = await reader.readuntil(REQUEST_END)
        body_bytes = CONTENT_LENGTH.search(head)
        await reader.readexactly(int(body_bytes[1]) if body_bytes else 0)
        if self.endless is not None:
            await self.write_endlessly(writer)
        else:
            lines = [self.status_line, f"Content-Length: {len(self.page)}"]
            lines += ["Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + self.page)
            self.sent += len(self.page)
            await writer.drain()
        writer.close()

    async def write_endlessly(self, writer):
        """Write the beginning, then the piece until the connection closes."""
        beginning, piece = self.endless
        writer.write(beginning)
        try:
            while not writer.is_closing():
                writer.write(piece)
                self.sent += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            return

    async def read_engine(self):
        """Return all that the engine tells, and the result of an order."""
        order = ranks.RankOrder(ranks.OrderKind.RELEASE, 1, step=1)
        return (
            await self.engine.report(self.address),
            await self.engine.counts(self.address),
            await self.engine.held_experts(self.address),
            await self.engine.order(self.address, order),
        )

    async def test_valid_answers_are_read(self):
        *told, result = await self.read_engine()
        self.assertNotIn(None, told)
        self.assertEqual(result, ranks.OrderResult.DONE)
        self.assertEqual((await self.store.read("config")).content, DOCUMENT)

    async def test_invalid_status_is_no_answer_of_an_engine(self):
        # Guards against a status 000 that is taken for an order that was carried out.
        for self.status_line in STATUS_LINES:
            with self.subTest(self.status_line):
                *told, result = await self.read_engine()
                self.assertEqual(told, [None] * 3)
                self.assertEqual(result, ranks.OrderResult.UNKNOWN)

    async def test_invalid_status_is_no_answer_of_the_store(self):
        # Guards against a status 000 whose body is taken for the configuration.
        for self.status_line in STATUS_LINES:
            for topic in ("config", "endpoints"):
                with (
                    self.subTest(self.status_line, topic=topic),
                    self.assertRaises(base.PlatformError),
                ):
                    await self.store.read(topic)

    async def test_endless_answers_are_given_up(self):
        # Guards against an agent or a gateway that one faulty server fills.
        for name, (beginning, piece) in ENDLESS.items():
            with self.subTest(name):
                self.endless, self.sent = (beginning, piece), 0
                self.assertEqual(await self.read_engine(), NOTHING_TOLD)
                self.assertLess(self.sent, 4 * (ENGINE_BYTES + BUFFERED_BYTES))
                self.sent = 0
                with self.assertRaises(base.PlatformError):
                    await self.store.read("config")
                self.assertLess(self.sent, STORE_BYTES + BUFFERED_BYTES)

    async def test_list_without_end_is_given_up(self):
        self.page = PAGE
        with self.assertRaises(base.PlatformError):
            await self.store.read("endpoints")
        self.assertLess(self.sent, LIST_BYTES + 2 * len(PAGE) + BUFFERED_BYTES)

    async def test_many_endless_answers_at_once(self):
        self.endless = ENDLESS["a body"]
        reports = await asyncio.gather(
            *(self.engine.report(self.address) for _ in range(40))
        )
        self.assertEqual(reports, [None] * 40)
        self.assertLess(self.sent, 40 * (ENGINE_BYTES + BUFFERED_BYTES))

    async def test_given_up_answers_are_freed_at_once(self):
        # Guards against an agent that keeps them until a collection of garbage.
        self.endless = ENDLESS["a body"]
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(60):
            await self.engine.report(self.address)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, 10 * ENGINE_BYTES)

    async def test_many_at_once(self):
        self.status_line = "HTTP/1.1 000 OK"
        reports = await asyncio.gather(
            *(self.engine.report(self.address) for _ in range(40))
        )
        self.assertEqual(reports, [None] * 40)
