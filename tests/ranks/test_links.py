"""A link distinguishes a silent agent from one that answers late."""

import asyncio
import time
import unittest
from unittest import mock

from simulations import virtual

from sequoiagap import gateway
from sequoiagap.ranks import _links, _messages
from tests import support


class StubConnection:
    """Connection whose agent sends a heartbeat, or an answer, after a delay.

    :param float answer_s: time until the answer; ``None`` for none.
    :param float heartbeat_s: time until another message; ``None`` for none.
    """

    is_congested_ = False

    def __init__(self, answer_s=None, heartbeat_s=None):
        self.answer_s = answer_s
        self.heartbeat_s = heartbeat_s
        self.heard_at_ = -1.0
        self.probes = 0
        self.link = None

    def probe(self):
        self.probes += 1

    async def send(self, message):
        loop = asyncio.get_running_loop()
        if self.heartbeat_s is not None:
            loop.call_later(self.heartbeat_s, self._receive_heartbeat)
        if self.answer_s is not None:
            loop.call_later(self.answer_s, self._answer, message.number)

    def _receive_heartbeat(self):
        self.heard_at_ = time.monotonic()

    def _answer(self, number):
        self._receive_heartbeat()
        self.link._requests.take(_messages.KeeperAnswer(number, True))


class LinkTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()

    def request(self, connection, timeout_s):
        """Send a request; return the answer and the time until it arrived."""
        return virtual.run(self._request(connection, timeout_s))

    async def _request(self, connection, timeout_s):
        loop = asyncio.get_running_loop()
        self.failures = []
        loop.set_exception_handler(lambda _, context: self.failures.append(context))
        with mock.patch.object(time, "monotonic", loop.time):
            node = gateway.Node("n1", "ranks", "127.0.0.1", 1, "a", "1")
            self.link = connection.link = _links.RankLink(node, None)
            self.link._connection = connection
            began = loop.time()
            message = _messages.KeeperRequest(0, 0, 1, 2, 3)
            answer = await self.link.request(message, timeout_s)
            took_s = loop.time() - began
            await asyncio.sleep(1.0)
            self.assertEqual(self.failures, [])
            return answer, took_s

    def is_silent(self):
        return self.link._silent_until > 0.0

    def test_late_answer_of_an_agent_that_is_heard_counts(self):
        answer, _ = self.request(StubConnection(answer_s=0.8, heartbeat_s=0.1), 1.0)
        self.assertTrue(answer.is_agreed)
        self.assertFalse(self.is_silent())

    def test_agent_that_is_heard_and_does_not_answer_is_not_silent(self):
        answer, took_s = self.request(StubConnection(heartbeat_s=0.1), 1.0)
        self.assertIsNone(answer)
        self.assertAlmostEqual(took_s, 1.0)
        self.assertFalse(self.is_silent())

    def test_silent_agent_is_given_up_early(self):
        for timeout_s in (0.15, _links.REPLY_TIMEOUT_S, 1.0):
            with self.subTest(timeout_s):
                connection = StubConnection()
                answer, took_s = self.request(connection, timeout_s)
                self.assertIsNone(answer)
                self.assertEqual(connection.probes, 1)
                self.assertLess(took_s, _links.REPLY_TIMEOUT_S + 0.01)
                self.assertTrue(self.is_silent())
