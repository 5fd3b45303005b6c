"""Heartbeats of connections, detection of silent peers, and rejected frames."""

import asyncio
import time
import unittest

from sequoiagap import base, wire
from tests import support

DETECTION_S = 2.0
IDLE_INTERVAL_S = 0.8
PAUSE_S = 1.8  # above the timeout of a heartbeat


def hello(node_id):
    """Return a hello of a node."""
    return wire.Hello(node_id, "agent", "inc", secret="the-deployment-secret")


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        support.silence_logs()
        self.accepted = asyncio.Queue()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addAsyncCleanup(self._close)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _close(self):
        self.server.close()

    async def _serve(self, reader, writer):
        try:
            connection = await wire.accept(reader, writer, hello("server"))
        except base.WireError as error:
            await self.accepted.put(error)
            return
        await self.accepted.put(connection)

    async def test_messages_are_delivered(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        server = await self.accepted.get()
        received = asyncio.Queue()
        task = asyncio.create_task(server.run(received.put))
        await client.send(wire.Cancel("att-1", 5))
        self.assertEqual(await received.get(), wire.Cancel("att-1", 5))
        await client.close_gracefully("test ends")
        self.assertEqual(await task, "peer said goodbye: test ends")

    async def test_silent_peer_is_detected_within_two_seconds(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        await self.accepted.get()  # the server never reads: the peer is silent
        client.mark_busy(True)
        started_at = time.monotonic()
        reason = await client.run(_ignore)
        self.assertIn("heartbeat", reason)
        self.assertLess(time.monotonic() - started_at, DETECTION_S + 0.3)

    async def test_idle_connections_send_few_heartbeats_and_on_request(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        server = await self.accepted.get()
        client.idle_interval_s = IDLE_INTERVAL_S
        tasks = [asyncio.create_task(c.run(_ignore)) for c in (client, server)]
        await asyncio.sleep(3.5 * IDLE_INTERVAL_S)
        self.assertIn(client.messages_sent_, (2, 3))
        before = client.messages_sent_, client.heard_at_
        client.probe()
        await asyncio.sleep(IDLE_INTERVAL_S / 4)
        self.assertEqual(client.messages_sent_, before[0] + 1)
        self.assertGreater(client.heard_at_, before[1])
        client.close()
        await asyncio.gather(*tasks)

    async def test_idle_connection_sends_few_heartbeats(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        server = await self.accepted.get()
        client.idle_interval_s = 0.1  # the first heartbeat is sent soon, then none
        answering = asyncio.create_task(server.run(_ignore))
        probing = asyncio.create_task(client.run(_ignore))
        await asyncio.sleep(0.25)
        client.idle_interval_s = 5.0
        before = client.messages_sent_
        await asyncio.sleep(DETECTION_S)
        self.assertLessEqual(client.messages_sent_ - before, 1)
        client.close()
        await asyncio.gather(probing, answering)

    async def test_pause_of_this_process_does_not_make_the_peer_silent(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        server = await self.accepted.get()
        client.mark_busy(True)
        probing = asyncio.create_task(client.run(_ignore))
        await support.eventually(lambda: client.unanswered_s(time.monotonic()) > 0)
        time.sleep(PAUSE_S)  # noqa: ASYNC251 - this process hangs
        answering = asyncio.create_task(server.run(_ignore))
        await asyncio.sleep(0.5)
        self.assertFalse(client.silent_)
        client.close()
        await asyncio.gather(probing, answering)

    async def test_silent_peer_is_detected_after_a_pause_of_this_process(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        await self.accepted.get()
        client.mark_busy(True)
        probing = asyncio.create_task(client.run(_ignore))
        await support.eventually(lambda: client.unanswered_s(time.monotonic()) > 0)
        time.sleep(PAUSE_S)  # noqa: ASYNC251 - this process hangs
        started_at = time.monotonic()
        self.assertIn("heartbeat", await probing)
        self.assertLess(time.monotonic() - started_at, DETECTION_S + 0.3)

    async def test_long_frame_ends_the_connection(self):
        client = await wire.connect("127.0.0.1", self.port, hello("client"))
        server = await self.accepted.get()
        client.writer.write(b"\xff\xff\xff\xff")
        self.assertIn("over the limit", await server.run(_ignore))
        client.close()


async def _ignore(item):
    pass
