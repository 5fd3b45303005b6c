"""Execution of control orders by an engine stand-in."""

import asyncio

from aiohttp import web

from sequoiagap import base


class EngineOrders:
    """Executes orders and keeps the arguments of the last one of each kind.

    :param bool checks_fencing: whether it rejects orders with an old fencing number.
    :param float order_s: execution time of an order, in seconds.

    :ivar dict state_by_kind: arguments of the last executed order of each kind.
    :ivar list applied_: fencing numbers of the executed orders, in order.
    """

    def __init__(self, checks_fencing=False, order_s=0.05):
        self.checks_fencing = checks_fencing
        self.order_s = order_s
        self.state_by_kind = {}
        self.applied_ = []
        self.highest_ = 0
        self.running_count_ = 0
        self._tasks = base.TaskSet()

    def add_routes(self, router):
        """Register ``GET`` and ``POST /orders``.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_get("/orders", self._on_get)
        router.add_post("/orders", self._on_post)

    async def _on_get(self, request):
        document = {
            "at_work": self.running_count_,
            "state": self.state_by_kind,
            "applied": self.applied_,
        }
        return web.json_response(document)

    async def _on_post(self, request):
        order = await request.json()
        if self.checks_fencing and order["fencing"] <= self.highest_:
            return web.Response(status=409, text="old fencing number")
        self.highest_ = max(self.highest_, order["fencing"])
        work = self._tasks.start(self._execute(order), "order")
        await asyncio.shield(work)
        return web.json_response({"fencing": order["fencing"]})

    async def _execute(self, order):
        """Execute an order, even if its sender disconnects meanwhile."""
        self.running_count_ += 1
        await asyncio.sleep(self.order_s)
        self.state_by_kind[order["kind"]] = order["arguments"]
        self.applied_.append(order["fencing"])
        self.running_count_ -= 1
