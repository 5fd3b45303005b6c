"""Questions that wait for the reply of a peer."""

import asyncio

from sequoiagap import base


class PendingReplies:
    """Replies awaited, by the id that question and reply carry.

    >>> pending = PendingReplies()
    >>> pending.settle("unknown", "late"), pending.is_empty()
    (None, True)
    """

    def __init__(self):
        self._future_by_id = {}

    def is_empty(self):
        """Return whether nothing is awaited.

        :rtype: bool
        """
        return not self._future_by_id

    async def ask(self, reply_id, send, timeout_s):
        """Send a question and return its reply, or ``None``.

        :param reply_id: id that the reply names.
        :param send: coroutine function that sends the question.
        :param float timeout_s: longest wait, in seconds.
        """
        reply = asyncio.get_running_loop().create_future()
        self._future_by_id[reply_id] = reply
        try:
            async with asyncio.timeout(timeout_s):
                await send()
                return await reply
        except (TimeoutError, base.WireError):
            return None
        finally:
            self._future_by_id.pop(reply_id, None)

    def settle(self, reply_id, value):
        """Hand a reply to whoever waits for it; a late one is dropped.

        :param reply_id: id that the reply names.
        :param value: the reply.
        """
        reply = self._future_by_id.get(reply_id)
        if reply is not None and not reply.done():
            reply.set_result(value)
