"""Matching of a peer's replies to the requests that wait for them."""

import asyncio

from sequoiagap import base


class PendingReplies:
    """Holds a future per request, by the id that request and reply carry.

    >>> pending = PendingReplies()
    >>> pending.resolve("unknown", "late"), pending.is_empty()
    (None, True)
    """

    def __init__(self):
        self._future_by_id = {}

    def is_empty(self):
        """Return whether no request waits for a reply.

        :rtype: bool
        """
        return not self._future_by_id

    async def request(self, reply_id, send, timeout_s):
        """Send a request and return its reply, or ``None`` without one.

        :param reply_id: id that the reply carries.
        :param send: coroutine function that sends the request.
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

    def resolve(self, reply_id, value):
        """Pass a reply to the request that waits for it; drop a late one.

        :param reply_id: id that the reply carries.
        :param value: the reply.
        """
        reply = self._future_by_id.get(reply_id)
        if reply is not None and not reply.done():
            reply.set_result(value)
