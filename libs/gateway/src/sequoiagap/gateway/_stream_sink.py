"""Response of a stream to its caller."""

import asyncio

from aiohttp import web

from sequoiagap.gateway import _headers


class StreamSink:
    """Writes the events of a stream to the caller.

    :param aiohttp.web.BaseRequest http_request: the caller's request.

    An attempt may be cancelled while the caller does not read. What it has written is
    on its way to the caller, and a later attempt goes on after it.

    :ivar bool started: whether the response head has been sent to the caller.
    :ivar int last_id: id of the last event handed to the caller's connection, or
        ``None``.
    """

    def __init__(self, http_request):
        self.http_request = http_request
        self.started = False
        self.last_id = None
        self.response_ = None
        self._writing = None

    async def send_head(self, status, headers):
        """Send the response head once.

        A stream that resumes at another endpoint keeps the first head.
        """
        if self.started:
            return
        self.response_ = web.StreamResponse(
            status=status, headers=_headers.end_to_end(headers)
        )
        self.started = True
        await self.response_.prepare(self.http_request)

    async def send_events(self, events, last_id):
        """Send complete events; wait while the caller's connection is full."""
        await self.wait_written()
        data = b"".join(events)
        self.last_id = last_id
        if self._has_room(len(data)):
            await self.response_.write(data)
            return
        self._writing = asyncio.ensure_future(self.response_.write(data))
        self._writing.add_done_callback(_retrieve_exception)
        await self.wait_written()

    async def wait_written(self):
        """Wait for what has been written before.

        The HTTP library fails all later writes if the wait of one is cancelled.
        """
        if self._writing is not None:
            await asyncio.shield(self._writing)
            self._writing = None

    def _has_room(self, size):
        """Return whether bytes can be written without a wait."""
        transport = self.http_request.transport
        if transport is None:
            return True  # the write then raises the error
        _, high = transport.get_write_buffer_limits()
        return transport.get_write_buffer_size() + size <= high

    def abort(self):
        """Abort the connection, so that a cut answer does not look complete."""
        transport = self.http_request.transport
        if transport is not None:
            transport.abort()


def _retrieve_exception(writing):
    """Retrieve how a write ended, so that asyncio does not log it."""
    if not writing.cancelled():
        writing.exception()
