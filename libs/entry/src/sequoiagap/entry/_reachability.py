"""Whether an agent can be reached, for those who wait for its connection."""

import asyncio

from sequoiagap import base

_log = base.get_logger("link")


class Reachability:
    """What the last try to connect to a peer has shown.

    :param str peer: name of the peer, for the log.
    """

    def __init__(self, peer):
        self.peer = peer
        self._opened = asyncio.Event()
        self._unreachable = asyncio.Event()

    @property
    def is_unreachable(self):
        """Whether no connection could be opened last time."""
        return self._unreachable.is_set()

    def note_opened(self):
        """Note that a connection is open."""
        self._unreachable.clear()
        self._opened.set()

    def note_lost(self):
        """Note that the connection is lost."""
        self._opened.clear()

    def note_unreachable(self, error):
        """Note that no connection can be opened; log the first of an outage.

        :param sequoiagap.base.WireError error: why.
        """
        if not self._unreachable.is_set():
            _log.emit(base.Event.LINK_UNREACHABLE, peer=self.peer, error=error.message)
        self._unreachable.set()

    async def wait_opened(self):
        """Wait until a connection is open."""
        await self._opened.wait()

    async def wait(self, timeout_s, through_outage):
        """Wait for a connection for a while.

        :param float timeout_s: longest wait, in seconds.
        :param bool through_outage: whether to wait on when none can be opened.
        :returns: whether one is open.
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
