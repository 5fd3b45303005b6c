"""Execution counts by request key, which reveal duplicate executions."""

from aiohttp import web

KEY_HEADER = "X-Sequoiagap-Request"


class Executions:
    """Counts executions by request key; ``GET /executions`` returns the counts.

    :ivar dict count_by_key: number of executions of each key.
    """

    def __init__(self):
        self.count_by_key = {}

    def record(self, request):
        """Count one execution.

        :param aiohttp.web.Request request: the request that is executed.
        """
        key = request.headers.get(KEY_HEADER, "")
        self.count_by_key[key] = self.count_by_key.get(key, 0) + 1

    def add_routes(self, router):
        """Register ``GET /executions``.

        :param aiohttp.web.UrlDispatcher router: router to add it to.
        """
        router.add_get("/executions", self._on_executions)

    async def _on_executions(self, request):
        return web.json_response(self.count_by_key)
