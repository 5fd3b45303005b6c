"""The operators' HTTP: health, metrics and state dumps."""

import json

from aiohttp import web

from sequoiagap import base
from sequoiagap.base import exposition
from sequoiagap.entry import _auth, _responses

AGENT_STATE_TIMEOUT_S = 1.0


class OperatorsApi:
    """Handlers of the operators' HTTP.

    :param Entry entry: the process, for its state.
    :param ConfigApi config_api: handlers that change something.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param KeyRing keys: keys of client accounts and operators.
    """

    def __init__(self, entry, config_api, holder, keys):
        self.entry = entry
        self.config_api = config_api
        self.holder = holder
        self.keys = keys

    def add_routes(self, router):
        """Register the handlers.

        :param aiohttp.web.UrlDispatcher router: where to register.
        """
        router.add_get("/healthz", self.healthz)
        router.add_get("/readyz", self.readyz)
        router.add_get("/metrics", self._guarded(self.metrics))
        router.add_get("/metrics/{endpoint_id}", self._guarded(self.agent_metrics))
        router.add_get("/state", self._guarded(self.state))
        router.add_get("/state/{endpoint_id}", self._guarded(self.agent_state))
        self.config_api.add_routes(router, self._guarded)

    async def healthz(self, http_request):
        """Answer whether the process runs."""
        return web.json_response({"alive": True})

    async def readyz(self, http_request):
        """Answer whether the process takes new callers."""
        ready = self.entry.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def metrics(self, http_request, operator):
        """Answer with all metrics in the usual text format."""
        document = self.entry.collect_metrics()
        return _metrics_response(document, self.entry.settings.node_id)

    async def agent_metrics(self, http_request, operator):
        """Answer with all metrics of an agent in the usual text format."""
        endpoint_id = http_request.match_info["endpoint_id"]
        text = await self._ask_agent(endpoint_id)
        if text is None:
            return self._refuse_endpoint(endpoint_id)
        return _metrics_response(json.loads(text)["metrics"], endpoint_id)

    async def state(self, http_request, operator):
        """Answer with the state dump of this process."""
        return web.json_response(self.entry.dump_state())

    async def agent_state(self, http_request, operator):
        """Answer with the state dump of an agent."""
        endpoint_id = http_request.match_info["endpoint_id"]
        text = await self._ask_agent(endpoint_id)
        if text is None:
            return self._refuse_endpoint(endpoint_id)
        return web.Response(text=text, content_type="application/json")

    async def _ask_agent(self, endpoint_id):
        link = await self.entry.links_.demand_.reach_endpoint(endpoint_id)
        return await link.request_state(AGENT_STATE_TIMEOUT_S) if link else None

    def _refuse_endpoint(self, endpoint_id):
        return self._refuse(
            base.RefusalKind.NOT_FOUND,
            f"endpoint {endpoint_id} does not answer",
            "Use an endpoint that the state of this entry lists as connected",
        )

    def _guarded(self, handler):
        async def guarded(http_request):
            operator = self.keys.find_operator(http_request.headers)
            if operator is None:
                refusal = _auth.unauthenticated(self.holder.current_.number)
                return _responses.refusal_response(refusal, "")
            return await handler(http_request, operator)

        return guarded

    def _refuse(self, kind, message, remedy):
        refusal = base.Refusal(
            kind, message, remedy, config_version=self.holder.current_.number
        )
        return _responses.refusal_response(refusal, "")


def _metrics_response(document, node_id):
    text = exposition.render(document, node_id)
    return web.Response(text=text, content_type="text/plain")
