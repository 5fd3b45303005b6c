"""Estimators of expert loads and rank speeds from late and incomplete reports."""

from sequoiagap import base

DEFAULT_HALF_LIVES = (0.2, 1.0, 8.0)  # in reports
ERROR_DECAY = 0.8  # factor applied to the accumulated error at each report
TIE_RATIO = 1.1  # ratio of errors that counts as a tie; the shortest half-life wins
SPEED_WEIGHT = 0.3  # weight of a new sample in the moving average
SPEED_DEAD_BAND = 0.05  # deviation from the median below which speeds count as equal


class LoadEstimator:
    """Predicts the load of each expert from counts of past intervals.

    Keeps one exponential moving average for each half-life and predicts, layer by
    layer, with the average whose recent predictions had the smallest error. A short
    half-life follows a sudden shift; a long one averages out an oscillation.

    :param int layers: number of layers with experts.
    :param int experts: number of experts in a layer.
    :param tuple half_lives: half-lives of the averages, in reports.

    :ivar int reports_: number of reports so far.

    >>> estimator = LoadEstimator(layers=1, experts=2)
    >>> estimator.update({0: [30, 10]})
    >>> estimator.predict()
    [[0.75, 0.25]]
    """

    def __init__(self, layers, experts, half_lives=DEFAULT_HALF_LIVES):
        self.layers = base.check_positive("layers", layers)
        self.experts = base.check_positive("experts", experts)
        self.half_lives = half_lives
        self.reports_ = 0
        even = [1.0 / experts] * experts
        self._averages = [[list(even) for _ in range(layers)] for _ in half_lives]
        self._errors = [[0.0] * layers for _ in half_lives]
        self._has_counts = [False] * layers
        self._totals = [0.0] * layers

    def update(self, counts_by_layer):
        """Record the counts of an interval; a missing layer keeps its estimate.

        :param dict counts_by_layer: tokens of each expert by layer.
        """
        for layer, counts in counts_by_layer.items():
            total = sum(counts)
            if total > 0:
                self._totals[layer] = total
                self._update_layer(layer, [count / total for count in counts])
        self.reports_ += 1

    def effective_tokens(self):
        """Return the effective sample size of each layer's prediction, in tokens.

        An average over several reports has less sampling noise than one report, so
        its effective sample size exceeds the tokens of one report.

        :rtype: list[float]
        """
        token_counts = []
        for layer in range(self.layers):
            weight = _smoothing_factor(self.half_lives[self._best_average(layer)])
            token_counts.append(self._totals[layer] * (2.0 - weight) / weight)
        return token_counts

    def predict(self):
        """Return the predicted share of each expert, layer by layer.

        :rtype: list[list[float]]
        """
        return [self._averages[self._best_average(x)][x] for x in range(self.layers)]

    def _update_layer(self, layer, shares):
        for index, half_life in enumerate(self.half_lives):
            average = self._averages[index][layer]
            error = sum(abs(a - s) for a, s in zip(average, shares, strict=True))
            decayed = ERROR_DECAY * self._errors[index][layer]
            self._errors[index][layer] = (
                decayed + error if self._has_counts[layer] else 0.0
            )
            weight = _smoothing_factor(half_life) if self._has_counts[layer] else 1.0
            self._averages[index][layer] = [
                a + weight * (s - a) for a, s in zip(average, shares, strict=True)
            ]
        self._has_counts[layer] = True

    def _best_average(self, layer):
        errors = [self._errors[index][layer] for index in range(len(self.half_lives))]
        threshold = min(errors) * TIE_RATIO
        return next(index for index, error in enumerate(errors) if error <= threshold)


def _smoothing_factor(half_life):
    return 1.0 - 0.5 ** (1.0 / half_life)


class SpeedEstimator:
    """Estimates the relative speed of each rank from its load and its busy time.

    :param int ranks: number of ranks in the group.

    :ivar list speeds_: speed of each rank relative to the median rank.

    >>> estimator = SpeedEstimator(ranks=3)
    >>> estimator.update([1.0, 1.0, 1.0], [1.0, 1.0, 2.0])
    >>> estimator.speeds_[2] < 1.0
    True
    """

    def __init__(self, ranks):
        self.ranks = base.check_positive("ranks", ranks)
        self.speeds_ = [1.0] * ranks
        self._averages = [1.0] * ranks

    def update(self, loads, times_s):
        """Record the load and the busy time of each rank in an interval.

        :param list loads: load of each rank.
        :param list times_s: busy time of each rank, in seconds.
        """
        if any(t <= 0 or load <= 0 for t, load in zip(times_s, loads, strict=True)):
            return
        raw = [load / t for load, t in zip(loads, times_s, strict=True)]
        median = sorted(raw)[self.ranks // 2]
        for rank, speed in enumerate(raw):
            step = speed / median - self._averages[rank]
            self._averages[rank] += SPEED_WEIGHT * step
        self.speeds_ = [_apply_dead_band(speed) for speed in self._averages]


def _apply_dead_band(speed):
    return 1.0 if abs(speed - 1.0) <= SPEED_DEAD_BAND else speed
