"""Middleware that turns HTTP errors and handler failures into typed refusals."""

import traceback

from aiohttp import web

from sequoiagap import base
from sequoiagap.entry import _responses

_log = base.get_logger("http")

_RESPONSE_STARTED = "sequoiagap.started"
_REFUSALS_BY_STATUS = {
    404: (
        base.RefusalKind.NOT_FOUND,
        "the path does not exist",
        "See the paths in docs/OPERATORS.md",
    ),
    405: (
        base.RefusalKind.BAD_REQUEST,
        "the path does not take this method",
        "Use a method that the Allow header names",
    ),
    413: (base.RefusalKind.TOO_LARGE, "the body is too large", "Send a smaller body"),
}
_HANDLER_FAILURE = base.Refusal(
    base.RefusalKind.INTERNAL_ERROR,
    "the entry failed while handling this call",
    "Look for event 1010 in the entry's log and report it",
    outcome=base.Outcome.UNKNOWN,
)


@web.middleware
async def handle_errors(http_request, handler):
    """Convert HTTP errors of the server and failures of handlers into refusals.

    :param aiohttp.web.Request http_request: the HTTP request.
    :param handler: the next handler in the chain.
    :rtype: aiohttp.web.StreamResponse
    """
    try:
        return await handler(http_request)
    except web.HTTPException as error:
        return _response_for_status(error)
    except ConnectionError:
        raise  # the caller has disconnected
    except Exception as error:
        _log.emit(
            base.Event.HANDLER_FAILED,
            path=http_request.match_info.route.resource.canonical,
            error=type(error).__name__,
            at=_raise_location(error),
        )
        if http_request.get(_RESPONSE_STARTED):
            # A second response would be sent inside the body of the first one.
            http_request.transport.abort()
            raise
        return _responses.refusal_response(_HANDLER_FAILURE, "")


async def mark_started(http_request, response):
    """Mark a request whose response has been started.

    :param aiohttp.web.Request http_request: the HTTP request.
    :param aiohttp.web.StreamResponse response: its response.
    """
    http_request[_RESPONSE_STARTED] = True


def _response_for_status(error):
    default = (base.RefusalKind.BAD_REQUEST, error.reason, "Send a valid HTTP request")
    kind, message, remedy = _REFUSALS_BY_STATUS.get(error.status, default)
    response = _responses.refusal_response(base.Refusal(kind, message, remedy), "")
    response.set_status(error.status)
    if "Allow" in error.headers:
        response.headers["Allow"] = error.headers["Allow"]
    return response


def _raise_location(error):
    """Return file and line where an error was raised.

    The text of the error is not logged, as it may contain a caller's data.
    """
    frame = traceback.extract_tb(error.__traceback__)[-1]
    return f"{frame.filename.rpartition('sequoiagap/')[2]}:{frame.lineno}"
