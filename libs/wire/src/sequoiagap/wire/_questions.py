"""Questions over connections, matched with their answers by number."""

import asyncio
import itertools


class PendingRequests:
    """Questions that wait for their answers.

    A question is a message with a field ``number``; its answer bears the same.
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._future_by_number = {}

    async def request(self, connection, question):
        """Send a question and return its answer.

        :param Connection connection: where to send it.
        :param question: the message; its number is set here.
        :returns: the answer, or ``None`` if the questions were dropped.
        :raises sequoiagap.base.WireError: if the connection is closed.
        """
        question.number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[question.number] = future
        try:
            await connection.send(question)
            return await future
        finally:
            self._future_by_number.pop(question.number, None)

    def resolve(self, answer):
        """Take an answer; one that nobody waits for any more is left out.

        :param answer: the message.
        :returns: whether somebody waited for it.
        :rtype: bool
        """
        future = self._future_by_number.get(answer.number)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    def cancel_all(self):
        """Answer all questions with ``None``, as their connection is lost."""
        for future in self._future_by_number.values():
            if not future.done():
                future.set_result(None)
