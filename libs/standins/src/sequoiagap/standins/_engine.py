"""Stand-in for a model engine with batched decoding, a cold start and overload."""

import asyncio
import json
import time
import uuid

from aiohttp import web

from sequoiagap.standins import (
    _engine_orders,
    _executions,
    _faults,
    _prefixes,
    _streams,
)

OVERLOADED_STATUS = 500
WRONG_ROLE_STATUS = 503
FULL_ROLE = "both"
BYTES_PER_KB = 1024


class EngineStandIn:
    """Simulates a model engine with an OpenAI-style API.

    A request above the current capacity overloads the engine: it then answers every
    new request with status 500 until it has recovered.

    :param float step_s: duration of one decoding step, in seconds.
    :param int tokens: tokens of an answer if the request has no ``max_tokens``.
    :param int cold_capacity: concurrent requests that it can serve while cold.
    :param int capacity: concurrent requests that it can serve when warm.
    :param float cold_s: time until it is warm after a start, in seconds.
    :param float load_lag_s: maximum age of its load report, in seconds.
    :param float recover_s: time for which it fails after an overload, in seconds.
    :param float cold_slowdown: factor on prefill and decoding times while cold.
    :param float prefill_s_per_kb: prefill time in seconds per 1024 bytes of prompt.
    :param int cached_prefixes: capacity of the prefix cache, in blocks.
    :param bool holds_streams: whether it continues streams whose connection
        broke, so that they can be resumed at an offset or cancelled.
    :param int port: TCP port; 0 selects a free one.
    :param bool checks_fencing: whether it rejects orders with an old fencing number.
    :param float order_s: execution time of an order, in seconds.
    """

    def __init__(
        self,
        step_s=0.005,
        tokens=8,
        cold_capacity=2,
        capacity=32,
        cold_s=1.0,
        load_lag_s=0.2,
        recover_s=1.0,
        cold_slowdown=1.0,
        prefill_s_per_kb=0.0,
        cached_prefixes=64,
        holds_streams=False,
        port=0,
        checks_fencing=False,
        order_s=0.05,
    ):
        self.step_s = step_s
        self.tokens = tokens
        self.cold_capacity = cold_capacity
        self.capacity = capacity
        self.cold_s = cold_s
        self.load_lag_s = load_lag_s
        self.recover_s = recover_s
        self.cold_slowdown = cold_slowdown
        self.prefill_s_per_kb = prefill_s_per_kb
        self.cached_prefixes = cached_prefixes
        self.holds_streams = holds_streams
        self.port = port
        self.streams_ = _streams.HeldStreams()
        self.faults_ = _faults.Faults()
        self.executions_ = _executions.Executions()
        self.orders_ = _engine_orders.EngineOrders(checks_fencing, order_s)
        self.overload_count_ = 0
        self.peak_in_flight_ = 0
        self.peak_cold_ = 0
        self.request_count_ = 0
        self.wrong_role_count_ = 0
        self.in_flight_ = 0
        self._starts = 0
        self._start_prefix = uuid.uuid4().hex[:8]
        self._silently_cold_until = 0.0
        self._overloaded_until = 0.0
        self._reported = (0.0, 0)
        self._start()

    def add_routes(self, router):
        """Register the HTTP routes.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_post("/v1/chat/completions", self._on_complete)
        router.add_post("/v1/completions", self._on_complete)
        router.add_get("/load", self._on_load)
        router.add_get("/stats", self._on_stats)
        router.add_post("/restart", self._on_restart)
        router.add_post("/chill", self._on_chill)
        self.streams_.add_routes(router)
        self.executions_.add_routes(router)
        self.orders_.add_routes(router)
        self.faults_.add_routes(router)

    def _start(self):
        self._starts += 1
        self._started_at = time.monotonic()
        self._prefixes = _prefixes.PrefixCache(self.cached_prefixes)

    def _start_id(self):
        return f"start-{self._start_prefix}-{self._starts}"

    def _reports_cold(self):
        return time.monotonic() - self._started_at < self.cold_s

    def _is_cold(self):
        return self._reports_cold() or time.monotonic() < self._silently_cold_until

    def _role(self):
        """Return the current role; requests that run when it changes are ended."""
        order = self.orders_.state_by_kind.get("change_role", {})
        return order.get("role", FULL_ROLE)

    def _reject_wrong_role(self):
        self.wrong_role_count_ += 1
        return web.Response(status=WRONG_ROLE_STATUS, text="wrong role")

    async def _on_restart(self, request):
        self._start()
        return web.json_response({"start_id": self._start_id()})

    async def _on_chill(self, request):
        """Become cold without reporting it: neither start id nor load report change."""
        seconds = float((await request.json())["seconds"])
        self._silently_cold_until = time.monotonic() + seconds
        return web.json_response({"chilled_s": seconds})

    async def _on_load(self, request):
        await self.faults_.before_call()
        now = time.monotonic()
        if now - self._reported[0] >= self.load_lag_s:
            self._reported = (now, self.in_flight_)
        return web.json_response(
            {
                "start_id": self._start_id(),
                "cold": self._reports_cold(),
                "in_flight": self._reported[1],
                "role": self._role(),
            }
        )

    async def _on_stats(self, request):
        return web.json_response(
            {
                "fell_over": self.overload_count_,
                "peak_in_flight": self.peak_in_flight_,
                "peak_cold": self.peak_cold_,
                "arrived": self.request_count_,
                "misplaced": self.wrong_role_count_,
                "prefix_hits": self._prefixes.hits_,
                "prefix_misses": self._prefixes.misses_,
                "in_flight": self.in_flight_,
            }
        )

    async def _on_complete(self, request):
        await self.faults_.before_call()
        if self.holds_streams and _streams.RESUME_HEADER in request.headers:
            return await self._resume(request)
        body = await request.json()
        self.request_count_ += 1
        if self._role() != FULL_ROLE:
            return self._reject_wrong_role()
        start_headers = {"X-Start-Id": self._start_id()}
        limit = self.cold_capacity if self._is_cold() else self.capacity
        if self.in_flight_ >= limit and time.monotonic() >= self._overloaded_until:
            self.overload_count_ += 1
            self._overloaded_until = time.monotonic() + self.recover_s
        if time.monotonic() < self._overloaded_until:
            return web.Response(
                status=OVERLOADED_STATUS, text="fell over", headers=start_headers
            )
        self.executions_.record(request)
        self.in_flight_ += 1
        self.peak_in_flight_ = max(self.peak_in_flight_, self.in_flight_)
        if self._is_cold():
            self.peak_cold_ = max(self.peak_cold_, self.in_flight_)
        try:
            await self._prefill(body)
            return await self._answer(request, body)
        finally:
            self.in_flight_ -= 1

    async def _prefill(self, body):
        prompt = json.dumps(body.get("messages") or body.get("prompt") or "")
        unread = self._prefixes.read(prompt)
        seconds = unread / BYTES_PER_KB * self.prefill_s_per_kb
        if seconds:
            await asyncio.sleep(seconds * self._slowdown())

    def _slowdown(self):
        return self.cold_slowdown if self._is_cold() else 1.0

    async def _answer(self, request, body):
        count = int(body.get("max_tokens") or self.tokens)
        tokens = [f"token{i}" for i in range(count)]
        headers = {
            "X-Request-Id": self._answered_request_id(request),
            "X-Start-Id": self._start_id(),
        }
        if body.get("stream"):
            pad = "x" * int(body.get("pad", 0))
            return await self._stream(
                request, [token + pad for token in tokens], headers
            )
        await asyncio.sleep(count * self.step_s * self._slowdown())
        if self._role() != FULL_ROLE:
            return self._reject_wrong_role()
        await self._inject_fault()
        message = {"role": "assistant", "content": " ".join(tokens)}
        document = {"id": headers["X-Request-Id"], "choices": [{"message": message}]}
        return web.json_response(document, headers=headers)

    async def _stream(self, request, tokens, headers):
        async def produce(add):
            self.in_flight_ += self.holds_streams
            try:
                await self._decode(tokens, add)
            finally:
                self.in_flight_ -= self.holds_streams

        held = self.streams_.start(headers["X-Request-Id"], produce)
        try:
            return await self._send(request, held, headers, 0, len(tokens) // 2)
        finally:
            if not self.holds_streams:
                held.task.cancel()

    async def _resume(self, request):
        request_id = request.headers["X-Request-Id"]
        held = self.streams_.by_id.get(request_id)
        if held is None:
            return web.Response(status=404)
        offset = int(request.headers[_streams.RESUME_HEADER])
        headers = {"X-Request-Id": request_id}
        return await self._send(request, held, headers, offset, None)

    async def _decode(self, tokens, add):
        for token in tokens:
            await asyncio.sleep(self.step_s * self._slowdown())
            if self._role() != FULL_ROLE:
                self.wrong_role_count_ += 1
                return
            delta = {"choices": [{"delta": {"content": token + " "}}]}
            await add(f"data: {json.dumps(delta)}\n\n".encode())
        await add(b"data: [DONE]\n\n")

    async def _send(self, request, held, headers, offset, middle):
        """Send a held stream; inject faults before the event number ``middle``."""
        headers = headers | {"Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        while data := await held.read_from(offset):
            if middle is not None and held.data.count(b"data: ") > middle:
                middle = None
                await self._inject_fault(request)
            offset += len(data)
            await response.write(data)
        await response.write_eof()
        return response

    async def _inject_fault(self, request=None):
        if self.faults_.stall_s:
            await asyncio.sleep(self.faults_.stall_s)
        if request is not None and self.faults_.consume("cut_answers"):
            request.transport.abort()

    def _answered_request_id(self, request):
        own = request.headers.get("X-Request-Id", "")
        return "att-of-another" if self.faults_.crossed else own
