"""Count of executions by request key, so that a double run can't hide."""

from aiohttp import web

KEY_HEADER = "X-Sequoiagap-Request"


class Executions:
    """Counts executions; ``GET /executions`` shows them.

    :ivar dict count_by_key: how often each key was run.
    """

    def __init__(self):
        self.count_by_key = {}

    def record(self, request):
        """Count one execution.

        :param aiohttp.web.Request request: the request that runs.
        """
        key = request.headers.get(KEY_HEADER, "")
        self.count_by_key[key] = self.count_by_key.get(key, 0) + 1

    def add_routes(self, router):
        """Register ``GET /executions``.

        :param aiohttp.web.UrlDispatcher router: where to register.
        """
        router.add_get("/executions", self._on_executions)

    async def _on_executions(self, request):
        return web.json_response(self.count_by_key)
