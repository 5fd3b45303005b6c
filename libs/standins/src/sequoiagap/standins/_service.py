"""Stand-in for a plain HTTP service, such as an order service."""

import asyncio

from aiohttp import web

from sequoiagap.standins import _executions, _faults


class ServiceStandIn:
    """Answers every call after a delay and counts executions by key.

    :param float work_s: duration of one call, in seconds.
    :param int port: TCP port; 0 selects a free one.
    """

    def __init__(self, work_s=0.02, port=0):
        self.work_s = work_s
        self.port = port
        self.faults_ = _faults.Faults()
        self.executions_ = _executions.Executions()
        self.running_ids_ = []

    def add_routes(self, router):
        """Register the HTTP routes.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_get("/load", self._on_load)
        self.executions_.add_routes(router)
        self.faults_.add_routes(router)
        router.add_route("*", "/{path:.*}", self._on_call)

    async def _on_load(self, request):
        await self.faults_.before_call()
        return web.json_response(
            {
                "start_id": "start-1",
                "cold": False,
                "in_flight": len(self.running_ids_),
                "running": self.running_ids_,
            }
        )

    async def _on_call(self, request):
        await self.faults_.before_call()
        self.executions_.record(request)
        request_id = request.headers.get("X-Request-Id", "")
        self.running_ids_.append(request_id)
        try:
            await asyncio.sleep(self.work_s + self.faults_.stall_s)
            body = await request.text()
        finally:
            self.running_ids_.remove(request_id)
        if self.faults_.consume("lose_answers"):
            request.transport.abort()
        return web.json_response(
            {"path": request.path, "received": body},
            headers={"X-Request-Id": self._answered_request_id(request)},
        )

    def _answered_request_id(self, request):
        own = request.headers.get("X-Request-Id", "")
        return "att-of-another" if self.faults_.crossed else own
