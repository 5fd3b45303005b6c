"""Limits on the share of its host's link that a leader uses beside an engine."""

import asyncio
import time

MAP_SHARE = 0.5  # of the link, for maps sent to the ranks
READING_SHARE = 0.25  # of the link, for the ranks' answers to polls


class LinkPacer:
    """Spreads bytes over time, so that other traffic is not delayed by bursts.

    :param float bytes_s: maximum rate, in bytes per second; 0 for no limit.
    """

    def __init__(self, bytes_s):
        self.bytes_s = bytes_s
        self._free_at = 0.0

    async def acquire(self, size):
        """Wait until a number of bytes may be sent.

        :param int size: number of bytes.
        """
        if not self.bytes_s:
            return
        now = time.monotonic()
        begins_at = max(self._free_at, now)
        self._free_at = begins_at + size / self.bytes_s
        if begins_at > now:
            await asyncio.sleep(begins_at - now)
