"""Shared helpers of the request tests: HTTP callers and fault injection."""

import ctypes
import dataclasses
import json
import socket
import struct
import time

import aiohttp

from sequoiagap import standins

ENGINE = "middle-model-0"
SERVICE = "middle-desk-0"
SO_ATTACH_FILTER = 26
_DROP_FILTER = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
ONE_DOMAIN_PLAN = standins.FleetPlan(domains=("middle",), entries=2)


@dataclasses.dataclass
class Answer:
    """The response that a caller received.

    :param int status: HTTP status.
    :param str text: body, as far as it was received.
    :param headers: HTTP headers with case-insensitive names.
    :param float seconds: duration of the request in seconds.
    :param bool is_complete: whether the HTTP body ended without a transport error.
    """

    status: int
    text: str
    headers: object
    seconds: float
    is_complete: bool

    @property
    def error(self):
        """The error object of the body, or an empty dictionary."""
        try:
            return json.loads(self.text).get("error", {})
        except ValueError:
            return {}

    @property
    def tokens(self):
        """Tokens of a streamed completion, in order."""
        events = [
            line[6:] for line in self.text.splitlines() if line.startswith("data: {")
        ]
        deltas = [json.loads(line) for line in events]
        return [
            d["choices"][0]["delta"]["content"].strip()
            for d in deltas
            if "choices" in d
        ]


async def post(fleet, path, body, entry="entry-0", headers=None, on_data=None):
    """Send one POST request and return its response."""
    began = time.monotonic()
    headers = {"Authorization": "Bearer caller-key"} | (headers or {})
    url = fleet.url(entry) + path
    text, is_complete = b"", True
    timeout = aiohttp.ClientTimeout(total=30)
    async with fleet.session_.post(
        url, json=body, headers=headers, timeout=timeout
    ) as response:
        try:
            async for data in response.content.iter_any():
                text += data
                if on_data is not None:
                    await on_data(text)
        except aiohttp.ClientError:
            is_complete = False
        return Answer(
            response.status,
            text.decode(),
            response.headers,
            time.monotonic() - began,
            is_complete,
        )


async def post_order(fleet, number, key=None, entry="entry-0", timeout_ms=None):
    """Send one request to the service, which must not be repeated."""
    headers = {}
    if key is not None:
        headers["Idempotency-Key"] = key
    if timeout_ms is not None:
        headers["X-Request-Timeout-Ms"] = str(timeout_ms)
    path = "/services/orders/file"
    return await post(fleet, path, {"n": number}, entry, headers)


async def post_stream(fleet, tokens, entry="entry-0", on_data=None, timeout_ms=None):
    """Request a streamed chat completion."""
    headers = {}
    if timeout_ms is not None:
        headers["X-Request-Timeout-Ms"] = str(timeout_ms)
    body = {
        "model": "desk-model",
        "messages": [],
        "stream": True,
        "max_tokens": tokens,
    }
    return await post(fleet, "/v1/chat/completions", body, entry, headers, on_data)


def run_at_event(number, action):
    """Return a data callback that runs an action once, after a number of events.

    Keep-alive comments may follow the event, so the same count is seen again.
    """
    pending_actions = [action]

    async def on_data(text):
        if text.count(b"data: ") >= number and pending_actions:
            pending_actions.pop()()

    return on_data


async def executions(fleet, name):
    """Return the number of executions of each key at an endpoint."""
    _, counts = await fleet.call(f"{name}-target", "GET", "/executions")
    return counts


async def in_flight(fleet, name):
    """Return the number of requests that an agent has in flight at its endpoint."""
    _, state = await fleet.call("entry-0", "GET", f"/state/{name}")
    return state["endpoint"]["in_flight"]


def drop_packets(sock):
    """Drop all incoming packets of a socket before they are acknowledged.

    To the peer, this looks like a host failure.
    """
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(_DROP_FILTER))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
