"""Each question gets its own answer, however late or often answers come."""

import asyncio
import dataclasses
import unittest

from sequoiagap import base, wire


@dataclasses.dataclass
class Numbered:
    number: int = 0


class Connection:
    """Keeps what is sent, or is closed."""

    def __init__(self):
        self.sent = []
        self.is_closed = False

    async def send(self, item):
        if self.is_closed:
            raise base.WireError("closed", "Connect again")
        self.sent.append(item)


class QuestionsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.questions = wire.PendingRequests()
        self.connection = Connection()

    async def ask(self, number):
        """Ask questions, wait until they are sent, and return their tasks."""
        tasks = [
            asyncio.create_task(self.questions.request(self.connection, Numbered()))
            for _ in range(number)
        ]
        await asyncio.sleep(0)
        return tasks

    async def test_answers_in_another_order_reach_their_questions(self):
        tasks = await self.ask(3)
        for item in reversed(self.connection.sent):
            self.questions.resolve(Numbered(item.number))
        answers = await asyncio.gather(*tasks)
        sent = [item.number for item in self.connection.sent]
        self.assertEqual([answer.number for answer in answers], sent)
        self.assertEqual(len(set(sent)), 3)

    async def test_late_and_doubled_answers_reach_nobody(self):
        (task,) = await self.ask(1)
        task.cancel()
        await asyncio.wait([task])
        self.questions.resolve(Numbered(1))
        (following,) = await self.ask(1)
        self.questions.resolve(Numbered(1))
        self.assertFalse(following.done())
        self.questions.resolve(Numbered(2))
        self.questions.resolve(Numbered(2))
        self.assertEqual((await following).number, 2)

    async def test_lost_connection_ends_the_questions(self):
        tasks = await self.ask(2)
        self.questions.cancel_all()
        self.assertEqual(await asyncio.gather(*tasks), [None, None])
        self.connection.is_closed = True
        with self.assertRaises(base.WireError):
            await self.questions.request(self.connection, Numbered())
