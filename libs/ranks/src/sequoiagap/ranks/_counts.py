"""Compact samples of expert counts, as sent to a leader.

An engine counts from its start, in large numbers. A leader needs how often each expert
was chosen recently, and with no more precision than demand can be predicted with. An
agent therefore sends the difference to its previous reading, compressed, with one byte
per expert.
"""

import dataclasses
import zlib

LEVELS = 63  # level of the largest count; half a level is within the noise of demand
COMPRESSION = 1
MIN_SPAN_S = 0.001


@dataclasses.dataclass(frozen=True)
class CountsReading:
    """Number of times that a rank's requests chose each expert in a time span.

    :param bytes levels: compressed, one byte per expert, layer after layer.
    :param float scale: number of choices that one level stands for.
    :param float span_s: length of the span, in seconds.
    """

    levels: bytes = b""
    scale: float = 1.0
    span_s: float = 0.0

    def rates(self):
        """Return the choices per second, layer after layer.

        :rtype: list[float]
        """
        factor = self.scale / self.span_s
        return [level * factor for level in zlib.decompress(self.levels)]


class CountsSampler:
    """Converts an engine's counts since its start into readings of time spans."""

    def __init__(self):
        self._last = None

    def sample(self, counts, now):
        """Return the reading since the previous counts.

        :param list counts: counts since the engine's start, layer after layer.
        :param float now: monotonic time in seconds.
        :returns: the reading; ``None`` if the engine restarted or there were no
            previous counts.
        :rtype: CountsReading | None

        >>> sampler = CountsSampler()
        >>> sampler.sample([4, 0], now=1.0) is None
        True
        >>> sampler.sample([10, 2], now=1.5).rates()
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
