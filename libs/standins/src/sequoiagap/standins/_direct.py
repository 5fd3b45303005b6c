"""In-process stand-ins for the header dialect, store and endpoints of a gateway."""

import asyncio
import dataclasses
import math
import socket
import struct
import time

import multidict

from sequoiagap import base, gateway, routes

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
FIRST_START_MS = 1000
SIGNATURE = "X-Signature"
PROMPT_PARTS = "X-Prompt-Parts"
LEAVING = "X-Leaving"
PAUSE_S = "X-Pause-S"
MAX_REQUESTS_S = "X-Max-Requests-S"
_OWN_HEADERS = ("X-Key", "X-Account", "X-Endpoint", "X-Remaining-Ms")
_HEAD_END = b"\r\n\r\n"


class DirectDialect:
    """Translates between HTTP headers of the stand-ins and heads of the gateway."""

    def read_request(self, headers):
        """Return the request head that a caller's headers carry."""
        remaining_ms = headers.get("X-Remaining-Ms")
        last_id = headers.get("Last-Event-Id")
        return gateway.RequestHead(
            request_id=headers.get("X-Request-Id", ""),
            deadline_s=None if remaining_ms is None else int(remaining_ms) / 1000,
            key=headers.get("X-Key", ""),
            last_event_id=None if last_id is None else int(last_id),
            prompt_parts=_split_parts(headers),
        )

    def write_request(self, headers, forward_head):
        """Return the headers of a request to an endpoint."""
        written = multidict.CIMultiDict(headers)
        for name in _OWN_HEADERS:
            written.popall(name, None)
        written["X-Endpoint"] = forward_head.endpoint_id
        written["X-Remaining-Ms"] = str(int(forward_head.remaining_s * 1000))
        if forward_head.account:
            written["X-Account"] = forward_head.account
        if forward_head.resume_after is not None:
            written["Last-Event-Id"] = str(forward_head.resume_after)
        return written

    def read_answer(self, status, headers):
        """Return the answer head that an endpoint's status and headers carry."""
        return gateway.AnswerHead(
            request_id=headers.get("X-Request-Id", ""),
            is_sealed=SIGNATURE in headers,
            is_not_run="X-Not-Run" in headers,
            is_misdirected=status == MISDIRECTED_STATUS,
            faulty_endpoint=headers.get("X-Faulty", ""),
            max_requests_s=float(headers.get(MAX_REQUESTS_S, math.inf)),
            is_leaving=LEAVING in headers,
            pause_s=float(headers.get(PAUSE_S, 0.0)),
        )

    def write_refusal(self, request_id, refusal):
        """Return the headers of a rejection."""
        written = {"X-Request-Id": request_id}
        if refusal.retry_after_s:
            written["Retry-After"] = f"{refusal.retry_after_s:.3f}"
        return written


def _split_parts(headers):
    """Return the prompt parts of a request: ids separated by blanks."""
    return tuple(headers.get(PROMPT_PARTS, "").split())


class DirectStore:
    """Keeps topics and registrations in memory; it can be made unreachable.

    :ivar dict snapshot_by_topic: current snapshot of each topic.
    :ivar bool is_unreachable: whether every call fails.
    :ivar dict node_by_id: registered processes.
    :ivar dict crash_by_id: kept crashes of endpoints.
    :ivar int era: number of times that it was restored from a copy.
    """

    def __init__(self):
        self.is_unreachable = False
        self.era = 0
        self.revision = 1
        self.node_by_id = {}
        self.crash_by_id = {}
        self._snapshot_by_content = {}
        self.snapshot_by_topic = {
            "config": gateway.Snapshot(0, None),
            "endpoints": gateway.Snapshot(1, {}),
            "domains": gateway.Snapshot(1, frozenset()),
        }

    def put(self, topic, value):
        """Set the value of a topic."""
        self.revision += 1
        self.snapshot_by_topic[topic] = gateway.Snapshot(self.revision, value)

    def make_copy(self):
        """Return a copy of the current content for :meth:`restore`."""
        return self.revision, dict(self.snapshot_by_topic), dict(self.node_by_id)

    def restore(self, copy):
        """Restore a copy; all later writes and revisions are lost.

        :param copy: what :meth:`make_copy` returned.
        """
        self.era += 1
        self.revision, snapshots, nodes = copy
        self.snapshot_by_topic, self.node_by_id = dict(snapshots), dict(nodes)

    async def read(self, topic, may_be_old=False):
        """Return a reading of a topic.

        :raises sequoiagap.base.PlatformError: if the store is unreachable.
        """
        self._check_reachable()
        snapshot = self.snapshot_by_topic[topic]
        content = f"{topic} {snapshot.revision} {id(snapshot)}".encode()
        self._snapshot_by_content[content] = snapshot
        return gateway.Reading(content, self.era)

    def decode(self, topic, content):
        """Return the snapshot that a content stands for."""
        return self._snapshot_by_content[content]

    async def announce(self, node):
        """Register a process."""
        self._check_reachable()
        self.node_by_id[node.node_id] = node

    async def list_nodes(self):
        """Return registered processes by id."""
        self._check_reachable()
        return dict(self.node_by_id)

    async def save_crash(self, record):
        """Keep a crash; only a confirmed one replaces another."""
        self._check_reachable()
        if record.is_confirmed or record.crash_id not in self.crash_by_id:
            self.crash_by_id[record.crash_id] = record

    async def list_crashes(self):
        """Return the kept crashes."""
        self._check_reachable()
        return list(self.crash_by_id.values())

    async def delete_crash(self, crash_id):
        """Delete a kept crash."""
        self._check_reachable()
        self.crash_by_id.pop(crash_id, None)

    def _check_reachable(self):
        if self.is_unreachable:
            raise base.PlatformError(
                "the store is unreachable", "Make it reachable again"
            )


@dataclasses.dataclass
class EndpointFaults:
    """Faults that an endpoint injects.

    :param str mode: empty for none, ``refuse`` (rejects without running), ``blame``
        (rejects without running, as another rank is lost), ``fail`` (status 500),
        ``reset`` (runs, then resets the connection), ``mute`` (runs, never answers),
        ``short`` (truncated body), ``unframed_reset`` (body without a length, then a
        reset), ``extra`` (second answer after the first), ``crossed`` (answer
        to another request), ``cut`` (stream cut in the middle of an event).
    :param int times: number of requests that it affects.
    """

    mode: str = ""
    times: int = 1_000_000

    def consume(self):
        """Count one request and return its fault mode; empty for none."""
        if not self.mode or self.times <= 0:
            return ""
        self.times -= 1
        return self.mode


class DirectEndpoint:
    """HTTP server that writes raw bytes, so that it can send malformed answers.

    :param str endpoint_id: id of the endpoint.
    :param int events: number of events of a stream.
    :param float event_s: time between two events, in seconds.

    :ivar list seen: method, path, headers and body of each executed request.
    :ivar EndpointFaults faults: faults that it injects.
    :ivar int arrivals: number of requests received.
    :ivar int crashes: number of crashes.
    :ivar list arrived_at: when each request was received, monotonic seconds.
    :ivar float max_requests_s: rate limit that it states in its answers; 0 for none.
    :ivar bool is_leaving: whether it states in its answers that it is about to end.
    :ivar float pause_s: time for which it wants no requests, as it states when it turns
        one away; 0 for none.
    :ivar set crashing_parts: prompt parts that crash it. It then ends all connections
        and starts again under another id.
    :ivar set crashing_paths: paths that crash it as well.
    :ivar float restart_s: time for which it refuses connections after a crash, in
        seconds.
    :ivar int started_ms: when it started, Unix milliseconds.
    """

    def __init__(self, endpoint_id, events=5, event_s=0.005):
        self.endpoint_id = endpoint_id
        self.events = events
        self.event_s = event_s
        self.seen = []
        self.arrivals = 0
        self.arrived_at = []
        self.max_requests_s = 0.0
        self.is_leaving = False
        self.pause_s = 0.0
        self.disconnect_count = 0
        self.work_s = 0.0
        self.faults = EndpointFaults()
        self.port = 0
        self.crashing_parts = set()
        self.crashing_paths = set()
        self.restart_s = 0.0
        self.crashes = 0
        self.started_ms = FIRST_START_MS
        self._server = None
        self._open_writers = set()

    async def start(self):
        """Listen on the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        self._server.close()

    def record(self, service, failure_domain="a", state=routes.EndpointState.READY):
        """Return the record that registers this endpoint.

        :rtype: sequoiagap.routes.Endpoint
        """
        return routes.Endpoint(
            self.endpoint_id,
            service,
            "127.0.0.1",
            self.port,
            failure_domain,
            state,
            slots=4,
            started_ms=self.started_ms,
        )

    async def crash(self):
        """End all connections and start again under another id."""
        self.crashes += 1
        if self.restart_s:
            self._server.close()
        for writer in self._open_writers:
            writer.transport.abort()
        self.endpoint_id += "+"
        self.started_ms += 1
        if self.restart_s:
            await asyncio.sleep(self.restart_s)
            self._server = await asyncio.start_server(
                self._serve, "127.0.0.1", self.port
            )

    async def _serve(self, reader, writer):
        self._open_writers.add(writer)
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.disconnect_count += 1
        finally:
            self._open_writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(_HEAD_END)).decode("latin-1")
        request_line, *lines = head.strip().split("\r\n")
        method, path, _ = request_line.split(" ")
        headers = multidict.CIMultiDict(line.split(": ", 1) for line in lines)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        request_id = headers.get("X-Request-Id", "")
        mode = self.faults.consume()
        is_addressed = headers.get("X-Endpoint") == self.endpoint_id
        if not is_addressed or mode in ("refuse", "blame"):
            status = UNAVAILABLE_STATUS if is_addressed else MISDIRECTED_STATUS
            extra_headers = self._stated_headers() | {"X-Not-Run": "1"}
            if self.pause_s and status == UNAVAILABLE_STATUS:
                extra_headers[PAUSE_S] = str(self.pause_s)
            if mode == "blame":
                extra_headers["X-Faulty"] = "another"
            _write(writer, status, request_id, b"full", extra_headers, signed=False)
            return
        self.seen.append((method, path, headers, body))
        await asyncio.sleep(self.work_s)
        has_crashing_part = self.crashing_parts.intersection(_split_parts(headers))
        if has_crashing_part or path in self.crashing_paths:
            await self.crash()
            return
        if "stream" in path:
            await self._stream(writer, headers, mode)
        else:
            await self._answer_complete(writer, request_id, mode)
        await writer.drain()

    def _stated_headers(self):
        """Return the headers by which it states its limit and its leaving."""
        stated = {}
        if self.max_requests_s:
            stated[MAX_REQUESTS_S] = str(self.max_requests_s)
        if self.is_leaving:
            stated[LEAVING] = "1"
        return stated

    async def _answer_complete(self, writer, request_id, mode):
        answer = f"answer of {self.endpoint_id}".encode()
        if mode == "mute":
            await asyncio.sleep(60)
        elif mode == "reset":
            reset_connection(writer)
        elif mode == "fail":
            _write(writer, 500, request_id, b"failed", self._stated_headers())
        elif mode == "short":
            writer.write(_head(200, request_id, len(answer) + 9) + answer)
        elif mode == "unframed_reset":
            writer.write(_head(200, request_id, None) + answer)
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)
        elif mode == "crossed":
            _write(writer, 200, "another", answer)
        else:
            _write(writer, 200, request_id, answer, self._stated_headers())
            if mode == "extra":
                _write(writer, 200, "another", b"nobody asked")

    async def _stream(self, writer, headers, mode):
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        kind |= self._stated_headers()
        writer.write(_head(200, headers.get("X-Request-Id", ""), None, kind))
        after = int(headers.get("Last-Event-Id", 0))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if mode == "cut" and number == self.events // 2 + 1:
                _write_chunk(writer, event[:5])
                await writer.drain()
                reset_connection(writer)
                return
            if mode == "mute" and number == self.events // 2 + 1:
                await asyncio.sleep(60)
            _write_chunk(writer, event)
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def reset_connection(writer):
    """Close a connection with a TCP reset.

    :param asyncio.StreamWriter writer: its stream.
    """
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)  # enabled, with a timeout of 0 s
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _head(status, request_id, length, extra_headers=None, signed=True):
    headers = {"X-Request-Id": request_id} | (extra_headers or {})
    if signed:
        headers[SIGNATURE] = "s"
    if length is not None:
        headers["Content-Length"] = str(length)
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _write(writer, status, request_id, body, extra_headers=None, signed=True):
    writer.write(_head(status, request_id, len(body), extra_headers, signed) + body)


def _write_chunk(writer, data):
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
