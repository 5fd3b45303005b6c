"""Endless bytes that form no answer are rejected at once and in bounded memory."""

import asyncio
import contextlib
import gc
import itertools
import os
import pathlib
import time
import tracemalloc

from sequoiagap import routes
from tests import support
from tests.gateway import endless_server, gateway_case

REJECT_TIMEOUT_S = 1.0
MEMORY_BYTES = 40 * 1024 * 1024
# The smallest machines for callers have 300 MB, a gateway at rest takes under 100.
GROWTH_BYTES = 200 * 1024 * 1024
SAMPLE_S = 0.005
AT_ONCE = 40
LARGE_BYTES = 12_000_000
REQUEST_END = b"\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = b"X-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"
CASES = {
    "no line ever ends": (b"", b"x" * 65536),
    "header lines without end": (HEAD, b"X-More: y\r\n" * 4096),
    "many long header fields": (HEAD, b"X-More: " + b"y" * 30_000 + b"\r\n"),
    "interim answers without end": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "a body without end": (HEAD + SIGNED + b"\r\n", b"x" * 65536),
    "a failure without end": (
        b"HTTP/1.1 500 Failed\r\n" + SIGNED + b"\r\n",
        b"x" * 65536,
    ),
    "a chunk extension without end": (HEAD + SIGNED + CHUNKED + b"1;", b"x" * 65536),
    "a chunk size without end": (HEAD + SIGNED + CHUNKED, b"0" * 65536),
    "trailers without end": (
        HEAD + SIGNED + CHUNKED + b"1\r\nx\r\n0\r\n",
        b"X-More: y\r\n" * 4096,
    ),
    "an event without end": (HEAD + SIGNED + STREAM + b"\r\n", b"x" * 65536),
    "comment lines without end": (HEAD + SIGNED + STREAM + b"\r\n", b":\n" * 32768),
}

# Sound so far at any moment, so it ends with the time that the request has.
SLOW_CASES = {"a body of tiny chunks": (HEAD + SIGNED + CHUNKED, b"1\r\nx\r\n" * 8192)}


class EndlessEndpoint(gateway_case.RawEndpoint):
    """Sends a beginning, then repeats a piece until the connection closes."""

    def __init__(self, beginning, piece):
        super().__init__()
        self.beginning = beginning
        self.piece = piece
        self.arrivals = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(REQUEST_END)
            self.arrivals += 1
            writer.write(self.beginning)
            while True:
                writer.write(self.piece)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class LargeEndpoint(gateway_case.RawEndpoint):
    """Sends large sound answers, with and without a length by turns."""

    def __init__(self):
        super().__init__()
        self.numbers = itertools.count()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(REQUEST_END)
            request_id = head.lower().partition(b"x-request-id:")[2].split()[0]
            writer.write(HEAD + b"X-Signature: s\r\nX-Request-Id: " + request_id)
            if next(self.numbers) % 2:
                writer.write(b"\r\nContent-Length: %d" % LARGE_BYTES)
            writer.write(REQUEST_END)
            for _ in range(LARGE_BYTES // 60_000):
                writer.write(b"s" * 60_000)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            self.closed.set()
        finally:
            writer.close()


class BrokenEndpoint(gateway_case.RawEndpoint):
    """Announces a large answer and sends most of it."""

    async def serve(self, reader, writer):
        await reader.readuntil(REQUEST_END)
        writer.write(HEAD + SIGNED + b"Content-Length: %d\r\n\r\n" % LARGE_BYTES)
        writer.write(b"s" * (LARGE_BYTES - 1))
        await writer.drain()
        writer.close()


def resident_bytes():
    """Return the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


@contextlib.asynccontextmanager
async def measured_growth(before):
    """Yield a list that gets the growth of the process's memory, in bytes."""
    growth = [0]

    async def sample():
        while True:
            growth[0] = max(growth[0], resident_bytes() - before)
            await asyncio.sleep(SAMPLE_S)

    task = asyncio.create_task(sample())
    try:
        yield growth
    finally:
        task.cancel()


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

    async def test_many_at_once_in_bounded_memory(self):
        # Guards against a gateway that one faulty endpoint fills with forty answers.
        before = resident_bytes()  # freed memory may stay resident, so for all cases
        for name, (beginning, piece) in (CASES | SLOW_CASES).items():
            with self.subTest(name):
                server = endless_server.EndlessServer(beginning, piece)
                await server.start()
                self.addAsyncCleanup(server.stop)
                await self.publish_only(endless=server.port)
                path = "/stream/" if STREAM in beginning else "/order/x"
                async with measured_growth(before) as growth:
                    answers = await asyncio.gather(
                        *(self.call(path) for _ in range(AT_ONCE))
                    )
                expected = 504 if name in SLOW_CASES else 502
                self.assertEqual({status for status, _, _ in answers}, {expected})
                self.assertLess(growth[0], GROWTH_BYTES)
                self.assertEqual(self.gateway.dispatcher.answer_memory.used_, 0)

    async def test_large_sound_answers_beside_endless_ones_are_whole(self):
        beginning, piece = CASES["a body without end"]
        server = endless_server.EndlessServer(beginning, piece)
        await server.start()
        self.addAsyncCleanup(server.stop)
        large = LargeEndpoint()
        port = await large.start()
        self.addCleanup(large.server.close)
        await self.publish_only(endless=server.port, large=port)
        async with measured_growth(resident_bytes()) as growth:
            answers = [
                answer
                for _ in range(3)
                for answer in await asyncio.gather(
                    *(self.call("/safe/x") for _ in range(4))
                )
            ]
        whole = [body for status, _, body in answers if status == 200]
        self.assertGreaterEqual(len(whole), 8)
        self.assertEqual({len(body) for body in whole}, {LARGE_BYTES})
        self.assertLess(growth[0], 2 * GROWTH_BYTES)  # the callers keep all answers
        self.assertEqual(self.gateway.dispatcher.answer_memory.used_, 0)

    async def test_requests_that_follow_go_to_sound_endpoints(self):
        endless = EndlessEndpoint(*CASES["a body without end"])
        port = await endless.start()
        self.addCleanup(endless.server.close)
        await self.publish_only(endless=port, sound=self.endpoints[0].port)
        self.endpoints[0].endpoint_id = f"sound-{self.endpoints[0].port}"
        while not endless.arrivals:
            await self.call("/safe/x")
        met = endless.arrivals
        answers = await asyncio.gather(*(self.call("/safe/x") for _ in range(AT_ONCE)))
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(endless.arrivals, met)

    async def test_broken_answers_are_freed_at_once(self):
        # Guards against a gateway that keeps them until a collection of garbage.
        endpoint = BrokenEndpoint()
        await self.serve_only(endpoint)
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(20):
            self.assertEqual((await self.call("/order/x"))[0], 502)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, LARGE_BYTES)

    async def publish_only(self, **port_by_id):
        """Register only endpoints at these ports; wait for the gateway to see them."""
        ready = routes.EndpointState.READY
        records = {
            f"{name}-{port}": routes.Endpoint(
                f"{name}-{port}", "desk", "127.0.0.1", port, "a", ready, slots=4
            )
            for name, port in port_by_id.items()
        }
        self.store.put("endpoints", records)
        known = self.gateway.pool.load_by_id
        await support.eventually(lambda: set(known) == set(records))
