"""Order side of an engine stand-in: what it was told to load or to be."""

import asyncio

from aiohttp import web

from sequoiagap import base


class EngineOrders:
    """Carries out orders; keeps what it was told last of each kind.

    :param bool checks_fencing: whether it refuses an old fencing number.
    :param float order_s: how long it takes over an order, in seconds.

    :ivar dict state_by_kind: arguments of the last order of each kind.
    :ivar list applied_: fencing numbers of the orders carried out, in turn.
    """

    def __init__(self, checks_fencing=False, order_s=0.05):
        self.checks_fencing = checks_fencing
        self.order_s = order_s
        self.state_by_kind = {}
        self.applied_ = []
        self.highest_ = 0
        self.at_work_ = 0
        self._tasks = base.TaskSet()

    def add_routes(self, router):
        """Register ``GET`` and ``POST /orders``.

        :param aiohttp.web.UrlDispatcher router: where to register.
        """
        router.add_get("/orders", self._on_get)
        router.add_post("/orders", self._on_post)

    async def _on_get(self, request):
        document = {
            "at_work": self.at_work_,
            "state": self.state_by_kind,
            "applied": self.applied_,
        }
        return web.json_response(document)

    async def _on_post(self, request):
        order = await request.json()
        if self.checks_fencing and order["fencing"] <= self.highest_:
            return web.Response(status=409, text="old fencing number")
        self.highest_ = max(self.highest_, order["fencing"])
        work = self._tasks.start(self._carry_out(order), "order")
        await asyncio.shield(work)
        return web.json_response({"fencing": order["fencing"]})

    async def _carry_out(self, order):
        """Carry the order out, also when its sender is gone meanwhile."""
        self.at_work_ += 1
        await asyncio.sleep(self.order_s)
        self.state_by_kind[order["kind"]] = order["arguments"]
        self.applied_.append(order["fencing"])
        self.at_work_ -= 1
