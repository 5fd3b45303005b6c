"""Stand-in for the engines of a rank group, which run their steps together."""

import asyncio
import base64
import time

import aiohttp
from aiohttp import web

from sequoiagap import experts
from sequoiagap.standins import _rank_engine, _traces

POLL_S = 0.002
TRACE_STEPS = 1_000_000
TRACE_INTERVAL = 200


class RankGroupStandIn:
    """Simulates a rank group: each step needs all ranks and records the map of each.

    The duration of a step follows from the expert map, the trace and the rank speeds.

    :param list shape: numbers of layers, ranks, experts and slots per rank.
    :param float step_s: duration of a step with balanced load, in seconds.
    :param str trace: name of the expert popularity trace.
    :param str mode: how an armed map takes effect in its engines.
    :param bool checks_fencing: whether its engines reject orders of an older epoch.
    :param str weights_url: URL of the weight store; empty to load weights at once.
    :param int expert_bytes: weights of one expert of one layer, in bytes.
    :param bool starts_with_map: whether the engines start with the initial map.
    :param int tokens: number of steps per request.
    :param int port: TCP port; 0 selects a free one.

    :ivar int violations_: number of steps in which ranks used different maps.
    """

    def __init__(
        self,
        shape=(2, 3, 6, 3),
        step_s=0.005,
        trace="steady",
        mode="hold_at_step",
        checks_fencing=True,
        weights_url="",
        expert_bytes=1000,
        starts_with_map=True,
        tokens=4,
        port=0,
    ):
        self.shape = experts.MapShape(*shape)
        self.step_s = step_s
        self.weights_url = weights_url
        self.expert_bytes = expert_bytes
        self.tokens = tokens
        self.port = port
        initial = experts.initial_map(self.shape)
        first = experts.MapRef(1, initial.digest, 0) if starts_with_map else None
        self.maps_ = {initial.digest: initial}
        self.engines_ = [
            _rank_engine.RankEngine(mode, checks_fencing, first)
            for _ in range(self.shape.ranks)
        ]
        self.trace_ = _traces.TRACES.get(trace)(
            self.shape.layers,
            self.shape.experts,
            self.shape.ranks,
            TRACE_STEPS,
            TRACE_INTERVAL,
            random_state=1,
        )
        self.slow_factors_ = [1.0] * self.shape.ranks
        self.suspended_ = [False] * self.shape.ranks
        self.busy_s_ = [0.0] * self.shape.ranks
        self.counts_ = {}
        self.violations_ = 0
        self.versions_used_ = []
        self.skews_ = []
        self.completions_ = 0
        self.longest_wait_s_ = 0.0
        self.blocked_since_ = time.monotonic()
        self._task = None

    def add_routes(self, router):
        """Register the HTTP routes; each rank has its own path prefix.

        :param aiohttp.web.UrlDispatcher router: router to add them to.
        """
        router.add_get("/group", self._on_group)
        router.add_post("/ranks/{rank}/faults", self._on_faults)
        for method, path, handler in (
            ("GET", "/load", self._on_load),
            ("GET", "/group", self._on_view),
            ("POST", "/group/order", self._on_order),
            ("POST", "/group/stage", self._on_stage),
            ("POST", "/v1/chat/completions", self._on_complete),
        ):
            router.add_route(
                method, "/ranks/{rank}" + path, self._wait_while_suspended(handler)
            )
        self._task = asyncio.get_running_loop().create_task(self._step_forever())

    async def _step_forever(self):
        while True:
            if not self._can_step():
                await asyncio.sleep(POLL_S)
                continue
            now = time.monotonic()
            self.longest_wait_s_ = max(self.longest_wait_s_, now - self.blocked_since_)
            duration_s = self._step()
            await asyncio.sleep(duration_s)
            self.blocked_since_ = time.monotonic()

    def _can_step(self):
        return all(e.can_step() for e in self.engines_) and not any(self.suspended_)

    def _step(self):
        used = [engine.current() for engine in self.engines_]
        if len({(ref.version, ref.digest) for ref in used}) > 1:
            self.violations_ += 1
        if self.versions_used_[-1:] != [used[0].version]:
            self.versions_used_.append(used[0].version)
            self.counts_ = {}
        step = self.engines_[0].step_
        shares = self.trace_.shares(step % TRACE_STEPS)
        speeds = [1.0 / slowness for slowness in self.slow_factors_]
        rows = self.maps_[used[0].digest].rows
        slots = self.shape.slots
        times = [
            experts.rank_times(row, loads, speeds, slots)
            for row, loads in zip(rows, shares, strict=True)
        ]
        self._count_tokens(rows, shares)
        to_s = self.step_s * self.shape.ranks / self.shape.layers
        for rank in range(self.shape.ranks):
            self.busy_s_[rank] += sum(layer[rank] for layer in times) * to_s
            self.engines_[rank].step_ += 1
        self.skews_.append(experts.step_skew(times))
        return sum(max(layer) for layer in times) * to_s

    def _count_tokens(self, rows, shares):
        for layer, (row, loads) in enumerate(zip(rows, shares, strict=True)):
            copies = [0] * self.shape.experts
            for expert in row:
                copies[expert] += 1
            for slot, expert in enumerate(row):
                key = (layer, slot)
                tokens = loads[expert] / copies[expert] * 10_000
                self.counts_[key] = self.counts_.get(key, 0.0) + tokens

    def _wait_while_suspended(self, handler):
        async def handle(request):
            rank = int(request.match_info["rank"])
            while self.suspended_[rank]:  # noqa: ASYNC110 - a fault switch
                await asyncio.sleep(POLL_S)
            return await handler(request, rank)

        return handle

    async def _on_group(self, request):
        return web.json_response(
            {
                "step": self.engines_[0].step_,
                "violations": self.violations_,
                "versions_used": self.versions_used_,
                "skews": self.skews_[-200:],
                "longest_wait_s": self.longest_wait_s_,
                "can_step": self._can_step(),
                "completions": self.completions_,
                "committed": [e.committed_.to_wire() for e in self.engines_],
            }
        )

    async def _on_faults(self, request):
        rank = int(request.match_info["rank"])
        switches = await request.json()
        self.suspended_[rank] = switches.get("frozen", self.suspended_[rank])
        self.slow_factors_[rank] = switches.get("slowness", self.slow_factors_[rank])
        if switches.get("restart"):
            self.engines_[rank].restart()
        if switches.get("lose_staged"):
            self.engines_[rank].lose_staged()
        return web.json_response({})

    async def _on_load(self, request, rank):
        start_id = f"start-{self.engines_[rank].starts_}"
        return web.json_response({"start_id": start_id, "cold": False, "in_flight": 0})

    async def _on_view(self, request, rank):
        engine = self.engines_[rank]
        view = engine.view()
        blocked = not self._can_step()
        waited_s = time.monotonic() - self.blocked_since_ if blocked else 0.0
        return web.json_response(
            {
                "start_id": f"start-{engine.starts_}",
                "step": view.step,
                "previous": view.previous.to_wire(),
                "committed": view.committed.to_wire(),
                "armed_epoch": view.armed_epoch,
                "armed": view.armed.to_wire(),
                "staged": view.staged,
                "fence": view.fence,
                "missing": engine.missing(),
                "blocked_s": waited_s,
                "busy_s": self.busy_s_[rank],
                "map_used": self.versions_used_[-1] if self.versions_used_ else 0,
            }
            | ({"counts": self._slot_counts(rank)} if request.query else {})
        )

    def _slot_counts(self, rank):
        slots = range(rank * self.shape.slots, (rank + 1) * self.shape.slots)
        return [
            int(self.counts_.get((layer, slot), 0))
            for layer in range(self.shape.layers)
            for slot in slots
        ]

    async def _on_order(self, request, rank):
        body = await request.json()
        order = experts.Order(
            experts.OrderKind(body["kind"]),
            body["epoch"],
            experts.MapRef.from_wire(body["target"]),
            experts.MapRef.from_wire(body["previous"]),
        )
        try:
            self.engines_[rank].apply_order(order)
        except _rank_engine.OrderRefused as error:
            return web.json_response({"error": str(error)}, status=409)
        return web.json_response({})

    async def _on_stage(self, request, rank):
        body = await request.json()
        content = base64.b64decode(body["content"])
        new_map = experts.ExpertMap.from_bytes(self.shape, content)
        engine = self.engines_[rank]
        starts = engine.starts_
        if new_map.digest not in engine.weights_:
            error = await self._load_weights(rank, new_map)
            if error or engine.starts_ != starts:
                return web.json_response({"error": error or "restarted"}, status=503)
        self.maps_[new_map.digest] = new_map
        engine.stage(new_map.digest)
        return web.json_response({})

    async def _load_weights(self, rank, new_map):
        """Load missing weights of a rank; return an error text, empty on success."""
        if not self.weights_url:
            return ""
        current = self.engines_[rank].current()
        if current is None:
            count = self.shape.layers * self.shape.slots
        else:
            moves = experts.moves_between(self.maps_[current.digest], new_map)
            count = sum(move.rank == rank for move in moves)
        url = f"{self.weights_url}/weights/{count * self.expert_bytes}"
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                return "" if response.status == 200 else await response.text()
        except aiohttp.ClientError as error:
            return repr(error)

    async def _on_complete(self, request, rank):
        self.completions_ += 1
        last_step = self.engines_[rank].step_ + self.tokens
        while self.engines_[rank].step_ < last_step:  # noqa: ASYNC110 - decoding
            await asyncio.sleep(POLL_S)
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        return web.json_response({"choices": [{"message": {}}]}, headers=headers)
