"""Callers that take nothing, whose host has died, or that read slowly."""

import asyncio
import dataclasses
import json
import pathlib
import socket

from tests import support
from tests.entry import callers

STEP_S = 0.02
PAD = 16384
LITTLE = 300
MANY = 1000  # 20 s of tokens
FOUND_S = 2.0
FEW_BYTES = 2048
BODY_BYTES = 1_000_000
SLOW_READ_S = 0.3
LONG_S = 30.0  # the slow reader needs 10 s


class RawCaller:
    """A caller with a small receive buffer that reads when it is told to."""

    def __init__(self, fleet):
        self.port = fleet.process_by_name["entry-0"].ready_["http_port"]
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.text = b""

    async def ask(self, path="/v1/chat/completions", **body):
        """Connect and send one request."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, ("127.0.0.1", self.port))
        data = json.dumps({"model": "desk-model", "messages": []} | body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer caller-key\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        await loop.sock_sendall(self.sock, head.encode() + data)

    async def read(self):
        """Read a few bytes; return how many came."""
        data = await asyncio.get_running_loop().sock_recv(self.sock, FEW_BYTES)
        self.text += data
        return len(data)

    def is_held(self):
        """Return whether the entry still holds the connection open."""
        ends = f":{self.port:04X} 0100007F:{self.sock.getsockname()[1]:04X} "
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        return any(ends in row and row.split()[9] != "0" for row in rows)

    def stop_reading(self):
        """Take nothing any more, as a frozen process does."""

    def die(self):
        """Let the system acknowledge nothing any more, as a dead host does."""
        callers.drop_all(self.sock)


class CallersTest(support.FleetCase):
    plan = dataclasses.replace(
        callers.ONE_DOMAIN, entries=1, engine={"step_s": STEP_S, "cold_s": 0.0}
    )

    def caller(self):
        caller = RawCaller(self.fleet)
        self.addCleanup(caller.sock.close)
        return caller

    async def test_silent_caller_gives_its_slot_back(self):
        stream = {"stream": True, "pad": PAD, "max_tokens": MANY}
        whole = {"max_tokens": MANY}
        for name, body, is_dead in (
            ("takes no bytes", stream, False),
            ("host dies in a stream", stream, True),
            ("host dies before the first byte", whole, True),
        ):
            with self.subTest(name):
                caller = self.caller()
                await caller.ask(**body)
                if body is stream:
                    await caller.read()
                await self.fleet.wait_until(self._is_running, support.FEW_SECONDS_S)
                caller.die() if is_dead else caller.stop_reading()
                other = await callers.stream(self.fleet, 4)
                self.assertEqual(len(other.words), 4, other.text)
                self.assertLess(other.seconds, FOUND_S)
                await self.fleet.wait_until(self._is_free, support.FEW_SECONDS_S)

    async def test_rest_of_a_whole_answer_is_not_held_for_ever(self):
        caller = self.caller()
        await caller.ask("/services/orders/file", pad="x" * BODY_BYTES)

        async def is_done(expected):
            return caller.is_held() == expected

        await self.fleet.wait_until(lambda: is_done(True), support.FEW_SECONDS_S)
        await self.fleet.wait_until(lambda: is_done(False), support.FEW_SECONDS_S)

    async def test_slow_reader_keeps_its_stream(self):
        caller = self.caller()
        await caller.ask(stream=True, pad=LITTLE, max_tokens=200)  # 4 s
        async with asyncio.timeout(LONG_S):
            while b"0\r\n\r\n" not in caller.text:
                self.assertTrue(await caller.read(), "the stream ended early")
                await asyncio.sleep(SLOW_READ_S)
        self.assertIn(b"[DONE]", caller.text)
        self.assertNotIn(b"event: error", caller.text)
        self.assertGreater(len(caller.text), 200 * LITTLE)

    async def _is_running(self):
        return await callers.in_flight(self.fleet, callers.MODEL) == 1

    async def _is_free(self):
        return await callers.in_flight(self.fleet, callers.MODEL) == 0
