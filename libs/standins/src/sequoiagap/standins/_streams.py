"""Streams that outlive their connection, so that callers can resume or cancel them."""

import asyncio

from aiohttp import web

RESUME_HEADER = "X-Resume-Offset"


class HeldStream:
    """Buffers one stream, which is produced whether or not anyone reads it.

    :param produce: coroutine function that takes a function to add bytes.
    """

    def __init__(self, produce):
        self.data = bytearray()
        self.ended = False
        self._changed = asyncio.Condition()
        self.task = asyncio.create_task(self._run(produce), name="held-stream")

    async def _run(self, produce):
        try:
            await produce(self._add)
        finally:
            self.ended = True
            async with self._changed:
                self._changed.notify_all()

    async def _add(self, data):
        self.data += data
        async with self._changed:
            self._changed.notify_all()

    async def read_from(self, offset):
        """Wait for bytes after an offset and return them; empty at the end.

        :param int offset: number of bytes that the reader already has.
        :rtype: bytes
        """
        async with self._changed:
            await self._changed.wait_for(lambda: self.ended or len(self.data) > offset)
        return bytes(self.data[offset:])


class HeldStreams:
    """Keeps streams by request id.

    :ivar dict by_id: streams by request id.
    """

    def __init__(self):
        self.by_id = {}

    def add_routes(self, router):
        """Register ``DELETE /streams/{id}``, which cancels a stream.

        :param aiohttp.web.UrlDispatcher router: router to add it to.
        """
        router.add_delete("/streams/{id}", self._on_cancel)

    def start(self, request_id, produce):
        """Start to produce a stream.

        :param str request_id: id of the request.
        :param produce: coroutine function that takes a function to add bytes.
        :rtype: HeldStream
        """
        self.by_id[request_id] = HeldStream(produce)
        return self.by_id[request_id]

    async def _on_cancel(self, request):
        held = self.by_id.pop(request.match_info["id"], None)
        if held is None:
            return web.Response(status=404)
        held.task.cancel()
        return web.Response(status=204)
