"""What the tests of requests share: callers, and relays before agents."""

import ctypes
import dataclasses
import json
import socket
import struct
import time

import aiohttp

from sequoiagap import standins

MODEL = "middle-model-0"
DESK = "middle-desk-0"
SO_ATTACH_FILTER = 26
_DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))
ONE_DOMAIN = standins.FleetPlan(domains=("middle",), entries=2)


@dataclasses.dataclass
class Answer:
    """What a caller saw.

    :param int status: HTTP status.
    :param str text: body, as far as it came.
    :param headers: HTTP headers; names match in any case.
    :param float seconds: how long it took.
    :param bool is_whole: whether the HTTP body ended cleanly.
    """

    status: int
    text: str
    headers: object
    seconds: float
    is_whole: bool

    @property
    def error(self):
        """The typed refusal, or an empty map."""
        try:
            return json.loads(self.text).get("error", {})
        except ValueError:
            return {}

    @property
    def words(self):
        """Words of a stream, in order."""
        lines = [x[6:] for x in self.text.splitlines() if x.startswith("data: {")]
        deltas = [json.loads(x) for x in lines]
        return [
            d["choices"][0]["delta"]["content"].strip()
            for d in deltas
            if "choices" in d
        ]


async def call(fleet, path, body, entry="entry-0", headers=None, on_data=None):
    """Send one request and return what the caller saw."""
    began = time.monotonic()
    headers = {"Authorization": "Bearer caller-key"} | (headers or {})
    url = fleet.url(entry) + path
    text, is_whole = b"", True
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
            is_whole = False
        return Answer(
            response.status,
            text.decode(),
            response.headers,
            time.monotonic() - began,
            is_whole,
        )


async def order(fleet, number, key=None, entry="entry-0", timeout_ms=None):
    """File one order, which may not be repeated."""
    headers = {}
    if key is not None:
        headers["Idempotency-Key"] = key
    if timeout_ms is not None:
        headers["X-Request-Timeout-Ms"] = str(timeout_ms)
    path = "/services/orders/file"
    return await call(fleet, path, {"n": number}, entry, headers)


async def stream(fleet, tokens, entry="entry-0", on_data=None, timeout_ms=None):
    """Ask the model for a stream."""
    headers = {}
    if timeout_ms is not None:
        headers["X-Request-Timeout-Ms"] = str(timeout_ms)
    body = {
        "model": "desk-model",
        "messages": [],
        "stream": True,
        "max_tokens": tokens,
    }
    return await call(fleet, "/v1/chat/completions", body, entry, headers, on_data)


def once_at_event(number, action):
    """Return a reader that acts once, when an event of a stream has come.

    Comments that keep a stream alive come after it, so a count alone is met twice.
    """
    left = [action]

    async def on_data(text):
        if text.count(b"data: ") >= number and left:
            left.pop()()

    return on_data


async def executions(fleet, name):
    """Return how often an endpoint ran each key."""
    _, counts = await fleet.call(f"{name}-target", "GET", "/executions")
    return counts


async def in_flight(fleet, name):
    """Return how many requests an agent has at its endpoint."""
    _, state = await fleet.call("entry-0", "GET", f"/state/{name}")
    return state["endpoint"]["in_flight"]


def drop_all(sock):
    """Let the system drop what comes to a socket unacknowledged.

    To its peer that is a host that has died.
    """
    program = struct.pack("HxxxxxxP", 1, ctypes.addressof(_DROP_ALL))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
