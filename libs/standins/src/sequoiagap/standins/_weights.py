"""Stand-in for the weight store, with a rate limit shared by all callers."""

import asyncio
import time

from aiohttp import web

from sequoiagap.standins import _faults


class WeightStoreStandIn:
    """Serves weights at a limited rate, one caller after another.

    :param float rate_bytes_s: total rate over all callers, in bytes per second.
    :param int port: TCP port; 0 selects a free one.

    :ivar int bytes_served_: total number of bytes served.
    """

    def __init__(self, rate_bytes_s=1e9, port=0):
        self.rate_bytes_s = rate_bytes_s
        self.port = port
        self.bytes_served_ = 0
        self.faults_ = _faults.Faults()
        self._idle_at = 0.0

    def add_routes(self, router):
        """Register the HTTP routes.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_get("/weights/{size}", self._on_weights)
        router.add_get("/served", self._on_served)
        self.faults_.add_routes(router)

    async def _on_weights(self, request):
        await self.faults_.before_call()
        size = int(request.match_info["size"])
        now = time.monotonic()
        self._idle_at = max(self._idle_at, now) + size / self.rate_bytes_s
        await asyncio.sleep(self._idle_at - now)
        self.bytes_served_ += size
        return web.json_response({"bytes": size})

    async def _on_served(self, request):
        return web.json_response({"bytes": self.bytes_served_})
