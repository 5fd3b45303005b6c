"""Connection state of an agent, with waiting for a connection."""

import asyncio

from sequoiagap import base

_log = base.get_logger("link")


class Reachability:
    """Holds the result of the last attempt to connect to a peer.

    :param str peer: name of the peer, for the log.
    """

    def __init__(self, peer):
        self.peer = peer
        self._opened = asyncio.Event()
        self._unreachable = asyncio.Event()

    @property
    def is_unreachable(self):
        """Whether the last attempt to connect failed."""
        return self._unreachable.is_set()

    def record_opened(self):
        """Record that a connection is open."""
        self._unreachable.clear()
        self._opened.set()

    def record_lost(self):
        """Record that the connection is lost."""
        self._opened.clear()

    def record_unreachable(self, error):
        """Record a failed attempt to connect; log only the first of an outage.

        :param sequoiagap.base.WireError error: reason of the failure.
        """
        if not self._unreachable.is_set():
            _log.emit(base.Event.LINK_UNREACHABLE, peer=self.peer, error=error.message)
        self._unreachable.set()

    async def wait_opened(self):
        """Wait until a connection is open."""
        await self._opened.wait()

    async def wait(self, timeout_s, through_outage):
        """Wait for an open connection, for a limited time.

        :param float timeout_s: longest wait, in seconds.
        :param bool through_outage: whether to keep waiting after a failed attempt
            to connect.
        :returns: whether a connection is open.
        :rtype: bool
        """
        waits = [asyncio.create_task(self._opened.wait())]
        if not through_outage:
            waits.append(asyncio.create_task(self._unreachable.wait()))
        try:
            await asyncio.wait(
                waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in waits:
                task.cancel()
        return self._opened.is_set()
