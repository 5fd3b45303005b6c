"""Parsing and validation of a caller's HTTP request, within a time limit."""

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

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}\Z")
_TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}\Z")


class IntakeError(Exception):
    """Raised when a caller's request can't be accepted.

    :param sequoiagap.base.Refusal refusal: refusal to send to the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


@dataclasses.dataclass(frozen=True)
class ParsedRequest:
    """Validated contents of a caller's request.

    :param bytes body: HTTP body.
    :param str idempotency_key: idempotency key from the caller, or empty.
    :param float timeout_s: timeout of the request, in seconds.
    """

    body: bytes
    idempotency_key: str
    timeout_s: float


async def read(http_request, settings):
    """Read and validate a caller's request.

    :param aiohttp.web.Request http_request: the request.
    :param sequoiagap.settings.EntrySettings settings: limits of size and time.
    :rtype: ParsedRequest
    :raises IntakeError: if it is malformed, too large or arrives too slowly.
    """
    _enable_keepalive(http_request.transport)
    key = http_request.headers.get(IDEMPOTENCY_HEADER, "")
    if key and not _KEY_PATTERN.match(key):
        raise _bad_request_error(
            f"{IDEMPOTENCY_HEADER} is not a valid key",
            "Send 1 to 255 visible ASCII characters",
        )
    timeout_s = _read_timeout(http_request.headers, settings.request_timeout_s)
    return ParsedRequest(await _read_body(http_request, settings), key, timeout_s)


def read_model(body):
    """Return the name of the model that a request body asks for.

    :param bytes body: JSON text.
    :rtype: str
    :raises IntakeError: if the body is malformed or names no model.
    """
    try:
        model = json.loads(body)["model"]
    except (ValueError, KeyError, TypeError, RecursionError):
        model = None
    if not isinstance(model, str):
        raise _bad_request_error(
            "the body is not a JSON object with a model",
            'Send a JSON object with a "model" name',
        )
    return model


def forwarded_headers(headers):
    """Return the headers that are forwarded to the endpoint.

    :param headers: HTTP headers of the caller's request.
    :rtype: dict
    """
    forwarded = {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
    forwarded.setdefault("Content-Type", DEFAULT_CONTENT_TYPE)
    return forwarded


def _read_timeout(headers, max_timeout_s):
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return max_timeout_s
    if not _TIMEOUT_PATTERN.match(text) or int(text) == 0:
        raise _bad_request_error(
            f"{TIMEOUT_HEADER}: {text[:20]!r} is not a number of milliseconds",
            "Send a positive whole number",
        )
    return min(int(text) / MILLISECONDS, max_timeout_s)


async def _read_body(http_request, settings):
    try:
        async with asyncio.timeout(settings.body_timeout_s):
            return await http_request.read()
    except TimeoutError as error:
        http_request.protocol.force_close()
        raise IntakeError(
            base.Refusal(
                base.RefusalKind.REQUEST_TIMEOUT,
                f"the body did not arrive within {settings.body_timeout_s} s",
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


def _enable_keepalive(transport):
    """Enable TCP keepalive, so that the failure of an idle caller is detected.

    ``TCP_USER_TIMEOUT`` is not used: with it Linux also closes the connection of a
    caller that reads slowly. See :class:`CallerProgress`.
    """
    sock = transport.get_extra_info("socket") if transport is not None else None
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _bad_request_error(message, remedy):
    return IntakeError(base.Refusal(base.RefusalKind.BAD_REQUEST, message, remedy))
