"""What a caller's HTTP request says, read and checked in bounded time."""

import asyncio
import dataclasses
import json
import re
import socket

from aiohttp import web

from sequoiagap import base

IDEMPOTENCY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
MILLISECONDS = 1000
FORWARDED_HEADERS = ("Accept", "Accept-Encoding", "Accept-Language", "Content-Type")
DEFAULT_CONTENT_TYPE = "application/json"
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1

_KEY = re.compile(r"[\x21-\x7e]{1,255}\Z")
_TIMEOUT = re.compile(r"[0-9]{1,9}\Z")


class IntakeError(Exception):
    """A caller's request can't be taken.

    :param sequoiagap.base.Refusal refusal: why.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True)
class Intake:
    """What was read of a caller's request.

    :param bytes body: HTTP body.
    :param str idempotency_key: key given by the caller, or empty.
    :param float timeout_s: how long the caller waits, in seconds.
    """

    body: bytes
    idempotency_key: str
    timeout_s: float


async def read(http_request, settings):
    """Read and check a caller's request.

    :param aiohttp.web.Request http_request: the request.
    :param sequoiagap.settings.EntrySettings settings: its bounds.
    :rtype: Intake
    :raises IntakeError: if it is malformed, too large or comes too slowly.
    """
    _probe_caller(http_request.transport)
    key = http_request.headers.get(IDEMPOTENCY_HEADER, "")
    if key and not _KEY.match(key):
        raise _malformed(
            f"{IDEMPOTENCY_HEADER} is no key", "Send 1 to 255 visible ASCII characters"
        )
    timeout_s = _read_timeout(http_request.headers, settings.request_timeout_s)
    return Intake(await _read_body(http_request, settings), key, timeout_s)


def read_model(body):
    """Return the model that a body names.

    :param bytes body: JSON text.
    :rtype: str
    :raises IntakeError: if it names none.
    """
    try:
        model = json.loads(body)["model"]
    except (ValueError, KeyError, TypeError, RecursionError):
        model = None
    if not isinstance(model, str):
        raise _malformed(
            "the body is not a JSON object with a model",
            'Send a JSON object with a "model" name',
        )
    return model


def forwarded_headers(headers):
    """Return the headers that go to the endpoint.

    :param headers: headers of the caller's request.
    :rtype: dict
    """
    chosen = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    chosen.setdefault("Content-Type", DEFAULT_CONTENT_TYPE)
    return chosen


def _read_timeout(headers, longest_s):
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return longest_s
    if not _TIMEOUT.match(text) or int(text) == 0:
        raise _malformed(
            f"{TIMEOUT_HEADER}: {text[:20]!r} is no number of milliseconds",
            "Send a positive whole number",
        )
    return min(int(text) / MILLISECONDS, longest_s)


async def _read_body(http_request, settings):
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            return await http_request.read()
    except TimeoutError as error:
        http_request.protocol.force_close()
        raise IntakeError(
            base.Refusal(
                base.RefusalKind.REQUEST_TIMEOUT,
                f"the body did not come within {settings.body_timeout_s} s",
                "Send the request again",
                setting="body_timeout_s",
            )
        ) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise IntakeError(
            base.Refusal(
                base.RefusalKind.TOO_LARGE,
                f"the body is over {settings.max_body_bytes} bytes",
                "Send a smaller body",
                setting="max_body_bytes",
            )
        ) from error


def _probe_caller(transport):
    """Have the system probe an idle caller, so that a dead one is found.

    Not ``TCP_USER_TIMEOUT``: Linux then also ends the connection of a caller that
    reads slowly, see :class:`CallerProgress`.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _malformed(message, remedy):
    return IntakeError(base.Refusal(base.RefusalKind.BAD_REQUEST, message, remedy))
