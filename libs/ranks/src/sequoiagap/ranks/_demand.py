"""Demand for experts, aggregated from the counts of all ranks."""

import operator

from sequoiagap import experts

HALF_LIVES = (0.7, 2.0, 6.0)  # in readings
MAX_AGE_S = 2.0  # of a rank's counts; a rank with older ones is left out
COVERAGE = 0.5  # minimum share of the ranks with counts for a reading


class GroupDemand:
    """Tracks which experts the requests of a group choose.

    Handles groups in which not all ranks can report their counts in one cycle. Each
    rank contributes its last counts, so that every reading covers all ranks, including
    those polled in earlier cycles.

    :param int layers: number of layers with a map of their own.
    :param int experts_per_layer: number of experts in a layer.
    :param int ranks: number of ranks in the group.

    :ivar int readings_: number of readings that showed work.
    :ivar list newest_rates_: choices per second of all ranks, layer by layer, in the
        newest such reading.
    """

    def __init__(self, layers, experts_per_layer, ranks):
        self.layers = layers
        self.experts_per_layer = experts_per_layer
        self.ranks = ranks
        self.readings_ = 0
        self.newest_rates_ = []
        self._estimator = experts.LoadEstimator(layers, experts_per_layer, HALF_LIVES)
        self._rates_by_rank = {}

    @property
    def ranks_by_age_(self):
        """Ranks by the age of their counts, oldest first."""
        return sorted(range(self.ranks), key=self._last_reading_at)

    @property
    def has_coverage_(self):
        """Whether enough ranks have reported their counts."""
        return len(self._rates_by_rank) >= COVERAGE * self.ranks

    def update(self, reading_by_rank, now):
        """Add the count samples of some ranks.

        :param dict reading_by_rank: a :class:`CountsReading` of some ranks.
        :param float now: monotonic time in seconds.
        :returns: whether these ranks had work.
        :rtype: bool
        """
        has_work = False
        for rank, reading in reading_by_rank.items():
            rates = reading.rates()
            if len(rates) == self.layers * self.experts_per_layer:
                self._rates_by_rank[rank] = (rates, now)
                has_work = has_work or any(rates)
        self._drop_old(now)
        if has_work and self.has_coverage_:
            self._update_estimate()
        return has_work

    def predict(self):
        """Return the predicted share of each expert, layer by layer.

        :rtype: list[list[float]]
        """
        return self._estimator.predict()

    def _update_estimate(self):
        totals = [0.0] * (self.layers * self.experts_per_layer)
        for rates, _ in self._rates_by_rank.values():
            totals = list(map(operator.add, totals, rates))
        width = self.experts_per_layer
        self.newest_rates_ = [totals[x * width :][:width] for x in range(self.layers)]
        self._estimator.update(dict(enumerate(self.newest_rates_)))
        self.readings_ += 1

    def _drop_old(self, now):
        old = [r for r, (_, at) in self._rates_by_rank.items() if now - at > MAX_AGE_S]
        for rank in old:
            del self._rates_by_rank[rank]

    def _last_reading_at(self, rank):
        found = self._rates_by_rank.get(rank)
        return found[1] if found is not None else 0.0
