"""Counts the bytes of an answer as they arrive, and ends one that has no end."""

import aiohttp

MAX_HEAD_BYTES = 64 * 1024  # all fields together, those of interim answers included
MAX_FRAMING_BYTES = 64 * 1024  # between two pieces of a body


class ByteMeter:
    """Limits the bytes of one answer on its connection, before they are parsed.

    The HTTP library limits each field of a head but not their sum, and limits neither
    bodies nor the extensions of their chunks.

    :param aiohttp.client_proto.ResponseHandler protocol: protocol of the connection.
    :param int max_body_bytes: longest body, or ``None`` for no limit.
    """

    def __init__(self, protocol, max_body_bytes=None):
        self.protocol = protocol
        self.max_body_bytes = max_body_bytes
        self._content = None
        self._content_bytes = 0
        self._bytes_since_content = 0

    def attach(self):
        """Count what arrives from now on, in place of an earlier answer's meter."""
        self.protocol.data_received = self.data_received

    def begin_body(self, content):
        """Count what arrives from now on as the body.

        :param aiohttp.StreamReader content: receives the body.
        """
        self._content = content
        self._content_bytes = content.total_bytes
        self._bytes_since_content = 0
        content.on_eof(self._detach)

    def data_received(self, data):
        """Pass received bytes on, unless the answer has exceeded a limit."""
        limit = MAX_HEAD_BYTES if self._content is None else MAX_FRAMING_BYTES
        if self._bytes_since_content > limit:
            part = "head" if self._content is None else "framing of the body"
            self._fail(f"the {part} exceeds {limit} bytes")
            return
        self._bytes_since_content += len(data)
        type(self.protocol).data_received(self.protocol, data)
        if self._content is not None:
            self._check_body()

    def _check_body(self):
        received = self._content.total_bytes
        if received > self._content_bytes:
            self._content_bytes = received
            self._bytes_since_content = 0
        if self.max_body_bytes is not None and received > self.max_body_bytes:
            self._fail(f"the body exceeds {self.max_body_bytes} bytes")

    def _fail(self, reason):
        error = aiohttp.ClientPayloadError(reason)
        self._detach()
        self.protocol.abort()
        (self._content or self.protocol).set_exception(error)

    def _detach(self):
        self.protocol.__dict__.pop("data_received", None)
