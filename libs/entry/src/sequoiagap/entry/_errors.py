"""Typed errors for whatever the HTTP handlers don't answer themselves."""

import traceback

from aiohttp import web

from sequoiagap import base
from sequoiagap.entry import _responses

_log = base.get_logger("http")

_STARTED = "sequoiagap.started"
_REFUSALS_BY_STATUS = {
    404: (
        base.RefusalKind.NOT_FOUND,
        "there is no such path",
        "See the paths in docs/OPERATORS.md",
    ),
    405: (
        base.RefusalKind.BAD_REQUEST,
        "the path does not take this method",
        "Use a method that the Allow header names",
    ),
    413: (base.RefusalKind.TOO_LARGE, "the body is too large", "Send a smaller body"),
}
_FAILED = base.Refusal(
    base.RefusalKind.INTERNAL_ERROR,
    "the entry failed on this call",
    "Look for event 1010 in the entry's log and report it",
    outcome=base.Outcome.UNKNOWN,
)


@web.middleware
async def answer_typed(http_request, handler):
    """Turn the server's own errors and failures of handlers into refusals.

    :param aiohttp.web.Request http_request: the call.
    :param handler: the next handler.
    :rtype: aiohttp.web.StreamResponse
    """
    try:
        return await handler(http_request)
    except web.HTTPException as error:
        return _of_status(error)
    except ConnectionError:
        raise  # the caller is gone
    except Exception as error:
        _log.emit(
            base.Event.HANDLER_FAILED,
            path=http_request.match_info.route.resource.canonical,
            error=type(error).__name__,
            at=_origin(error),
        )
        if http_request.get(_STARTED):
            # A second response would stand inside the first one.
            http_request.transport.abort()
            raise
        return _responses.refusal_response(_FAILED, "")


async def mark_started(http_request, response):
    """Remember that the response to a call has begun.

    :param aiohttp.web.Request http_request: the call.
    :param aiohttp.web.StreamResponse response: its response.
    """
    http_request[_STARTED] = True


def _of_status(error):
    default = (base.RefusalKind.BAD_REQUEST, error.reason, "Send a proper request")
    kind, message, remedy = _REFUSALS_BY_STATUS.get(error.status, default)
    response = _responses.refusal_response(base.Refusal(kind, message, remedy), "")
    response.set_status(error.status)
    if "Allow" in error.headers:
        response.headers["Allow"] = error.headers["Allow"]
    return response


def _origin(error):
    """Return where an error was raised; its text may hold a caller's data."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename.rpartition('sequoiagap/')[2]}:{frame.lineno}"
