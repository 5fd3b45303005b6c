"""Stand-in for the servers of a service, plain or streaming."""

import asyncio
import json
import time

from standins_2 import http

BEAT_S = 1.2


class Server:
    """A server that registers itself in the store and serves requests.

    :param str name: its id.
    :param str service: its service.
    :param str zone: its zone.
    :param str address: loopback address to listen on.
    :param int port: its port.
    :param Store store: where it registers.
    :param Record record: where arrivals and runs are written.

    :ivar int events: events of each stream.
    :ivar int first_id: id of a stream's first event.
    :ivar int event_bytes: size of each event; 0 for short ones.
    :ivar float event_s: time between two events, in seconds.
    :ivar int answer_bytes: size of a plain answer's body; 0 for a short document.
    :ivar float work_s: time before an answer begins, in seconds.
    :ivar str state: its state, as registered.
    :ivar float left_at: when the store acknowledged that it drains, or ``None``.
    :ivar str limit: rate limit that it names in its answers; empty for none.
    :ivar float named_at: when it first named one, monotonic seconds, or ``None``.
    :ivar str group: name of its group.
    :ivar int rank: its rank there.
    :ivar int group_size: number of ranks of the group.
    :ivar set crashing_parts: prompt parts that crash it as it begins to answer.
    :ivar set crashing_paths: paths that crash it as it begins to run them.
    :ivar float back_s: time after which it is back, in seconds.
    :ivar list arrivals: time and request of each arrival.
    :ivar list runs: the same of each request that began to run.
    """

    def __init__(self, name, service, zone, address, port, store, record):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.port = port
        self.store = store
        self.record = record
        self.events = 10
        self.event_s = 0.02
        self.work_s = 0.03
        self.answer_bytes = 0
        self.event_bytes = 0
        self.first_id = 1
        self.state = "ready"
        self.left_at = None
        self.limit = ""
        self.named_at = None
        self.group = f"group-{name}"
        self.rank = 0
        self.group_size = 1
        self.slots = 6
        self.crashing_parts = set()
        self.crashing_paths = set()
        self.back_s = 4.0
        self.arrivals = []
        self.runs = []
        self.crashes = []
        self.born = 0
        self._starts = 0
        self._server = None
        self._writers = set()
        self._beat = None
        self._running = 0
        self._tasks = set()

    @property
    def instance(self):
        """Id of the present start."""
        return f"{self.name}-{self._starts}"

    async def start(self):
        """Start a new incarnation and register it."""
        self._starts += 1
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self._sequence = 0
        self._beat = asyncio.ensure_future(self._beat_forever())

    async def leave(self, serves_on_s):
        """Report that it drains, serve on for a while, and end.

        :param float serves_on_s: time until it ends, in seconds.
        """
        self.state = "draining"
        self.register()
        self.left_at = time.monotonic()
        self.record.write("draining", server=self.instance)
        await asyncio.sleep(serves_on_s)
        await self.stop()
        self.store.remove("servers", self.instance)
        self.record.write("gone", server=self.instance)

    async def stop(self):
        """End for good."""
        for task in (*self._tasks, self._beat):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def register(self):
        """Write its entry to the store."""
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"{self.address}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
        }
        self.store.put("servers", self.instance, entry, self.born)

    async def crash(self, part):
        """End all connections, refuse new ones, and be back after some seconds."""
        if self._server is None:
            return
        server, self._server = self._server, None
        self._beat.cancel()
        server.close()
        cut = self._running
        for writer in list(self._writers):
            writer.transport.abort()
        self.crashes.append(time.monotonic())
        self.record.write("crash", server=self.instance, part=part, also_cut=cut)
        await asyncio.sleep(self.back_s)
        self.store.remove("servers", self.instance)
        await self.start()
        self.record.write("back", server=self.instance)

    async def _beat_forever(self):
        while True:
            self.register()
            await asyncio.sleep(BEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await http.read_head(reader)) is not None:
                message = await http.read_body(reader, head)
                await self._answer(message, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message, writer):
        method, path, _ = message.first.split(" ")
        if path == "/health":
            writer.write(http.answer(200, [("Instance-Id", self.instance)]))
            return
        if path.startswith("/api/"):
            kind = [("Content-Type", "application/json")]
            body = json.dumps(self._describe(path)).encode()
            writer.write(http.answer(200, kind, body))
            return
        request_id = message.get("Request-Id")
        echo = [("Request-Id", request_id)]
        if message.get("Expect-Instance", self.instance) != self.instance:
            headers = [*echo, ("Instance-Id", self.instance)]
            writer.write(http.answer(421, headers))
            return
        self.arrivals.append((time.monotonic(), message))
        if self._running >= self.slots * 2:
            writer.write(http.answer(503, [*echo, ("Not-Executed", 1)]))
            return
        self.runs.append((time.monotonic(), message))
        self._running += 1
        self.record.write(
            "run",
            server=self.instance,
            id=request_id,
            method=method,
            path=path,
            tenant=message.get("Tenant"),
            bytes=len(message.body),
        )
        if path in self.crashing_paths:
            self._running -= 1
            self._tasks.add(asyncio.ensure_future(self.crash(path)))
            return
        try:
            await asyncio.sleep(self.work_s)
            await self._write_answer(message, path, echo, writer)
        finally:
            self._running -= 1

    def _describe(self, path):
        """Return what it tells of itself; its group has no other rank."""
        state = {"Name": self.group, "epoch": self._starts, "rank": self.rank}
        if path.startswith("/api/picked"):
            return {"step": len(self.runs), "epoch": self._starts, "Counts": []}
        return {
            "Stage": "both",
            "Models": [],
            "Busy": False,
            "Sequence": 0,
            "Waiting": 0,
            "Running": self._running,
            "KvUsed": 0,
            "KvTotal": 247000,
            "Handles": 0,
            "group": state | {"State": "open"},
            "size": self.group_size,
            "step": len(self.runs),
            "Map": 0,
            "Prepared": 0,
            "Armed": None,
            "held": 0,
            "pace": 1.0,
            "born": self.born,
        }

    async def _write_answer(self, message, path, echo, writer):
        parts = {
            part.partition(":")[0].strip()
            for part in message.get("Prompt-Prefix").split(",")
        }
        if crashing := parts & self.crashing_parts:
            self._tasks.add(asyncio.ensure_future(self.crash(min(crashing))))
            return
        if self.limit:
            echo = [*echo, ("Server-Limit", self.limit)]
            self.named_at = self.named_at or time.monotonic()
        load = f"{self._running},0,{self.slots}"
        headers = [*echo, ("Server-Seal", "s"), ("Server-Load", load)]
        if "/stream" not in path:
            body = json.dumps({"by": self.instance, "id": message.get("Request-Id")})
            padding = b"." * (self.answer_bytes - len(body))
            writer.write(http.answer(200, headers, body.encode() + padding))
            return
        headers += [
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        last_id = int(message.get("Last-Event-Id", self.first_id - 1))
        for number in range(last_id + 1, self.first_id + self.events):
            padding = "." * (self.event_bytes - 20)
            event = f"id: {number}\ndata: {number}{padding}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
