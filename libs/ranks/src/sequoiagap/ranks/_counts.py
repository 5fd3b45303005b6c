"""Counts of experts on their way to a leader.

An engine counts from its start, in large numbers. A leader needs how often each expert
was chosen of late, and no more precisely than demand can be predicted from it, so an
agent sends the difference to its last reading, in a byte an expert, compressed.
"""

import dataclasses
import zlib

LEVELS = 63  # of the largest count; half a level is within the noise of demand
COMPRESSION = 1
MIN_SPAN_S = 0.001


@dataclasses.dataclass(frozen=True)
class CountsReading:
    """How often a rank's requests chose each expert in a span of time.

    :param bytes levels: compressed, one byte an expert, layer after layer.
    :param float scale: choices that a level stands for.
    :param float span_s: the span, in seconds.
    """

    levels: bytes = b""
    scale: float = 1.0
    span_s: float = 0.0

    def rates(self):
        """Return the choices a second, layer after layer.

        :rtype: list[float]
        """
        factor = self.scale / self.span_s
        return [level * factor for level in zlib.decompress(self.levels)]


class CountsSampler:
    """Turns an engine's counts since its start into readings of spans."""

    def __init__(self):
        self._last = None

    def sample(self, counts, now):
        """Take the engine's counts and return the reading since the last ones.

        :param list counts: counts since the engine's start, layer after layer.
        :param float now: monotonic time in seconds.
        :returns: the reading; ``None`` where the engine started anew or there were no
            counts before.
        :rtype: CountsReading | None

        >>> sampler = CountsSampler()
        >>> sampler.take([4, 0], now=1.0) is None
        True
        >>> sampler.take([10, 2], now=1.5).rates()
        [12.0, 4.0]
        """
        last, self._last = self._last, (counts, now)
        if last is None or len(last[0]) != len(counts):
            return None
        span_s = max(now - last[1], MIN_SPAN_S)
        changes = [new - old for new, old in zip(counts, last[0], strict=True)]
        if min(changes, default=0) < 0:
            return None
        scale = max(max(changes, default=0) / LEVELS, 1.0)
        levels = bytes(int(change / scale + 0.5) for change in changes)
        return CountsReading(zlib.compress(levels, COMPRESSION), scale, span_s)
