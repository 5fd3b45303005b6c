"""Requests over connections, matched with their replies by number."""

import asyncio
import itertools


class PendingRequests:
    """Matches replies with the requests that wait for them.

    A request is a message with a field ``number``; its reply has the same number.
    """

    def __init__(self):
        self._numbers = itertools.count(1)
        self._future_by_number = {}

    async def request(self, connection, message):
        """Send a request and return its reply.

        :param Connection connection: connection to send it on.
        :param message: request to send; its number is set by this method.
        :returns: the reply, or ``None`` if all requests were cancelled.
        :raises sequoiagap.base.WireError: if the connection is closed.
        """
        message.number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[message.number] = future
        try:
            await connection.send(message)
            return await future
        finally:
            self._future_by_number.pop(message.number, None)

    def resolve(self, reply):
        """Pass a reply to its request; a late or duplicate reply is ignored.

        :param reply: received reply.
        :returns: whether a request was waiting for it.
        :rtype: bool
        """
        future = self._future_by_number.get(reply.number)
        if future is None or future.done():
            return False
        future.set_result(reply)
        return True

    def cancel_all(self):
        """Complete all requests with ``None`` because their connection is lost."""
        for future in self._future_by_number.values():
            if not future.done():
                future.set_result(None)
