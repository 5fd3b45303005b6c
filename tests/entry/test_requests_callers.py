"""Callers that stop reading, whose host fails, or that read slowly."""

import asyncio
import dataclasses
import json
import pathlib
import socket

from tests import support
from tests.entry import callers

STEP_S = 0.02
LARGE_PAD_BYTES = 16384
SMALL_PAD_BYTES = 300
MANY_TOKENS = 1000  # 20 s of tokens
DETECTION_S = 2.0
READ_BYTES = 2048
BODY_BYTES = 1_000_000
READ_INTERVAL_S = 0.3
SLOW_READER_TIMEOUT_S = 30.0  # the slow reader needs 10 s


class RawCaller:
    """A caller with a small receive buffer that reads only on request."""

    def __init__(self, fleet):
        self.port = fleet.process_by_name["entry-0"].ready_["http_port"]
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.setblocking(False)
        self.text = b""

    async def send_request(self, path="/v1/chat/completions", **body):
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
        """Read a few bytes and return their number."""
        data = await asyncio.get_running_loop().sock_recv(self.sock, READ_BYTES)
        self.text += data
        return len(data)

    def is_connection_open(self):
        """Return whether the entry's end of the connection still exists."""
        addresses = f":{self.port:04X} 0100007F:{self.sock.getsockname()[1]:04X} "
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        return any(addresses in row and row.split()[9] != "0" for row in rows)

    def stop_reading(self):
        """Stop reading, as a suspended process does."""

    def drop_packets(self):
        """Stop acknowledging packets, as after a host failure."""
        callers.drop_packets(self.sock)


class UnresponsiveCallersTest(support.FleetCase):
    plan = dataclasses.replace(
        callers.ONE_DOMAIN_PLAN, entries=1, engine={"step_s": STEP_S, "cold_s": 0.0}
    )

    def open_caller(self):
        caller = RawCaller(self.fleet)
        self.addCleanup(caller.sock.close)
        return caller

    async def test_slot_of_unresponsive_caller_is_released(self):
        stream = {"stream": True, "pad": LARGE_PAD_BYTES, "max_tokens": MANY_TOKENS}
        complete = {"max_tokens": MANY_TOKENS}
        for name, body, is_host_failed in (
            ("takes no bytes", stream, False),
            ("host dies in a stream", stream, True),
            ("host dies before the first byte", complete, True),
        ):
            with self.subTest(name):
                caller = self.open_caller()
                await caller.send_request(**body)
                if body is stream:
                    await caller.read()
                await self.fleet.wait_until(self._is_running, support.FEW_SECONDS_S)
                caller.drop_packets() if is_host_failed else caller.stop_reading()
                other = await callers.post_stream(self.fleet, 4)
                self.assertEqual(len(other.tokens), 4, other.text)
                self.assertLess(other.seconds, DETECTION_S)
                await self.fleet.wait_until(self._is_free, support.FEW_SECONDS_S)

    async def test_unread_complete_answer_is_dropped_after_a_timeout(self):
        caller = self.open_caller()
        await caller.send_request("/services/orders/file", pad="x" * BODY_BYTES)

        async def has_state(expected):
            return caller.is_connection_open() == expected

        await self.fleet.wait_until(lambda: has_state(True), support.FEW_SECONDS_S)
        await self.fleet.wait_until(lambda: has_state(False), support.FEW_SECONDS_S)

    async def test_slow_reader_receives_complete_stream(self):
        caller = self.open_caller()
        # 4 s of tokens
        await caller.send_request(stream=True, pad=SMALL_PAD_BYTES, max_tokens=200)
        async with asyncio.timeout(SLOW_READER_TIMEOUT_S):
            while b"0\r\n\r\n" not in caller.text:
                self.assertTrue(await caller.read(), "the stream ended early")
                await asyncio.sleep(READ_INTERVAL_S)
        self.assertIn(b"[DONE]", caller.text)
        self.assertNotIn(b"event: error", caller.text)
        self.assertGreater(len(caller.text), 200 * SMALL_PAD_BYTES)

    async def _is_running(self):
        return await callers.in_flight(self.fleet, callers.ENGINE) == 1

    async def _is_free(self):
        return await callers.in_flight(self.fleet, callers.ENGINE) == 0
