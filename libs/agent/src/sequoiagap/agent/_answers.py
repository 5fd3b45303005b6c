"""Senders of answers, one task for each entry that waits for a run."""

import asyncio

from sequoiagap import base, wire
from sequoiagap.agent import _load_news

END_SENDING_BOUND_S = 2.0


class AnswerSenders:
    """Sends the answers of runs to the entries that wait for them.

    :param make_load: function that returns the load report.

    :ivar LoadNews news_: sends the load report that follows each answer, and
        those in between.
    """

    def __init__(self, make_load):
        self.news_ = _load_news.LoadNews(make_load, self.count_waiting)
        self.tasks_ = base.TaskSet()
        self._waiting_by_connection = {}

    def start(self, run, connection, attempt_id, next_sequence=0):
        """Send the answer of a run, from a chunk on.

        :param Run run: the run.
        :param sequoiagap.wire.Connection connection: the entry.
        :param str attempt_id: the attempt that the entry waits for.
        :param int next_sequence: first chunk to send.
        """
        listener = run.listen(connection, attempt_id, next_sequence)
        self.tasks_.start(self._send_answer(run, listener), f"send-{attempt_id}")

    def send(self, connection, item):
        """Send one message; a lost connection is settled by the entry.

        :param sequoiagap.wire.Connection connection: the entry.
        :param item: the message.
        """
        self.tasks_.start(wire.try_send(connection, item), "send")

    async def wait_sent(self):
        """Wait until everything is sent, within :data:`END_SENDING_BOUND_S`."""
        if self.tasks_.tasks_:
            await asyncio.wait(list(self.tasks_.tasks_), timeout=END_SENDING_BOUND_S)

    async def close(self):
        """Cancel what is still being sent."""
        await self.tasks_.close()
        await self.news_.close()

    def count_waiting(self, connection):
        """Return how many answers an entry waits for.

        :param sequoiagap.wire.Connection connection: the entry.
        :rtype: int
        """
        return self._waiting_by_connection.get(connection, 0)

    async def _send_answer(self, run, listener):
        connection = listener.connection
        self._mark_waiting(connection, 1)
        self.news_.follow(connection)
        try:
            await listener.send_all()
            run.leave(listener)
        except base.WireError:
            return  # the entry asks for the rest over a new connection
        finally:
            self._mark_waiting(connection, -1)
        await self.news_.tell(connection)

    def _mark_waiting(self, connection, change):
        """Have a connection probed often while an entry waits on it."""
        count = self._waiting_by_connection.get(connection, 0) + change
        if count:
            self._waiting_by_connection[connection] = count
        else:
            self._waiting_by_connection.pop(connection, None)
        connection.mark_busy(count > 0)
