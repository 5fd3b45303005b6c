"""Readiness checks for the platform's balancer and metrics for operators."""

from aiohttp import web

from sequoiagap import base
from sequoiagap.gateway import _state_dump


class StatusServer:
    """Answers readiness checks and serves the metrics.

    :param Gateway gateway: the gateway.
    """

    def __init__(self, gateway):
        self.gateway = gateway

    def ready_server(self):
        """Return the HTTP server that reports whether callers should be sent here."""
        return web.Server(self._ready, access_log=None)

    def metrics_server(self):
        """Return the HTTP server that serves the metrics as text."""
        return web.Server(self._metrics, access_log=None)

    async def _ready(self, http_request):
        is_ready = self.gateway.is_ready()
        return web.Response(
            status=200 if is_ready else 503, text="ready\n" if is_ready else "not\n"
        )

    async def _metrics(self, http_request):
        metrics = self.gateway.metrics
        _state_dump.set_endpoint_gauges(self.gateway)
        metrics.set_gauge("requests_in_flight", self.gateway.front.in_flight_)
        # Imported on first use, as most processes never serve metrics.
        from sequoiagap.base import exposition

        document = base.collect_process_metrics(metrics, self.gateway.table.version, 0)
        text = exposition.render(document, self.gateway.settings.node_id)
        return web.Response(text=text)
