"""HTTP API for operators: health, metrics and state dumps."""

import json

from aiohttp import web

from sequoiagap import base
from sequoiagap.base import exposition
from sequoiagap.entry import _auth, _responses

AGENT_STATE_TIMEOUT_S = 1.0


class OperatorsApi:
    """Handlers of the HTTP API for operators.

    :param Entry entry: the entry process.
    :param ConfigApi config_api: handlers for configuration and orders.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param KeyRing keys: keys of client accounts and operators.
    """

    def __init__(self, entry, config_api, holder, keys):
        self.entry = entry
        self.config_api = config_api
        self.holder = holder
        self.keys = keys

    def add_routes(self, router):
        """Register the handlers with a router.

        :param aiohttp.web.UrlDispatcher router: router of the application.
        """
        router.add_get("/healthz", self.healthz)
        router.add_get("/readyz", self.readyz)
        router.add_get("/metrics", self._guarded(self.metrics))
        router.add_get("/metrics/{endpoint_id}", self._guarded(self.agent_metrics))
        router.add_get("/state", self._guarded(self.state))
        router.add_get("/state/{endpoint_id}", self._guarded(self.agent_state))
        self.config_api.add_routes(router, self._guarded)

    async def healthz(self, http_request):
        """Handle ``GET /healthz``: report that the process is alive."""
        return web.json_response({"alive": True})

    async def readyz(self, http_request):
        """Handle ``GET /readyz``: report whether new requests are accepted."""
        ready = self.entry.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def metrics(self, http_request, operator):
        """Handle ``GET /metrics``: return the metrics in the text format."""
        document = self.entry.collect_metrics()
        return _metrics_response(document, self.entry.settings.node_id)

    async def agent_metrics(self, http_request, operator):
        """Handle ``GET /metrics/{endpoint_id}``: return the metrics of an agent."""
        endpoint_id = http_request.match_info["endpoint_id"]
        text = await self._request_agent_state(endpoint_id)
        if text is None:
            return self._refuse_endpoint(endpoint_id)
        return _metrics_response(json.loads(text)["metrics"], endpoint_id)

    async def state(self, http_request, operator):
        """Handle ``GET /state``: return the state dump of this entry."""
        return web.json_response(self.entry.dump_state())

    async def agent_state(self, http_request, operator):
        """Handle ``GET /state/{endpoint_id}``: return the state dump of an agent."""
        endpoint_id = http_request.match_info["endpoint_id"]
        text = await self._request_agent_state(endpoint_id)
        if text is None:
            return self._refuse_endpoint(endpoint_id)
        return web.Response(text=text, content_type="application/json")

    async def _request_agent_state(self, endpoint_id):
        link = await self.entry.links_.on_demand_.open_endpoint(endpoint_id)
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
