"""A text stream for logs that never waits for its reader."""

import collections
import json
import os

from sequoiagap.base import _check

MAX_WAITING_BYTES = 256 * 1024


class BoundedStream:
    """Writes lines to a descriptor without waiting.

    Lines that the reader does not take are kept up to a bound; further ones are left
    out and counted. The first line after such a gap tells how many.

    :param int descriptor: where to write; it is made non-blocking.
    :param int max_waiting_bytes: bytes that are kept at most.

    :ivar int dropped_lines_: lines left out so far.
    """

    def __init__(self, descriptor, max_waiting_bytes=MAX_WAITING_BYTES):
        self.descriptor = descriptor
        self.max_waiting_bytes = _check.check_positive(
            "max_waiting_bytes", max_waiting_bytes
        )
        self.dropped_lines_ = 0
        self._untold = 0
        self._waiting = collections.deque()
        self._waiting_bytes = 0
        self._part = ""
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Write text; whole lines go out at once or are kept.

        :param str text: the text.
        """
        *lines, self._part = (self._part + text).split("\n")
        for line in lines:
            self._add(line)
        self.flush()

    def flush(self):
        """Hand over what the reader takes now."""
        while self._waiting:
            data = self._waiting[0]
            try:
                count = os.write(self.descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                count = len(data)  # nobody reads any more
            self._waiting_bytes -= count
            if count < len(data):
                self._waiting[0] = data[count:]
                return
            self._waiting.popleft()

    def _add(self, line):
        data = f"{line}\n".encode()
        if self._waiting_bytes + len(data) > self.max_waiting_bytes:
            self.dropped_lines_ += 1
            self._untold += 1
            return
        if self._untold:
            gap = json.dumps({"event": "lines_dropped", "lines": self._untold})
            data = f"{gap}\n".encode() + data
            self._untold = 0
        self._waiting.append(data)
        self._waiting_bytes += len(data)
