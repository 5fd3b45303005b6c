"""HTTP responses: whole answers, streams, cuts and refusals."""

import json
import math
import time

from aiohttp import web

from sequoiagap import base
from sequoiagap.entry import _caller_progress

EVENT_STREAM = "text/event-stream"
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
KEEP_ALIVE_AFTER_S = 1.0
_EVENT_END = b"\n\n"


def refusal_response(refusal, request_id):
    """Return the HTTP response of a refusal.

    :param sequoiagap.base.Refusal refusal: what was refused and why.
    :param str request_id: id of the request.
    :rtype: aiohttp.web.Response
    """
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after_s), 1))
    return web.json_response(
        refusal.to_document(request_id), status=refusal.http_status, headers=headers
    )


class AnswerTooLargeError(base.SequoiagapError):
    """An answer that is no stream is too large to be held."""


class ResponseSink:
    """Passes an answer to the caller.

    An event stream goes out as it comes. Any other answer is held until it is
    whole, so that a failed attempt can be retried unseen.

    :param aiohttp.web.Request http_request: the caller's request.
    :param str request_id: id of the request.
    :param float stall_s: how long the caller may take nothing, in seconds.

    :ivar bool started: whether bytes have reached the caller.
    :ivar bool caller_stalled_: whether the caller was cut off for that.
    """

    def __init__(self, http_request, request_id, stall_s):
        self.http_request = http_request
        self.request_id = request_id
        self.stall_s = stall_s
        self.started = False
        self.caller_stalled_ = False
        self._progress = _caller_progress.CallerProgress(
            http_request.transport, stall_s
        )
        self._status = 200
        self._headers = {}
        self._buffer = bytearray()
        self._stream = None
        self._is_at_event_end = False
        self._wrote_at = 0.0

    async def head(self, status, headers):
        """Take status and headers of the answer.

        :param int status: HTTP status.
        :param dict headers: HTTP headers to pass on.
        """
        self._status = status
        self._headers = dict(headers)
        self._buffer.clear()

    async def data(self, data):
        """Take a piece of the answer's body.

        :param bytes data: the piece.
        :raises AnswerTooLargeError: if a held answer grows too large.
        :raises OSError: if the caller has left or was cut off.
        """
        if self._is_stream():
            await self._write(data)
            return
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            raise AnswerTooLargeError(
                f"answer is over {MAX_BUFFERED_BYTES} bytes", "Ask for a stream"
            )
        self._buffer += data

    async def finish(self):
        """End the whole answer and return the response.

        :rtype: aiohttp.web.StreamResponse
        """
        if self._stream is not None:
            await self._stream.write_eof()
            return self._stream
        headers = {**self._headers, "X-Request-Id": self.request_id}
        return web.Response(
            status=self._status, headers=headers, body=bytes(self._buffer)
        )

    async def cut(self, refusal):
        """End a started stream with an error event, never with a clean end.

        :param sequoiagap.base.Refusal refusal: why it is cut short.
        :rtype: aiohttp.web.StreamResponse
        """
        document = json.dumps(refusal.to_document(self.request_id))
        event = f"\n\nevent: error\ndata: {document}\n\n"
        await self._stream.write(event.encode())
        if self.http_request.transport is not None:
            self.http_request.transport.close()
        return self._stream

    async def keep_alive(self):
        """Send a comment if the stream is idle between two events."""
        is_idle = time.monotonic() - self._wrote_at >= KEEP_ALIVE_AFTER_S
        if self._stream is None or not self._is_at_event_end or not is_idle:
            return
        self._wrote_at = time.monotonic()
        transport = self.http_request.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() == 0:
            await self._stream.write(b": keep-alive\n\n")

    def drop_stalled(self, now):
        """Cut the caller off if it has taken nothing for too long.

        Its request then ends like that of a caller who left.

        :param float now: monotonic time in seconds.
        :returns: whether bytes still wait for the caller.
        :rtype: bool
        """
        if self._progress.is_stalled(now):
            self.caller_stalled_ = True
            self._progress.transport.abort()
        return self._progress.is_waiting_

    def _is_stream(self):
        content_type = self._headers.get("content-type", "")
        return content_type.startswith(EVENT_STREAM)

    async def _write(self, data):
        if self._stream is None:
            headers = {**self._headers, "X-Request-Id": self.request_id}
            self._stream = web.StreamResponse(status=self._status, headers=headers)
            await self._stream.prepare(self.http_request)
        self.started = True
        self._wrote_at = time.monotonic()
        self._is_at_event_end = data.endswith(_EVENT_END)
        await self._stream.write(data)
