"""Replies reach their own requests, also if they are late, reordered or repeated."""

import asyncio
import dataclasses
import unittest

from sequoiagap import base, wire


@dataclasses.dataclass
class Numbered:
    number: int = 0


class Connection:
    """Records sent messages; raises an error once it is closed."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    async def send(self, item):
        if self.is_closed:
            raise base.WireError("closed", "Connect again")
        self.sent.append(item)


class PendingRequestsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.requests = wire.PendingRequests()
        self.connection = Connection()

    async def send_requests(self, number):
        """Send requests and return their tasks once all are sent."""
        tasks = [
            asyncio.create_task(self.requests.request(self.connection, Numbered()))
            for _ in range(number)
        ]
        await asyncio.sleep(0)
        return tasks

    async def test_reordered_replies_reach_their_requests(self):
        tasks = await self.send_requests(3)
        for item in reversed(self.connection.sent):
            self.requests.resolve(Numbered(item.number))
        replies = await asyncio.gather(*tasks)
        sent = [item.number for item in self.connection.sent]
        self.assertEqual([reply.number for reply in replies], sent)
        self.assertEqual(len(set(sent)), 3)

    async def test_late_and_duplicate_replies_are_ignored(self):
        (task,) = await self.send_requests(1)
        task.cancel()
        await asyncio.wait([task])
        self.requests.resolve(Numbered(1))
        (next_task,) = await self.send_requests(1)
        self.requests.resolve(Numbered(1))
        self.assertFalse(next_task.done())
        self.requests.resolve(Numbered(2))
        self.requests.resolve(Numbered(2))
        self.assertEqual((await next_task).number, 2)

    async def test_lost_connection_completes_the_requests(self):
        tasks = await self.send_requests(2)
        self.requests.cancel_all()
        self.assertEqual(await asyncio.gather(*tasks), [None, None])
        self.connection.is_closed = True
        with self.assertRaises(base.WireError):
            await self.requests.request(self.connection, Numbered())
