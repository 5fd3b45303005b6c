"""Handshake: authentication, and protection against unauthenticated peers.

An unauthenticated peer must neither learn the secret, replay or reflect a proof,
nor keep a connection open.
"""

import asyncio
import time
import unittest

from sequoiagap import base, wire
from sequoiagap.wire import _handshake
from tests import support

SECRET = "the-deployment-secret"
DETECTION_S = 2.0
LONG_FRAME_BYTES = 65536


def hello(node_id, secret=SECRET, **fields):
    """Return a hello of a node."""
    return wire.Hello(node_id, "agent", "inc", secret=secret, **fields)


class HandshakeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        support.silence_logs()
        self.accepted = asyncio.Queue()
        self.server = await wire.listen(self._serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, hello("server"))
        except base.WireError as error:
            await self.accepted.put(error)
            return
        await self.accepted.put(connection)

    async def open(self):
        """Open a TCP connection without a handshake."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def rejection(self):
        """Return the error with which the server rejects the next connection."""
        async with asyncio.timeout(DETECTION_S):
            error = await self.accepted.get()
        self.assertIsInstance(error, base.WireError)
        self.assertRegex(str(error), r"^127\.0\.0\.1:\d+: ")
        return str(error)

    async def test_both_sides_identify_the_peer(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        self.addCleanup(client.close)
        server = await self.accepted.get()
        self.assertEqual(
            (client.peer.node_id, server.peer.node_id), ("server", "client")
        )

    async def test_secret_never_leaves_the_process(self):
        sent = bytearray()

        async def record_bytes(reader, writer):
            while data := await reader.read(4096):
                sent.extend(data)

        server = await asyncio.start_server(record_bytes, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaises(base.WireError):
            await wire.connect("127.0.0.1", port, hello("client"))
        self.assertIn(b"client", bytes(sent))
        self.assertNotIn(SECRET.encode(), bytes(sent))
        self.assertNotIn(SECRET, repr(hello("client")))

    async def test_invalid_first_frames_are_rejected(self):
        fresh = b"n" * _handshake.NONCE_BYTES
        cases = {
            "no hello": (wire.Ping(1), "Ping came before Hello"),
            "other protocol": (hello("c", protocol=99, nonce=fresh), "protocol 99"),
            "no nonce": (hello("c"), "no fresh nonce"),
            "short nonce": (hello("c", nonce=b"n"), "no fresh nonce"),
        }
        for name, (first, expected) in cases.items():
            with self.subTest(name):
                _, writer = await self.open()
                wire.write_frame(writer, wire.encode(first))
                self.assertIn(expected, await self.rejection())

    async def test_wrong_secret_is_rejected_on_both_sides(self):
        with self.assertRaises(base.WireError):
            await wire.connect("127.0.0.1", self.port, hello("client", "another"))
        self.assertIn("wrong proof", await self.rejection())

    async def test_server_without_the_secret_is_rejected(self):
        async def impersonate(reader, writer):
            first = await wire.read_frame(reader)
            answer = hello("server", nonce=b"s" * _handshake.NONCE_BYTES)
            wire.write_frame(writer, wire.encode(answer))
            proof = _handshake.make_proof("guess", b"", first, wire.encode(answer))
            await wire.read_frame(reader)
            wire.write_frame(writer, wire.encode(wire.Proof(proof)))

        server = await asyncio.start_server(impersonate, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaisesRegex(base.WireError, "wrong proof"):
            await wire.connect("127.0.0.1", port, hello("client"))

    async def test_replayed_handshake_is_rejected(self):
        recorded = await self._record_handshake()
        _, writer = await self.open()
        writer.write(recorded)
        self.assertIn("wrong proof", await self.rejection())

    async def _record_handshake(self):
        recorded = bytearray()
        server = await asyncio.start_server(
            lambda r, w: self._relay(r, w, recorded), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = await wire.connect("127.0.0.1", port, hello("client"))
        client.close()
        (await self.accepted.get()).close()
        return bytes(recorded)

    async def _relay(self, reader, writer, recorded):
        upstream_reader, upstream = await self.open()
        back = asyncio.create_task(_copy(upstream_reader, writer, bytearray()))
        await _copy(reader, upstream, recorded)
        back.cancel()

    async def test_reflected_messages_are_rejected(self):
        """An unauthenticated peer returns messages that the process itself sent."""
        cases = {
            "hello and proof": (None, "came back to its sender"),
            "proof alone": (hello("server", nonce=b"s" * 32), "wrong proof"),
        }
        for name, (answer, expected) in cases.items():
            with self.subTest(name):
                await self._check_reflection(answer, expected)

    async def _check_reflection(self, answer, expected):
        async def reflect(reader, writer):
            first = await wire.read_frame(reader)
            wire.write_frame(writer, wire.encode(answer) if answer else first)
            wire.write_frame(writer, await wire.read_frame(reader) or b"")

        server = await asyncio.start_server(reflect, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        with self.assertRaisesRegex(base.WireError, expected):
            await wire.connect("127.0.0.1", port, hello("client"))

    async def test_long_frame_before_authentication_is_rejected(self):
        _, writer = await self.open()
        writer.write(LONG_FRAME_BYTES.to_bytes(4, "big"))
        self.assertIn("over the limit", await self.rejection())

    async def test_slow_handshake_is_aborted_within_two_seconds(self):
        started_at = time.monotonic()
        _, writer = await self.open()
        task = asyncio.create_task(_trickle(writer))
        self.addCleanup(task.cancel)
        self.assertIn("in time", await self.rejection())
        self.assertLess(time.monotonic() - started_at, DETECTION_S)


async def _copy(reader, writer, recorded):
    while data := await reader.read(4096):
        recorded.extend(data)
        writer.write(data)
        await writer.drain()


async def _trickle(writer):
    """Send a frame byte by byte, for longer than the handshake timeout."""
    writer.write((100).to_bytes(4, "big"))
    for _ in range(20):
        writer.write(b"x")
        await asyncio.sleep(0.2)
