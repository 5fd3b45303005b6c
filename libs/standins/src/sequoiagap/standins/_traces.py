"""Seeded traces of expert popularity."""

import math
import random

from sequoiagap import base

TRACES = base.Registry("trace")
POPULARITY_SIGMA = 0.5  # of the logarithm
DRIFT_SIGMA = 0.6
DRIFT_PERIOD_INTERVALS = 288  # a day of plans five minutes apart
HOT_SHARE_OF_RANKS = 4.0


class Trace:
    """Popularity of experts over steps.

    :param int layers: layers with experts.
    :param int experts: experts in a layer.
    :param int ranks: ranks of the group.
    :param int steps: length of the trace.
    :param int interval: steps between plans, which some traces play against.
    :param int random_state: seed.
    """

    def __init__(self, layers, experts, ranks, steps, interval, random_state):
        self.layers = layers
        self.experts = experts
        self.ranks = ranks
        self.steps = steps
        self.interval = interval
        self.random_state = random_state
        self._random = random.Random(random_state)
        self._first = [self._draw() for _ in range(layers)]
        self._second = [self._draw() for _ in range(layers)]

    def shares(self, step):
        """Return the expected share of each expert, layer by layer.

        :param int step: number of the step, from 0.
        :rtype: list[list[float]]
        """
        rows = [self.weights(layer, step) for layer in range(self.layers)]
        return [[weight / sum(row) for weight in row] for row in rows]

    def sample(self, step, assignments):
        """Return the tokens that go to each expert in a step.

        :param int step: number of the step.
        :param int assignments: tokens times experts for each token.
        :returns: counts, layer by layer; the same for the same step and seed.
        :rtype: list[list[float]]
        """
        source = random.Random(self.random_state * 1_000_003 + step)
        counts = []
        for row in self.shares(step):
            means = [share * assignments for share in row]
            counts.append([max(m + source.gauss(0, 1) * m**0.5, 0) for m in means])
        return counts

    def weights(self, layer, step):
        """Return unscaled popularity; traces override it.

        :param int layer: the layer.
        :param int step: number of the step.
        :rtype: list[float]
        """
        raise NotImplementedError

    def _draw(self):
        draws = (self._random.gauss(0, POPULARITY_SIGMA) for _ in range(self.experts))
        return [math.exp(x) for x in draws]


@TRACES.register("steady")
class Steady(Trace):
    """Popularity that never changes."""

    def weights(self, layer, step):
        """Return the same weights at each step."""
        return self._first[layer]


@TRACES.register("slow_drift")
class SlowDrift(Trace):
    """Each expert's popularity swings once a day, out of phase."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        angle = 2 * math.pi * step / (DRIFT_PERIOD_INTERVALS * self.interval)
        return [
            weight * math.exp(DRIFT_SIGMA * math.sin(angle + 2.4 * index + layer))
            for index, weight in enumerate(self._first[layer])
        ]


@TRACES.register("sudden_flip")
class SuddenFlip(Trace):
    """Popularity changes at once, after a third and again after two thirds."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        flipped = self.steps // 3 <= step < 2 * self.steps // 3
        return self._second[layer] if flipped else self._first[layer]


@TRACES.register("oscillation")
class Oscillation(Trace):
    """Two popularities take turns, each a little shorter than the interval."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        turn = int(step / (0.9 * self.interval)) % 2
        return self._second[layer] if turn else self._first[layer]


@TRACES.register("hot_expert")
class HotExpert(Trace):
    """One expert takes four times a rank's fair share; another does later."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        weights = list(self._first[layer])
        hot = (layer + (step * 2 // self.steps) * 7) % self.experts
        share = HOT_SHARE_OF_RANKS / self.ranks
        weights[hot] = 0.0
        weights[hot] = sum(weights) * share / (1 - share)
        return weights
