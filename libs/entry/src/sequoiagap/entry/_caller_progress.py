"""Detection of callers that stop reading their answer."""

import socket
import struct

_TCP_INFO_BYTES = 152
_UNACKED = struct.Struct("I"), 24
_ACKED = struct.Struct("Q"), 120
_UNSENT = struct.Struct("I"), 144


class CallerProgress:
    """Detects a caller that has acknowledged no bytes for too long.

    The kernel's count of acknowledged bytes (``TCP_INFO``) exposes a failed host,
    which acknowledges nothing, and a caller that doesn't read, once its receive
    buffer is full. Time without bytes to send doesn't count.

    :param transport: transport of the connection, or ``None``.
    :param float stall_s: longest time without progress, in seconds.

    :ivar bool has_pending_: whether bytes were unsent or unacknowledged at the last
        check.

    .. code-block:: python

        progress = CallerProgress(http_request.transport, stall_s=2.0)
        if progress.is_stalled(time.monotonic()):
            http_request.transport.abort()
    """

    def __init__(self, transport, stall_s):
        self.transport = transport
        self.stall_s = stall_s
        self.has_pending_ = False
        self._acked = -1
        self._progressed_at = 0.0

    def is_stalled(self, now):
        """Check the connection; return whether the caller has stalled.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        waiting, acked = self._read_tcp_info()
        self.has_pending_ = waiting > 0
        if not waiting or acked != self._acked:
            self._acked = acked
            self._progressed_at = now
            return False
        return now - self._progressed_at >= self.stall_s

    def _read_tcp_info(self):
        """Return the number of pending bytes and of acknowledged bytes."""
        sock = self.transport and self.transport.get_extra_info("socket")
        if sock is None:
            return 0, 0
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        except OSError:
            return 0, 0  # the socket is closed
        waiting = self.transport.get_write_buffer_size()
        waiting += _unpack_field(info, *_UNACKED) + _unpack_field(info, *_UNSENT)
        return waiting, _unpack_field(info, *_ACKED)


def _unpack_field(info, layout, offset):
    return layout.unpack_from(info, offset)[0]
