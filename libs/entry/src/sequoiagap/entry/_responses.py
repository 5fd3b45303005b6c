"""HTTP responses: whole answers, streams, cuts and refusals."""

import json
import math

from aiohttp import web

from sequoiagap import base

EVENT_STREAM = "text/event-stream"
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


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


class ResponseSink:
    """Passes an answer to the caller.

    An event stream goes out as it comes. Any other answer is held until it is
    whole, so that a failed attempt can be retried unseen.

    :param aiohttp.web.Request http_request: the caller's request.
    :param str request_id: id of the request.

    :ivar bool started: whether bytes have reached the caller.
    """

    def __init__(self, http_request, request_id):
        self.http_request = http_request
        self.request_id = request_id
        self.started = False
        self._status = 200
        self._headers = {}
        self._buffer = bytearray()
        self._stream = None

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
        :raises sequoiagap.base.WireError: if a held answer grows too large.
        """
        if self._is_stream():
            await self._write(data)
            return
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            raise base.WireError(
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
        self.http_request.transport.close()
        return self._stream

    def _is_stream(self):
        content_type = self._headers.get("content-type", "")
        return content_type.startswith(EVENT_STREAM)

    async def _write(self, data):
        if self._stream is None:
            headers = {**self._headers, "X-Request-Id": self.request_id}
            self._stream = web.StreamResponse(status=self._status, headers=headers)
            await self._stream.prepare(self.http_request)
        self.started = True
        await self._stream.write(data)
