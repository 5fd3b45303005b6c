"""HTTP response that is checked and limited before anybody reads it."""

import aiohttp

from sequoiagap.wire import _byte_meter

MAX_INTERIM_ANSWERS = 16
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
HTTP_MAJOR_VERSION = 1


class BoundedResponse(aiohttp.ClientResponse):
    """A response of HTTP/1 with a final status, and of limited size.

    The HTTP library accepts any three digits as a status, and any version; it skips
    interim answers (status 1xx) without a limit. A status outside the range of HTTP
    says nothing about the request, so readers that compare it must not see it. A head
    or a body without end fails instead of filling the memory.

    Reading a body that exceeds a limit raises :class:`aiohttp.ClientPayloadError`.

    :param int max_body_bytes: longest body, or ``None`` for no limit.
    """

    def __init__(self, *args, max_body_bytes=None, **kwargs):
        super().__init__(*args, **kwargs)
        self.max_body_bytes = max_body_bytes
        self._meter = None

    def limit_body(self, max_body_bytes):
        """Limit the body of this answer, before it is read.

        :param int max_body_bytes: longest body.
        """
        self._meter.max_body_bytes = max_body_bytes

    async def start(self, connection):
        """Read the head of the answer.

        :raises aiohttp.ClientPayloadError: if too many interim answers precede it, or
            if head or announced body are too long.
        :raises aiohttp.ClientResponseError: if it is no final answer of HTTP/1.
        """
        self._meter = _byte_meter.ByteMeter(connection.protocol, self.max_body_bytes)
        self._meter.attach()
        await self._read_head(connection)
        self._check_status_line()
        self._check_length()
        self._meter.begin_body(self.content)
        return self

    async def read(self):
        """Read the body.

        :rtype: bytes
        :raises aiohttp.ClientPayloadError: if it is incomplete or exceeds its limit.
        """
        try:
            return await super().read()
        except aiohttp.ClientPayloadError as error:
            # The content refers to the error, whose frames hold what has been read, so
            # that only a garbage collection would free it.
            error.__traceback__ = None
            raise aiohttp.ClientPayloadError(str(error)) from None

    async def _read_head(self, connection):
        protocol = connection.protocol
        read = protocol.read
        left = MAX_INTERIM_ANSWERS

        async def read_bounded():
            nonlocal left
            if left < 0:
                raise aiohttp.ClientPayloadError("too many interim answers")
            left -= 1
            return await read()

        protocol.read = read_bounded
        try:
            await super().start(connection)
        finally:
            del protocol.read

    def _check_status_line(self):
        is_final = MIN_FINAL_STATUS <= self.status <= MAX_STATUS
        if is_final and self.version.major == HTTP_MAJOR_VERSION:
            return
        version = f"{self.version.major}.{self.version.minor}"
        raise aiohttp.ClientResponseError(
            self.request_info,
            self.history,
            status=self.status,
            message=f"no final answer: HTTP/{version} with status {self.status:03}",
        )

    def _check_length(self):
        limit, announced = self.max_body_bytes, self.content_length
        if limit is not None and announced is not None and announced > limit:
            raise aiohttp.ClientPayloadError(f"the body exceeds {limit} bytes")
