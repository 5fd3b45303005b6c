"""HTTP API for callers: models, services and explanations of requests."""

import asyncio
import dataclasses
import time

from aiohttp import web

from sequoiagap import base
from sequoiagap.entry import (
    _auth,
    _decision_log,
    _dispatch,
    _request_parser,
    _responses,
)

ABORT_WAIT_S = 2.0
STREAM_CHECK_INTERVAL_S = 0.25

_SERVICE_PATH_PARTS = 3

CONFIGURED_NAME_REMEDY = "Use a configured name; GET /v1/models lists the models"

_log = base.get_logger("callers")


class CallersApi:
    """Handlers of the HTTP API for callers.

    :param sequoiagap.settings.EntrySettings settings: validated settings.
    :param EntryAdmission dispatcher: admits and executes requests.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param KeyRing keys: keys of client accounts and operators.
    :param sequoiagap.outcome.Journal journal: records decisions for ``explain``.
    :param sequoiagap.base.Metrics metrics: metrics of the process.

    :ivar int in_flight_: number of requests in flight.
    :ivar bool draining_: whether new requests are refused.
    """

    def __init__(self, settings, dispatcher, holder, keys, journal, metrics):
        self.settings = settings
        self.dispatcher = dispatcher
        self.holder = holder
        self.keys = keys
        self.journal = journal
        self.metrics = metrics
        self.in_flight_ = 0
        self.draining_ = False
        self._decisions = _decision_log.DecisionLog(journal, _log)
        self._sinks = set()
        self._closing_sinks = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def add_routes(self, router):
        """Register the handlers with a router.

        :param aiohttp.web.UrlDispatcher router: router of the application.
        """
        router.add_get("/v1/models", self.list_models)
        router.add_post("/v1/chat/completions", self.complete)
        router.add_post("/v1/completions", self.complete)
        router.add_route("*", "/services/{service}/{path:.*}", self.call_service)
        router.add_get("/v1/explain/{request_id}", self.explain)

    async def drain(self, timeout_s):
        """Refuse new requests and wait until the running ones have ended.

        After the timeout the remaining ones are aborted, each with a refusal that
        states whether it may have executed.

        :param float timeout_s: longest wait, in seconds.
        """
        self.draining_ = True
        await self._wait_idle(timeout_s)
        self.dispatcher.abort_all()
        await self._wait_idle(ABORT_WAIT_S)

    async def keep_streams_alive(self):
        """Send keep-alives on idle streams and disconnect stalled callers.

        The loop runs until it is cancelled.
        """
        while True:
            await asyncio.sleep(STREAM_CHECK_INTERVAL_S)
            now = time.monotonic()
            for sink in list(self._sinks):
                sink.drop_stalled(now)
                await sink.keep_alive()
            for sink in list(self._closing_sinks):
                if not sink.drop_stalled(now):
                    self._closing_sinks.discard(sink)

    async def _wait_idle(self, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return

    async def list_models(self, http_request):
        """Handle ``GET /v1/models``."""
        if self.keys.find_account(http_request.headers) is None:
            return self._refuse(_auth.unauthenticated(self._config_version()), "")
        models = self.holder.current_.document.models
        items = [{"id": name, "object": "model"} for name in sorted(models)]
        return web.json_response({"object": "list", "data": items})

    async def explain(self, http_request):
        """Handle ``GET /v1/explain/{request_id}``.

        Only operators and the client account that sent the request may read it.
        """
        request_id = http_request.match_info["request_id"]
        account = self.keys.find_account(http_request.headers)
        operator = self.keys.find_operator(http_request.headers)
        if account is None and operator is None:
            # The id is left out, as an unauthenticated call must not add to the record.
            return self._refuse(_auth.unauthenticated(self._config_version()), "")
        found = self.journal.explain(request_id, None if operator else account)
        if found is None:
            remedy = "Query the entry that received it, with the key that sent it"
            refusal = self._not_found_refusal(f"request {request_id}", remedy)
            return self._refuse(refusal, "")
        return web.json_response(found)

    async def complete(self, http_request):
        """Handle ``POST /v1/chat/completions`` and ``/v1/completions``."""
        return await self._serve(http_request, self._find_model)

    async def call_service(self, http_request):
        """Handle all methods of ``/services/{service}/...``."""
        return await self._serve(http_request, self._find_service)

    async def _serve(self, http_request, find_target):
        """Authenticate the caller, validate the request and execute it."""
        request_id = base.new_id("req")
        account = self.keys.find_account(http_request.headers)
        self.journal.open(request_id, account or "")
        if account is None:
            return self._refuse(
                _auth.unauthenticated(self._config_version()), request_id
            )
        if self.draining_:
            return self._refuse(self._draining_refusal(), request_id)
        try:
            intake = await _request_parser.read(http_request, self.settings)
            target = find_target(http_request, intake)
        except _request_parser.IntakeError as error:
            return self._refuse(error.refusal, request_id)
        request = self._build_request(http_request, request_id, account, target, intake)
        sink = _responses.ResponseSink(
            http_request, request_id, self.settings.caller_stall_s
        )
        self._register(sink)
        try:
            return await self._run(request, sink)
        except (asyncio.CancelledError, OSError):
            self._record_caller_left(request_id, sink)
            raise
        finally:
            self._unregister(sink)

    def _find_model(self, http_request, intake):
        model = _request_parser.read_model(intake.body)
        found = self.holder.current_.document.models.get(model)
        if found is None:
            raise _request_parser.IntakeError(
                self._not_found_refusal(f"model {model!r}")
            )
        return _Target(model, True, found.repeatable, f"models.{model}.repeatable")

    def _find_service(self, http_request, intake):
        name = http_request.match_info["service"]
        found = self.holder.current_.document.services.get(name)
        if found is None:
            raise _request_parser.IntakeError(
                self._not_found_refusal(f"service {name!r}")
            )
        return _Target(name, False, found.repeatable, f"services.{name}.repeatable")

    async def _run(self, request, sink):
        self._record_admitted(request)
        started_at = time.monotonic()
        result = await self.dispatcher.dispatch(request, sink)
        elapsed = time.monotonic() - started_at
        self.metrics.observe("request_seconds", elapsed, target=request.target)
        if result.is_error():
            return await self._respond_refused(sink, result.error, request.request_id)
        self.metrics.count("answered_total")
        self._decisions.record(
            base.Event.REQUEST_ANSWERED,
            request_id=request.request_id,
            config_version=self._config_version(),
        )
        return await sink.finish()

    def _record_admitted(self, request):
        self.metrics.count("admitted_total", account=request.account)
        self._decisions.record(
            base.Event.REQUEST_ADMITTED,
            request_id=request.request_id,
            config_version=self._config_version(),
            account=request.account,
            target=request.target,
            repeatable=request.repeatable,
            setting=request.setting,
        )

    def _record_caller_left(self, request_id, sink):
        self.metrics.count("caller_left_total")
        reason = "the caller closed the connection or its host failed"
        if sink.caller_stalled_:
            reason = f"the caller read nothing for {sink.stall_s} s"
        self._decisions.record(
            base.Event.CALLER_LEFT,
            request_id=request_id,
            config_version=self._config_version(),
            reason=reason,
            setting="caller_stall_s" if sink.caller_stalled_ else "",
        )

    def _register(self, sink):
        self.in_flight_ += 1
        self._sinks.add(sink)
        self._idle.clear()

    def _unregister(self, sink):
        self.in_flight_ -= 1
        self._sinks.discard(sink)
        self._closing_sinks.add(sink)  # the end of the answer may still be unsent
        if self.in_flight_ == 0:
            self._idle.set()

    async def _respond_refused(self, sink, refusal, request_id):
        if not sink.started:
            return self._refuse(refusal, request_id)
        self.metrics.count("cut_total")
        self._decisions.record(
            base.Event.REQUEST_CUT,
            request_id=request_id,
            config_version=refusal.config_version,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
        )
        return await sink.abort(refusal)

    def _build_request(self, http_request, request_id, account, target, intake):
        return _dispatch.Request(
            request_id=request_id,
            account=account,
            target=target.name,
            method=http_request.method,
            path=_endpoint_path(http_request),
            headers=_request_parser.forwarded_headers(http_request.headers),
            body=intake.body,
            deadline=time.monotonic() + intake.timeout_s,
            repeatable=target.repeatable,
            idempotency_key=intake.idempotency_key,
            setting=target.setting,
            for_model=target.is_model,
        )

    def _refuse(self, refusal, request_id):
        if not refusal.config_version:
            refusal = dataclasses.replace(
                refusal, config_version=self._config_version()
            )
        self.metrics.count("refused_total", kind=str(refusal.kind))
        self._decisions.record(
            base.Event.REQUEST_REFUSED,
            request_id=request_id,
            config_version=refusal.config_version,
            kind=str(refusal.kind),
            outcome=str(refusal.outcome),
            setting=refusal.setting,
        )
        return _responses.refusal_response(refusal, request_id)

    def _config_version(self):
        return self.holder.current_.number

    def _not_found_refusal(self, subject, remedy=CONFIGURED_NAME_REMEDY):
        return base.Refusal(
            base.RefusalKind.NOT_FOUND,
            f"{subject} is unknown",
            remedy,
            config_version=self._config_version(),
        )

    def _draining_refusal(self):
        return base.Refusal(
            base.RefusalKind.DRAINING,
            "this entry is shutting down",
            "Send the request again over a new connection",
            retry_after_s=1.0,
            config_version=self._config_version(),
        )


@dataclasses.dataclass(frozen=True)
class _Target:
    name: str
    is_model: bool
    repeatable: bool
    setting: str


def _endpoint_path(http_request):
    """Return the path and query of the request to the endpoint."""
    if "path" not in http_request.match_info:
        return http_request.path_qs
    path = http_request.rel_url.raw_path.split("/", _SERVICE_PATH_PARTS)[-1]
    query = http_request.rel_url.raw_query_string
    return f"/{path}?{query}" if query else f"/{path}"
