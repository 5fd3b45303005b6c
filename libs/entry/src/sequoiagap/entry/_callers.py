"""The callers' HTTP: models, services and explanations."""

import asyncio
import json
import time

from aiohttp import web

from sequoiagap import base
from sequoiagap.entry import _auth, _dispatch, _responses

REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"

_log = base.get_logger("callers")


class CallersApi:
    """Handlers of the callers' HTTP.

    :param sequoiagap.settings.EntrySettings settings: checked settings.
    :param EntryAdmission admission: admits requests and runs them.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param KeyRing keys: keys of client accounts and operators.
    :param sequoiagap.outcome.Journal journal: remembers decisions.
    :param sequoiagap.base.Metrics metrics: metrics of the process.

    :ivar int in_flight_: requests that run now.
    """

    def __init__(self, settings, admission, holder, keys, journal, metrics):
        self.settings = settings
        self.admission = admission
        self.holder = holder
        self.keys = keys
        self.journal = journal
        self.metrics = metrics
        self.in_flight_ = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def add_routes(self, router):
        """Register the handlers.

        :param aiohttp.web.UrlDispatcher router: where to register.
        """
        router.add_get("/v1/models", self.list_models)
        router.add_post("/v1/chat/completions", self.complete)
        router.add_post("/v1/completions", self.complete)
        router.add_route("*", "/services/{service}/{path:.*}", self.call_service)
        router.add_get("/v1/explain/{request_id}", self.explain)

    async def wait_idle(self, bound_s):
        """Wait until no request runs.

        :param float bound_s: longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(bound_s):
                await self._idle.wait()
        except TimeoutError:
            return

    async def list_models(self, http_request):
        """Answer ``GET /v1/models``."""
        if self.keys.find_account(http_request.headers) is None:
            return self._refuse(_auth.unauthenticated(self._version()), "")
        models = self.holder.current_.document.models
        items = [{"id": name, "object": "model"} for name in sorted(models)]
        return web.json_response({"object": "list", "data": items})

    async def explain(self, http_request):
        """Answer ``GET /v1/explain/{request_id}`` to the account that sent it."""
        request_id = http_request.match_info["request_id"]
        account = self.keys.find_account(http_request.headers)
        operator = self.keys.find_operator(http_request.headers)
        if account is None and operator is None:
            return self._refuse(_auth.unauthenticated(self._version()), request_id)
        found = self.journal.explain(request_id, None if operator else account)
        if found is None:
            return self._refuse(self._not_found(f"request {request_id}"), request_id)
        return web.json_response(found)

    async def complete(self, http_request):
        """Answer ``POST /v1/chat/completions`` and ``/v1/completions``."""
        request_id = base.new_id("req")
        account = self.keys.find_account(http_request.headers)
        if account is None:
            return self._refuse(_auth.unauthenticated(self._version()), request_id)
        try:
            body = await http_request.read()
            model = json.loads(body)["model"]
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(self._too_large(), request_id)
        except (ValueError, KeyError, TypeError):
            return self._refuse(self._malformed(), request_id)
        models = self.holder.current_.document.models
        if not isinstance(model, str) or model not in models:
            return self._refuse(self._not_found(f"model {model!r}"), request_id)
        repeatable = models[model].repeatable
        return await self._run(
            http_request, request_id, account, model, body, repeatable
        )

    async def call_service(self, http_request):
        """Answer ``/services/{service}/...``."""
        request_id = base.new_id("req")
        account = self.keys.find_account(http_request.headers)
        if account is None:
            return self._refuse(_auth.unauthenticated(self._version()), request_id)
        service = http_request.match_info["service"]
        services = self.holder.current_.document.services
        if service not in services:
            return self._refuse(self._not_found(f"service {service!r}"), request_id)
        try:
            body = await http_request.read()
        except web.HTTPRequestEntityTooLarge:
            return self._refuse(self._too_large(), request_id)
        repeatable = services[service].repeatable
        return await self._run(
            http_request, request_id, account, service, body, repeatable
        )

    async def _run(self, http_request, request_id, account, target, body, repeatable):
        request = self._build(
            http_request, request_id, account, target, body, repeatable
        )
        self.journal.open(request_id, account)
        self.journal.record(request_id, "admitted", self._version(), target=target)
        _log.emit(
            base.Event.REQUEST_ADMITTED,
            request_id=request_id,
            account=account,
            target=target,
            config_version=self._version(),
        )
        sink = _responses.ResponseSink(http_request, request_id)
        began = time.monotonic()
        self._enter()
        try:
            result = await self.admission.run(request, sink)
        finally:
            self._exit()
        self.metrics.observe("request_seconds", time.monotonic() - began)
        if result.is_ok():
            self.metrics.count("answered_total")
            _log.emit(base.Event.REQUEST_ANSWERED, request_id=request_id)
            return await sink.finish()
        return await self._end_refused(sink, result.error, request_id)

    def _enter(self):
        self.in_flight_ += 1
        self._idle.clear()

    def _exit(self):
        self.in_flight_ -= 1
        if self.in_flight_ == 0:
            self._idle.set()

    async def _end_refused(self, sink, refusal, request_id):
        if not sink.started:
            return self._refuse(refusal, request_id)
        self.metrics.count("cut_total")
        _log.emit(base.Event.REQUEST_CUT, request_id=request_id, kind=str(refusal.kind))
        return await sink.cut(refusal)

    def _build(self, http_request, request_id, account, target, body, repeatable):
        path = http_request.path_qs
        if "path" in http_request.match_info:
            path = "/" + http_request.match_info["path"]
            query = http_request.query_string
            path = f"{path}?{query}" if query else path
        content_type = http_request.headers.get("Content-Type", "application/json")
        return _dispatch.Request(
            request_id=request_id,
            account=account,
            target=target,
            method=http_request.method,
            path=path,
            headers={"Content-Type": content_type},
            body=body,
            deadline=time.monotonic() + self.settings.request_timeout_s,
            repeatable=repeatable,
            idempotency_key=http_request.headers.get(IDEMPOTENCY_HEADER, ""),
            priority=self._priority(account),
        )

    def _refuse(self, refusal, request_id):
        self.metrics.count("refused_total", kind=str(refusal.kind))
        self.journal.record(
            request_id,
            "refused",
            refusal.config_version,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
            setting=refusal.setting,
        )
        _log.emit(
            base.Event.REQUEST_REFUSED,
            request_id=request_id,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
            setting=refusal.setting,
            config_version=refusal.config_version,
        )
        return _responses.refusal_response(refusal, request_id)

    def _priority(self, account):
        order = self.holder.current_.document.client_accounts.get(account)
        return order.priority if order else 0

    def _version(self):
        return self.holder.current_.number

    def _not_found(self, what):
        return base.Refusal(
            base.RefusalKind.NOT_FOUND,
            f"{what} is unknown",
            "Use a configured name; GET /v1/models lists the models",
            config_version=self._version(),
        )

    def _malformed(self):
        return base.Refusal(
            base.RefusalKind.BAD_REQUEST,
            "the body is not a JSON object with a model",
            'Send a JSON object with a "model" name',
            config_version=self._version(),
        )

    def _too_large(self):
        return base.Refusal(
            base.RefusalKind.TOO_LARGE,
            f"the body is over {self.settings.max_body_bytes} bytes",
            "Send a smaller body",
            config_version=self._version(),
        )
