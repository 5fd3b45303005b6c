"""Whether a caller takes the bytes that wait for it."""

import socket
import struct

_INFO_BYTES = 152
_UNACKED = struct.Struct("I"), 24
_ACKED = struct.Struct("Q"), 120
_UNSENT = struct.Struct("I"), 144


class CallerProgress:
    """Finds out when a caller has taken nothing for too long.

    The system's count of acknowledged bytes shows a dead host, which acknowledges
    nothing, and a caller that reads nothing, once its receive buffer is full.
    While nothing waits for the caller no time passes.

    :param transport: the connection's transport, or ``None``.
    :param float stall_s: how long a caller may take nothing, in seconds.

    :ivar bool is_waiting_: whether bytes waited for the caller at the last look.

    .. code-block:: python

        progress = CallerProgress(http_request.transport, stall_s=2.0)
        if progress.is_stalled(time.monotonic()):
            http_request.transport.abort()
    """

    def __init__(self, transport, stall_s):
        self.transport = transport
        self.stall_s = stall_s
        self.is_waiting_ = False
        self._acked = -1
        self._moved_at = 0.0

    def is_stalled(self, now):
        """Look again; tell whether the caller has taken nothing for too long.

        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        waiting, acked = self._read()
        self.is_waiting_ = waiting > 0
        if not waiting or acked != self._acked:
            self._acked = acked
            self._moved_at = now
            return False
        return now - self._moved_at >= self.stall_s

    def _read(self):
        """Return how much waits for the caller, and how much it has taken."""
        sock = self.transport and self.transport.get_extra_info("socket")
        if sock is None:
            return 0, 0
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        except OSError:
            return 0, 0  # closed
        waiting = self.transport.get_write_buffer_size()
        waiting += _field(info, *_UNACKED) + _field(info, *_UNSENT)
        return waiting, _field(info, *_ACKED)


def _field(info, layout, offset):
    return layout.unpack_from(info, offset)[0]
