"""Bounds of what a leader takes of its host's link, which an engine shares."""

import asyncio
import time

MAP_SHARE = 0.5  # of the link, for maps on their way to the ranks
READING_SHARE = 0.25  # of the link, for what the ranks say in answer


class LinkPacer:
    """Spreads bytes over time, so that others wait little behind them.

    :param float bytes_s: bytes a second at most; 0 for no bound.
    """

    def __init__(self, bytes_s):
        self.bytes_s = bytes_s
        self._free_at = 0.0

    async def acquire(self, size):
        """Wait until bytes may be sent.

        :param int size: how many.
        """
        if not self.bytes_s:
            return
        now = time.monotonic()
        begins_at = max(self._free_at, now)
        self._free_at = begins_at + size / self.bytes_s
        if begins_at > now:
            await asyncio.sleep(begins_at - now)
