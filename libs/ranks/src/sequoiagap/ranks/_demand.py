"""Demand for experts, from the counts of all ranks."""

from sequoiagap import experts

HALF_LIVES = (0.7, 2.0, 6.0)  # in readings


class GroupDemand:
    """Follows which experts the requests of a group choose.

    :param int layers: layers with a map of their own.
    :param int experts: experts of a layer.

    :ivar int readings_: readings that showed work.
    :ivar list newest_: counts of the newest such reading alone, layer by layer.
    """

    def __init__(self, layers, experts_per_layer):
        self.layers = layers
        self.experts_per_layer = experts_per_layer
        self.readings_ = 0
        self.newest_ = []
        self._estimator = experts.LoadEstimator(layers, experts_per_layer, HALF_LIVES)
        self._last_by_rank = {}

    def take(self, counts_by_rank):
        """Take a reading of the ranks' counts since their start.

        :param dict counts_by_rank: layer after layer, one number for each expert.
        :returns: whether there was work between this reading and the one before.
        :rtype: bool
        """
        width = self.experts_per_layer
        totals = [0] * (self.layers * width)
        for rank, counts in counts_by_rank.items():
            if len(counts) != len(totals):
                continue
            last = self._last_by_rank.get(rank)
            self._last_by_rank[rank] = counts
            if last is None or any(n < o for n, o in zip(counts, last, strict=True)):
                continue
            totals = [t + n - o for t, n, o in zip(totals, counts, last, strict=True)]
        if not any(totals):
            return False
        self.newest_ = [totals[x * width :][:width] for x in range(self.layers)]
        self._estimator.update(dict(enumerate(self.newest_)))
        self.readings_ += 1
        return True

    def predict(self):
        """Return the predicted share of each expert, layer by layer.

        :rtype: list[list[float]]
        """
        return self._estimator.predict()
