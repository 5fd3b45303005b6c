"""Rate limit of log lines, separate for each event number."""

import dataclasses

from sequoiagap.base import _check

LINES_PER_S = 100.0
BURST_LINES = 200


@dataclasses.dataclass
class _Bucket:
    tokens: float
    updated_at: float
    suppressed: int = 0


class LineLimiter:
    """Limits the rate of log lines with a token bucket for each event number.

    :param float lines_per_s: sustained rate of one event, in lines per second.
    :param int burst_lines: lines of one event that may be written in a burst.

    :ivar dict suppressed_by_number: suppressed lines so far, by event number.

    >>> limiter = LineLimiter(lines_per_s=1, burst_lines=1)
    >>> [limiter.acquire(1001, now) for now in (0.0, 0.1, 0.2, 1.5)]
    [0, None, None, 2]
    """

    def __init__(self, lines_per_s=LINES_PER_S, burst_lines=BURST_LINES):
        self.lines_per_s = _check.check_positive("lines_per_s", lines_per_s)
        self.burst_lines = _check.check_positive("burst_lines", burst_lines)
        self.suppressed_by_number = {}
        self._bucket_by_number = {}

    def acquire(self, number, now):
        """Request a token for one line of an event.

        :param int number: number of the event.
        :param float now: monotonic time in seconds.
        :returns: how many lines were suppressed since the last written one, or
            ``None`` if this line must be suppressed.
        :rtype: int | None
        """
        bucket = self._bucket_by_number.get(number)
        if bucket is None:
            bucket = _Bucket(self.burst_lines, now)
            self._bucket_by_number[number] = bucket
        refill = max(now - bucket.updated_at, 0.0) * self.lines_per_s
        bucket.tokens = min(bucket.tokens + refill, self.burst_lines)
        bucket.updated_at = now
        if bucket.tokens < 1:
            bucket.suppressed += 1
            total = self.suppressed_by_number.get(number, 0) + 1
            self.suppressed_by_number[number] = total
            return None
        bucket.tokens -= 1
        suppressed, bucket.suppressed = bucket.suppressed, 0
        return suppressed
