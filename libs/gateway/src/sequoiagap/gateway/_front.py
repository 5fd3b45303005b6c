"""HTTP server for callers: routing, key checks, request bodies and responses."""

import asyncio
import math
import time

from aiohttp import web

from sequoiagap import base, routes
from sequoiagap.gateway import (
    _answer_memory,
    _attempt_result,
    _dispatch,
    _headers,
    _refusals,
    _request,
    _request_log,
    _stream_sink,
)

BODY_TIMEOUT_S = 10.0
MAX_KEEPALIVE_S = 75.0
DEFAULT_TIMEOUT_S = 30.0
BLOCK_TIMEOUT_S = 15.0  # for a caller to read one block of a large answer
REFUSE_AFTER_STOP_S = 2.6  # by then the balancer has stopped sending new callers here


class Front:
    """Authenticates, routes and answers callers' requests.

    :param state: object with ``table``, ``pool``, ``freshness`` in force.
    :param Dispatcher dispatcher: runs requests.
    :param Dialect dialect: names of headers.
    :param base.Metrics metrics: metrics of the process.
    :param random.Random random_state: splits requests among a route's services.

    :ivar int in_flight_: requests in flight.
    :ivar float stopping_since_: when shutdown began, monotonic seconds, or ``None``.
    :ivar float latest_deadline_: when all requests must have ended, monotonic seconds;
        infinity unless the process shuts down.
    """

    def __init__(self, state, dispatcher, dialect, metrics, random_state):
        self.state = state
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.metrics = metrics
        self.random_state = random_state
        self.in_flight_ = 0
        self.stopping_since_ = None
        self.latest_deadline_ = math.inf
        self._request_log = _request_log.RequestLog(state, metrics)
        self._idle = asyncio.Event()
        self._idle.set()

    def server(self):
        """Return the HTTP server that listens for callers.

        :rtype: aiohttp.web.Server
        """
        return web.Server(
            self.handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            keepalive_timeout=MAX_KEEPALIVE_S,
            auto_decompress=False,  # a body is forwarded as it was sent
            access_log=None,
        )

    def begin_stop(self, now, latest_deadline):
        """Prepare for shutdown: no request may last longer than the process.

        :param float now: monotonic time in seconds.
        :param float latest_deadline: when all requests must have ended, monotonic
            seconds.
        """
        self.stopping_since_ = now
        self.latest_deadline_ = latest_deadline
        self.dispatcher.limit_deadlines(latest_deadline)

    async def wait_idle(self, timeout_s):
        """Wait until no request is in flight.

        :param float timeout_s: longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(max(timeout_s, 0.0)):
                await self._idle.wait()
        except TimeoutError:
            return

    async def handle(self, http_request):
        """Return the response to one request."""
        self.in_flight_ += 1
        self._idle.clear()
        try:
            response = await self._answer(http_request)
        finally:
            self.in_flight_ -= 1
            if not self.in_flight_:
                self._idle.set()
        should_close = (
            self.stopping_since_ is not None or self.dispatcher.reachability.is_lost()
        )
        if should_close and not response.prepared:
            response.force_close()
        return response

    async def _answer(self, http_request):
        began = time.monotonic()
        request_id = ""
        try:
            head = self.dialect.read_request(http_request.headers)
            request_id = head.request_id
            request = await self._admit(http_request, head, began)
        except RefusedError as error:
            return self._refuse(error.refusal, request_id, began)
        except ValueError as error:
            refusal = base.Refusal(
                base.RefusalKind.BAD_REQUEST, str(error), "Correct the named header"
            )
            return self._refuse(refusal, request_id, began)
        sink = _stream_sink.StreamSink(http_request)
        with request.resources:
            try:
                result = await self.dispatcher.dispatch(request, sink)
                return await self._finish(http_request, request, sink, result, began)
            except (asyncio.CancelledError, ConnectionError) as error:
                self._request_log.record_caller_left(request, sink, began, error)
                raise

    async def _admit(self, http_request, head, began):
        table = self.state.table
        if not head.request_id:
            raise RefusedError(_bad_request("the request id header is missing"))
        if not table.version:
            raise RefusedError(self._not_ready("no configuration has been loaded yet"))
        self._check_stopping(began)
        path = http_request.raw_path
        bare_path = path.partition("?")[0]
        route = table.find_route(http_request.headers.get("Host", ""), bare_path)
        if route is None:
            raise RefusedError(self._unknown("no route matches host and path"))
        account = self._check_key(table, route, head)
        body = await self._read_body(http_request)
        timeout_s = route.timeout_s or DEFAULT_TIMEOUT_S
        if head.deadline_s is not None:
            timeout_s = min(timeout_s, head.deadline_s)
        deadline = began + timeout_s
        if not route.is_idempotent and deadline > self.latest_deadline_:
            raise RefusedError(_stopping())  # its outcome might stay unknown
        request = _request.Request(
            request_id=head.request_id,
            route=route,
            service=self._pick_service(route),
            account=account.name if account else "",
            needs_key=account is not None,
            method=http_request.method,
            path=path,
            headers=http_request.headers,
            body=body,
            arrived_at=began,
            deadline=min(deadline, self.latest_deadline_),
            head=head,
        )
        self._request_log.record_admitted(request, timeout_s)
        return request

    def _check_key(self, table, route, head):
        """Return the client account, or ``None`` if the request needs none."""
        if not table.needs_keys:
            return None
        account = table.find_account(head.key) if head.key else None
        if account is None and not route.is_public:
            raise RefusedError(self._unknown("the key is unknown", is_key=True))
        if account is not None and not self._is_fresh():
            if route.is_public:
                return None
            raise RefusedError(_refusals.key_not_proved(self._retry_after()))
        return account

    def _check_stopping(self, now):
        since = self.stopping_since_
        if since is not None and now - since >= REFUSE_AFTER_STOP_S:
            raise RefusedError(_stopping())

    async def _read_body(self, http_request):
        if http_request.headers.get("Expect", "").lower() == "100-continue":
            http_request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if not http_request.body_exists:
            return b""
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await http_request.read()
        except TimeoutError as error:
            refusal = base.Refusal(
                base.RefusalKind.REQUEST_TIMEOUT,
                "the body was not received in time",
                "Send the request again",
            )
            raise RefusedError(refusal) from error
        except web.HTTPRequestEntityTooLarge as error:
            refusal = base.Refusal(
                base.RefusalKind.TOO_LARGE,
                f"the body exceeds {self.state.table.limits.max_body_bytes} bytes",
                "Send a smaller body",
            )
            raise RefusedError(refusal) from error
        except web.RequestPayloadError as error:
            refusal = _bad_request("the body is malformed")
            raise RefusedError(refusal) from error

    def _pick_service(self, route):
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        (picked,) = self.random_state.choices(route.targets, weights)
        return picked.service

    async def _finish(self, http_request, request, sink, result, began):
        if isinstance(result, base.Refusal):
            if sink.started:
                self._request_log.record_cut(request, result, began)
                sink.abort()
                return sink.response_
            return self._refuse(result, request.request_id, began)
        if isinstance(result, _attempt_result.Answer) and sink.started:
            sink.abort()
        elif isinstance(result, _attempt_result.Answer):
            sink.response_ = await _write_answer(http_request, result)
        else:
            await sink.wait_written()
            await sink.response_.write_eof()
        self._request_log.record_answered(request, result, began)
        return sink.response_

    def _refuse(self, refusal, request_id, began):
        self._request_log.record_refused(refusal, request_id, began)
        status = refusal.http_status
        return web.json_response(
            refusal.to_document(request_id),
            status=status,
            headers=self.dialect.write_refusal(request_id, refusal),
        )

    def _unknown(self, message, is_key=False):
        """Return the refusal of an unknown route or key.

        While the configuration may be stale, a newer one may contain the route or key;
        the refusal then asks the caller to retry.
        """
        if not self._is_fresh():
            return self._not_ready(f"{message}, but the configuration may be stale")
        kind = base.RefusalKind.NOT_FOUND
        if is_key:
            kind = base.RefusalKind.UNAUTHENTICATED
        return base.Refusal(kind, message, "Use a configured host, path and key")

    def _not_ready(self, message):
        return base.Refusal(
            base.RefusalKind.NOT_READY,
            message,
            "Send the request again after the given delay",
            retry_after_s=self._retry_after(),
        )

    def _is_fresh(self):
        return self.state.freshness.is_fresh(routes.suspend_aware_time())

    def _retry_after(self):
        return _dispatch.RETRY_AFTER_S * (1.0 + self.random_state.random())

    def _make_request(self, message, payload, protocol, writer, task):
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self.state.table.limits.max_body_bytes,
        )


async def _write_answer(http_request, answer):
    """Return the response with an answer; a large one is written block by block."""
    headers = _headers.end_to_end(answer.headers)
    if len(answer.body) <= _answer_memory.BLOCK_BYTES:
        return web.Response(
            status=answer.status, headers=headers, body=answer.body.to_bytes()
        )
    response = web.StreamResponse(status=answer.status, headers=headers)
    response.content_length = len(answer.body)
    await response.prepare(http_request)
    for block in answer.body:
        await _write_block(http_request, response, block)
    await response.write_eof()
    return response


async def _write_block(http_request, response, block):
    """Write a block; give up a caller that does not read, as its answer takes memory.

    :raises ConnectionError: if the caller does not read it in time.
    """
    try:
        async with asyncio.timeout(BLOCK_TIMEOUT_S):
            await response.write(block)
    except TimeoutError as error:
        if http_request.transport is not None:
            http_request.transport.abort()
        raise ConnectionResetError("the caller does not read its answer") from error


class RefusedError(Exception):
    """A request that is refused before it is sent to any endpoint.

    :param sequoiagap.base.Refusal refusal: the response for the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


def _stopping():
    return base.Refusal(
        base.RefusalKind.DRAINING,
        "this entry is shutting down",
        "Send the request again over a new connection",
        retry_after_s=0.01,
    )


def _bad_request(message):
    return base.Refusal(base.RefusalKind.BAD_REQUEST, message, "Correct the request")
