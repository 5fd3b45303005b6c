"""HTTP responses to callers: complete answers, streams and refusals."""

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
    """Return the HTTP response for a refusal.

    :param sequoiagap.base.Refusal refusal: the refusal.
    :param str request_id: id of the request, or empty.
    :rtype: aiohttp.web.Response
    """
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_s:
        headers["Retry-After"] = str(max(math.ceil(refusal.retry_after_s), 1))
    return web.json_response(
        refusal.to_document(request_id), status=refusal.http_status, headers=headers
    )


class AnswerTooLargeError(base.SequoiagapError):
    """Raised when an answer that is not a stream is too large to buffer."""


class ResponseSink:
    """Sends an answer to the caller.

    An event stream is sent as it arrives. Any other answer is buffered until it is
    complete, so that a failed attempt can be retried without the caller noticing.

    :param aiohttp.web.Request http_request: the caller's request.
    :param str request_id: id of the request.
    :param float stall_s: longest time in which the caller may read nothing, in
        seconds.

    :ivar bool started: whether bytes have been sent to the caller.
    :ivar bool caller_stalled_: whether the caller was disconnected as it stalled.
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
        self._written_at = 0.0

    async def head(self, status, headers):
        """Set status and headers of the answer and discard the buffered body.

        :param int status: HTTP status.
        :param dict headers: HTTP headers of the answer.
        """
        self._status = status
        self._headers = dict(headers)
        self._buffer.clear()

    async def data(self, data):
        """Send or buffer a chunk of the answer's body.

        :param bytes data: the chunk.
        :raises AnswerTooLargeError: if a buffered answer grows too large.
        :raises OSError: if the caller has left or was disconnected.
        """
        if self._is_stream():
            await self._write(data)
            return
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            raise AnswerTooLargeError(
                f"answer is over {MAX_BUFFERED_BYTES} bytes", "Request a stream"
            )
        self._buffer += data

    async def finish(self):
        """Finish a complete answer and return the response.

        :rtype: aiohttp.web.StreamResponse
        """
        if self._stream is not None:
            await self._stream.write_eof()
            return self._stream
        headers = {**self._headers, "X-Request-Id": self.request_id}
        return web.Response(
            status=self._status, headers=headers, body=bytes(self._buffer)
        )

    async def abort(self, refusal):
        """End a started stream with an error event and close the connection.

        The stream gets no regular end, so that the caller can't take it for a
        complete answer.

        :param sequoiagap.base.Refusal refusal: why the answer is incomplete.
        :rtype: aiohttp.web.StreamResponse
        """
        document = json.dumps(refusal.to_document(self.request_id))
        event = f"\n\nevent: error\ndata: {document}\n\n"
        await self._stream.write(event.encode())
        if self.http_request.transport is not None:
            self.http_request.transport.close()
        return self._stream

    async def keep_alive(self):
        """Send an event stream comment if the stream is idle between two events."""
        is_idle = time.monotonic() - self._written_at >= KEEP_ALIVE_AFTER_S
        if self._stream is None or not self._is_at_event_end or not is_idle:
            return
        self._written_at = time.monotonic()
        transport = self.http_request.transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() == 0:
            await self._stream.write(b": keep-alive\n\n")

    def drop_stalled(self, now):
        """Disconnect the caller if it has read nothing for too long.

        Its request then ends like that of a caller that closed the connection.

        :param float now: monotonic time in seconds.
        :returns: whether bytes are still unsent or unacknowledged.
        :rtype: bool
        """
        if self._progress.is_stalled(now):
            self.caller_stalled_ = True
            self._progress.transport.abort()
        return self._progress.has_pending_

    def _is_stream(self):
        content_type = self._headers.get("content-type", "")
        return content_type.startswith(EVENT_STREAM)

    async def _write(self, data):
        if self._stream is None:
            headers = {**self._headers, "X-Request-Id": self.request_id}
            self._stream = web.StreamResponse(status=self._status, headers=headers)
            await self._stream.prepare(self.http_request)
        self.started = True
        self._written_at = time.monotonic()
        self._is_at_event_end = data.endswith(_EVENT_END)
        await self._stream.write(data)
