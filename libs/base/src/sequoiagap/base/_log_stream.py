"""Non-blocking text stream for logs with a bounded buffer."""

import collections
import json
import os

from sequoiagap.base import _check

MAX_WAITING_BYTES = 256 * 1024


class BoundedStream:
    """Writes lines to a file descriptor without ever blocking.

    A reader that is slow or stopped must not block the process. Lines that it has not
    read are buffered up to a limit; further lines are dropped and counted. The number
    of dropped lines is written before the first line after the gap.

    :param int descriptor: file descriptor to write to; it is made non-blocking.
    :param int max_waiting_bytes: maximum size of the buffer in bytes.

    :ivar int dropped_lines_: lines dropped so far.
    """

    def __init__(self, descriptor, max_waiting_bytes=MAX_WAITING_BYTES):
        self.descriptor = descriptor
        self.max_waiting_bytes = _check.check_positive(
            "max_waiting_bytes", max_waiting_bytes
        )
        self.dropped_lines_ = 0
        self._unreported_lines = 0
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._partial_line = ""
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write text; complete lines are written at once or buffered.

        :param str text: text to write, not necessarily a complete line.
        """
        *lines, self._partial_line = (self._partial_line + text).split("\n")
        for line in lines:
            self._add(line)
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts without blocking."""
        while self._waiting:
            data = self._waiting[0]
            try:
                count = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                count = len(data)  # the reader has closed its end
            self._waiting_bytes -= count
            if count < len(data):
                self._waiting[0] = data[count:]
                return
            self._waiting.popleft()

    def _add(self, line):
        data = f"{line}\n".encode()
        if self._waiting_bytes + len(data) > self.max_waiting_bytes:
            self.dropped_lines_ += 1
            self._unreported_lines += 1
            return
        if self._unreported_lines:
            gap = json.dumps(
                {"event": "lines_dropped", "lines": self._unreported_lines}
            )
            data = f"{gap}\n".encode() + data
            self._unreported_lines = 0
        self._waiting.append(data)
        self._waiting_bytes += len(data)
