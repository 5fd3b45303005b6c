"""Bound on how many log lines of one event a process writes."""

import dataclasses

from sequoiagap.base import _check

LINES_PER_S = 100.0
BURST_LINES = 200


@dataclasses.dataclass
class _Bucket:
    tokens: float
    at: float
    suppressed: int = 0


class LineLimiter:
    """A token bucket for each event number.

    :param float lines_per_s: lines of one event that are written in the long run.
    :param int burst_lines: lines of one event that are written at once.

    :ivar dict suppressed_by_number: lines left out so far, by event number.

    >>> limiter = LineLimiter(lines_per_s=1, burst_lines=1)
    >>> [limiter.take(1001, now) for now in (0.0, 0.1, 0.2, 1.5)]
    [0, None, None, 2]
    """

    def __init__(self, lines_per_s=LINES_PER_S, burst_lines=BURST_LINES):
        self.lines_per_s = _check.check_positive("lines_per_s", lines_per_s)
        self.burst_lines = _check.check_positive("burst_lines", burst_lines)
        self.suppressed_by_number = {}
        self._bucket_by_number = {}

    def take(self, number, now):
        """Ask to write a line of an event.

        :param int number: number of the event.
        :param float now: monotonic time in seconds.
        :returns: how many lines were left out since the last one that was
            written, or ``None`` if this one is to be left out.
        :rtype: int | None
        """
        bucket = self._bucket_by_number.get(number)
        if bucket is None:
            bucket = _Bucket(self.burst_lines, now)
            self._bucket_by_number[number] = bucket
        earned = max(now - bucket.at, 0.0) * self.lines_per_s
        bucket.tokens = min(bucket.tokens + earned, self.burst_lines)
        bucket.at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            total = self.suppressed_by_number.get(number, 0) + 1
            self.suppressed_by_number[number] = total
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed
