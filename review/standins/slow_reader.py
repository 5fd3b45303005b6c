"""Case: an agent is killed while a caller of a stream does not read for a moment.

Usage: ``slow_reader.py RECORD``. Exit code 1 if the rule was broken, 0 if it held, 2 if
the case could not run.
"""

import asyncio
import dataclasses
import itertools
import json
import socket
import time

import fleet
import store as store_standin
import web

STORE = "127.0.0.40"
GATEWAY = "127.0.0.41"
ENGINES = {"i-one": "127.0.0.51", "i-two": "127.0.0.52"}  # beside agents
HOST, PATH, SERVICE = "llm.example", "/appraisal/1", "sequoia-llm"
GROUP = "group-1"

EVENTS = 200
EVENT_BYTES = 32_000
EVENT_S = 0.01
TOKENS_PER_EVENT = 6
PREFILL_S = 0.4  # until the first event, also of a stream that goes on
CALLERS = 4
READING_S = 0.6  # until a caller stops to read
PAUSE_S = 1.4  # callers leave a stream after a gap of two seconds
DOWN_S = 3.0  # until the platform starts the agent again
SEGMENT_BYTES = 1460  # of a network with ordinary frames
WINDOW_BYTES = 65536  # the links have small windows
DEADLINE_MS = 8050
WARM_UP_S = 12.0  # a gateway may repeat requests once it has run for ten seconds


@dataclasses.dataclass
class Stream:
    """What a caller has received.

    :ivar list ids: ids of the events, in order.
    :ivar bool is_complete: whether the answer ended as complete.
    """

    request_id: str
    status: object = None
    ids: list = dataclasses.field(default_factory=list)
    is_complete: bool = False


class Engine:
    """Model server of one rank, as the pages describe it.

    :ivar list runs: request id and the event after which each run began.
    """

    def __init__(self, endpoint_id, rank, record):
        self.endpoint_id = endpoint_id
        self.rank = rank
        self.record = record
        self.running = 0
        self.runs = []
        self.born = int(time.time() * 1000)
        self.server = web.WebServer(self._handle)

    async def _handle(self, request, writer):
        path = request.target.partition("?")[0]
        if path == "/api/report":
            return 200, {"Content-Type": "application/json"}, self._report()
        if path == "/api/picked":
            document = {"step": 1, "epoch": 1, "Counts": []}
            return 200, {}, json.dumps(document).encode()
        request_id = request.headers.get("request-id", "")
        headers = {"Request-Id": request_id}
        if request.headers.get("expect-instance") != self.endpoint_id:
            return 421, {**headers, "Instance-Id": self.endpoint_id}, b""
        after = int(request.headers.get("last-event-id", 0))
        self.runs.append((request_id, after))
        self.record.add(f"run {request_id} at {self.endpoint_id} after event {after}")
        self.running += 1
        try:
            await self._stream(request_id, after, writer)
        finally:
            self.running -= 1

    async def _stream(self, request_id, after, writer):
        headers = {
            "Request-Id": request_id,
            "Server-Seal": f"s.{request_id}.{self.endpoint_id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(PREFILL_S)
        writer.write(web.make_head(200, headers))
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: ".encode().ljust(EVENT_BYTES, b"x") + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _report(self):
        document = {
            "Stage": "both",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 0,
            "Waiting": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 247000,
            "Handles": 0,
            "group": {"Name": GROUP, "epoch": 1, "rank": self.rank, "State": "open"},
            "size": len(ENGINES),
            "step": 1,
            "Map": 0,
            "Prepared": 0,
            "born": self.born,
            "pace": 1.0,
        }
        return json.dumps(document).encode()


class Group:
    """Deployment with one gateway and a group of two ranks, each with its agent."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = store_standin.Store()
        self.machines = {}
        addresses = [STORE, GATEWAY, *ENGINES.values()]
        self.ports = fleet.free_ports(addresses, 6)
        self.engine_by_id = {
            endpoint_id: Engine(endpoint_id, rank, record)
            for rank, endpoint_id in enumerate(ENGINES)
        }
        self._numbers = itertools.count(1)

    async def start(self):
        """Start the store, the engines and the processes of the system."""
        store_port, app_port = self.ports[4:]
        self._write_store(app_port)
        await self.store.start(STORE, store_port)
        store = f"{STORE}:{store_port}"
        settings = fleet.gateway_settings(
            "front-a-1", GATEWAY, "a", self.ports[:4], store
        )
        self.machines["gateway"] = fleet.Machine("front-a-1", settings, self.folder)
        for endpoint_id, address in ENGINES.items():
            engine = self.engine_by_id[endpoint_id]
            await engine.server.start(address, app_port)
            name = f"side-a-{engine.rank + 1}"
            settings = fleet.ranks_settings(
                name,
                address,
                "a",
                (self.ports[0], self.ports[3]),
                store,
                f"{address}:{app_port}",
                SERVICE,
            )
            self.machines[endpoint_id] = fleet.Machine(name, settings, self.folder)
        for machine in self.machines.values():
            machine.start()
        if not await fleet.wait_ready(GATEWAY, self.ports[2]):
            raise RuntimeError("the gateway is not ready")
        await asyncio.sleep(WARM_UP_S)

    def _write_store(self, app_port):
        route = {
            "Name": "r-appraisal",
            "Host": HOST,
            "PathPrefix": "/appraisal/",
            "Kind": "stream",
            "TimeoutMs": 8000,
            "TargetLatencyMs": 402,
            "Priority": 1,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Public": True,
            "Sticky": True,
            "Resumable": True,
            "TargetGapMs": 120,
        }
        config = {
            "Version": 5,
            "Routes": [route],
            "Services": [
                {
                    "Name": SERVICE,
                    "HealthPath": "/health",
                    "MaxConnections": 408,
                    "Engine": {"Slots": 6, "KvCapacityTokens": 247000, "Stride": 6},
                }
            ],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304},
        }
        self.store.put("config", "main", config)
        for endpoint_id, address in ENGINES.items():
            spec = {
                "Service": SERVICE,
                "Address": f"{address}:{app_port}",
                "Zone": "a",
                "Version": "v1",
                "Slots": 6,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": 1,
            }
            born = self.engine_by_id[endpoint_id].born
            self.store.put("servers", endpoint_id, spec, born=born)

    def stop(self):
        """End all processes and servers."""
        for machine in self.machines.values():
            machine.kill()
        self.store.go_away()
        for engine in self.engine_by_id.values():
            engine.server.stop()

    async def read_stream(self, pause_at):
        """Send a request for a stream and read it, with a pause; return the stream."""
        stream = Stream(f"{next(self._numbers):08x}")
        loop = asyncio.get_running_loop()
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        connection.setblocking(False)
        await loop.sock_connect(connection, (GATEWAY, self.ports[1]))
        headers = {
            "Host": HOST,
            "Request-Id": stream.request_id,
            "Deadline-Ms": DEADLINE_MS,
            "Model": "m",
            "Token-Counts": f"50,{EVENTS * TOKENS_PER_EVENT}",
            "Prompt-Prefix": f"5c1e07a2:40,{stream.request_id}:10",
            "Content-Length": 2,
        }
        self.record.add(f"sent {stream.request_id}")
        await loop.sock_sendall(
            connection, web.make_request("POST", PATH, headers) + b"{}"
        )
        reader = asyncio.StreamReader(limit=1_000_000)
        pump = asyncio.create_task(self._pump(connection, reader, pause_at, stream))
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                await self._parse(reader, stream)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            self.record.add(f"ended early {stream.request_id}: {error!r}"[:120])
        pump.cancel()
        connection.close()
        self.record.add(
            f"answered {stream.request_id}: {stream.status}, events"
            f" {_ranges(stream.ids)}, complete {stream.is_complete}"
        )
        return stream

    async def _pump(self, connection, reader, pause_at, stream):
        """Read from the connection, but not during the pause."""
        loop = asyncio.get_running_loop()
        has_paused = False
        while True:
            if not has_paused and loop.time() >= pause_at:
                has_paused = True
                self.record.add(f"{stream.request_id} does not read for {PAUSE_S} s")
                await asyncio.sleep(PAUSE_S)
            try:
                data = await loop.sock_recv(connection, 16384)
            except OSError as error:
                reader.set_exception(error)
                return
            if not data:
                reader.feed_eof()
                return
            reader.feed_data(data)

    async def _parse(self, reader, stream):
        stream.status, headers = await web.read_head(reader)
        if headers.get("transfer-encoding") != "chunked":
            return
        rest = b""
        while chunk := await web.read_chunk(reader):
            rest += chunk
            while b"\n\n" in rest:
                event, _, rest = rest.partition(b"\n\n")
                stream.ids.append(int(event.split(b"\n")[0].removeprefix(b"id:")))
        stream.is_complete = True


def _ranges(ids):
    """Return ids as text, with consecutive ones joined."""
    parts = []
    for number in ids:
        if parts and number == parts[-1][1] + 1:
            parts[-1][1] = number
        else:
            parts.append([number, number])
    return ", ".join(f"{first} to {last}" for first, last in parts) or "none"


async def play(record, folder):
    """Play the case; return the exit code."""
    group = Group(record, folder)
    restart = None
    try:
        await group.start()
        pause_at = asyncio.get_running_loop().time() + PREFILL_S + READING_S
        reading = [
            asyncio.create_task(group.read_stream(pause_at)) for _ in range(CALLERS)
        ]
        await asyncio.sleep(PREFILL_S + READING_S)
        if fleet.has_trouble():
            restart = asyncio.create_task(play_trouble(group))
        streams = await asyncio.gather(*reading)
        if restart is not None:
            await restart
    finally:
        group.stop()
    return judge(record, streams)


async def play_trouble(group):
    """Kill the process of one machine; the platform starts it again."""
    victim = group.machines["i-one"]
    victim.kill()
    group.record.add(f"{victim.name} is killed")
    await asyncio.sleep(DOWN_S)
    victim.start()
    group.record.add(f"{victim.name} is started again")


def judge(record, streams):
    """Return the exit code by what callers have received."""
    broken, complete = 0, 0
    for stream in streams:
        expected = list(range(1, len(stream.ids) + 1))
        is_early = stream.is_complete and len(stream.ids) < EVENTS
        complete += stream.ids == expected and len(expected) == EVENTS
        if stream.ids != expected or is_early:
            broken += 1
            repeated = sorted({n for n in stream.ids if stream.ids.count(n) > 1})
            record.add(
                f"broken: {stream.request_id}, events that came twice: {repeated}"
            )
    summary = {
        "streams": len(streams),
        "in_order_and_whole": complete,
        "broken": broken,
    }
    record.add(json.dumps(summary))
    print(json.dumps(summary))
    if broken:
        return 1
    return 0 if complete else 2


if __name__ == "__main__":
    fleet.run_case(play)
