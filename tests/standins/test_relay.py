"""Tests that the relays cut, silence, duplicate and reorder as configured."""

import asyncio
import unittest

from sequoiagap import experts, standins, wire

ANSWER_TIMEOUT_S = 0.3


async def _echo(reader, writer):
    while data := await reader.read(1024):
        writer.write(data)
    writer.close()


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.relay = standins.Relay(port, framed=True)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)

    async def connect(self, source):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.relay.port_)
        self.addCleanup(writer.close)
        hello = wire.Hello(source, "entry", "inc-1")
        wire.write_frame(writer, wire.encode(hello))
        return reader, writer

    async def is_answered(self, reader):
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return bool(await reader.read(1024))
        except (TimeoutError, OSError):
            return False

    async def test_modes_act_on_the_named_source(self):
        for mode in (standins.LinkMode.CUT, standins.LinkMode.SILENT):
            with self.subTest(mode):
                self.relay.set_mode(mode, "entry-a")
                cut, _ = await self.connect("entry-a")
                other, _ = await self.connect("entry-b")
                self.assertFalse(await self.is_answered(cut))
                self.assertTrue(await self.is_answered(other))
                self.relay.heal()
                healed, _ = await self.connect("entry-a")
                self.assertTrue(await self.is_answered(healed))

    async def test_cut_ends_open_connections(self):
        reader, _ = await self.connect("entry-a")
        self.assertTrue(await self.is_answered(reader))
        self.relay.set_mode(standins.LinkMode.CUT)
        self.assertFalse(await self.is_answered(reader))

    async def test_open_connections_are_silenced_while_new_ones_pass(self):
        reader, writer = await self.connect("entry-a")
        self.assertTrue(await self.is_answered(reader))
        self.relay.silence_open()
        writer.write(b"more")
        self.assertFalse(await self.is_answered(reader))
        fresh, _ = await self.connect("entry-a")
        self.assertTrue(await self.is_answered(fresh))


class FrameRelayTest(RelayTest):
    """Runs the relay tests with FrameRelay, and checks how it disturbs frames."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.relay = standins.FrameRelay(self.relay.target_port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)

    async def test_frames_between_ranks_are_duplicated_and_reordered(self):
        self.relay.disturb(copies=2, spread_s=0.05)
        reader, writer = await self.connect("rank-1")
        hello = wire.decode(await wire.read_frame(reader))
        self.assertIsInstance(hello, wire.Hello)
        joins = [experts.Join("g", rank, "inc") for rank in range(20)]
        for join in joins:
            wire.write_frame(writer, wire.encode(join))
        writer.write_eof()
        # Each join reaches the echo server twice, and each of these returns twice.
        got = [wire.decode(await wire.read_frame(reader)).rank for _ in range(80)]
        self.assertEqual(sorted(got), sorted([j.rank for j in joins] * 4))
        self.assertNotEqual(got, sorted(got))
        self.assertGreater(self.relay.reordered_, 0)
