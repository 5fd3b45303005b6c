"""Tasks that send the answers of runs, one for each waiting attempt."""

import asyncio

from sequoiagap import base, wire
from sequoiagap.agent import _load_updates

FLUSH_TIMEOUT_S = 2.0


class AnswerSenders:
    """Sends the answers of runs to the entries that wait for them.

    :param make_load: function that returns the load report.

    :ivar LoadUpdates load_updates_: sends the load report that follows each answer,
        and reports between answers.
    """

    def __init__(self, make_load):
        self.load_updates_ = _load_updates.LoadUpdates(make_load, self.count_waiting)
        self.tasks_ = base.TaskSet()
        self._waiting_by_connection = {}

    def start(self, run, connection, attempt_id, next_sequence=0):
        """Start to send the answer of a run.

        :param Run run: the run.
        :param sequoiagap.wire.Connection connection: the entry.
        :param str attempt_id: attempt that the entry waits for.
        :param int next_sequence: number of the first chunk to send.
        """
        stream = run.open_stream(connection, attempt_id, next_sequence)
        self.tasks_.start(self._send_answer(run, stream), f"send-{attempt_id}")

    def send(self, connection, item):
        """Send one message; after a lost connection the entry recovers.

        :param sequoiagap.wire.Connection connection: the entry.
        :param item: the message.
        """
        self.tasks_.start(wire.try_send(connection, item), "send")

    async def flush(self):
        """Wait until all answers are sent, for at most :data:`FLUSH_TIMEOUT_S`."""
        if self.tasks_.tasks_:
            await asyncio.wait(list(self.tasks_.tasks_), timeout=FLUSH_TIMEOUT_S)

    async def close(self):
        """Cancel all sending."""
        await self.tasks_.close()
        await self.load_updates_.close()

    def count_waiting(self, connection):
        """Return the number of answers that an entry waits for.

        :param sequoiagap.wire.Connection connection: the entry.
        :rtype: int
        """
        return self._waiting_by_connection.get(connection, 0)

    async def _send_answer(self, run, stream):
        connection = stream.connection
        self._change_waiting_count(connection, 1)
        self.load_updates_.subscribe(connection)
        try:
            await stream.send_all()
            run.close_stream(stream)
        except base.WireError:
            return  # the entry requests the rest over a new connection
        finally:
            self._change_waiting_count(connection, -1)
        await self.load_updates_.send_report(connection)

    def _change_waiting_count(self, connection, change):
        """Update the count of answers that an entry waits for.

        The connection is probed at short intervals while the count is not 0.
        """
        count = self._waiting_by_connection.get(connection, 0) + change
        if count:
            self._waiting_by_connection[connection] = count
        else:
            self._waiting_by_connection.pop(connection, None)
        connection.mark_busy(count > 0)
