"""Reproducible traces of expert popularity."""

import math
import random

from sequoiagap import base

TRACES = base.Registry("trace")
POPULARITY_SIGMA = 0.5  # standard deviation of the logarithm
DRIFT_SIGMA = 0.6
DRIFT_PERIOD_INTERVALS = 288  # one day with a plan every five minutes
HOT_SHARE_OF_RANKS = 4.0


class Trace:
    """Base class of expert popularity over steps.

    :param int layers: number of layers with experts.
    :param int experts: number of experts per layer.
    :param int ranks: number of ranks of the group.
    :param int steps: length of the trace, in steps.
    :param int interval: steps between plans; the drift and the oscillation scale
        with it.
    :param int random_state: seed of the random generator.
    """

    def __init__(self, layers, experts, ranks, steps, interval, random_state):
        self.layers = layers
        self.experts = experts
        self.ranks = ranks
        self.steps = steps
        self.interval = interval
        self.random_state = random_state
        self._random = random.Random(random_state)
        self._first = [self._draw_weights() for _ in range(layers)]
        self._second = [self._draw_weights() for _ in range(layers)]

    def shares(self, step):
        """Return the expected load share of each expert, by layer.

        :param int step: number of the step, from 0.
        :rtype: list[list[float]]
        """
        rows = [self.weights(layer, step) for layer in range(self.layers)]
        return [[weight / sum(row) for weight in row] for row in rows]

    def sample(self, step, assignments):
        """Return the number of tokens routed to each expert in a step.

        :param int step: number of the step.
        :param int assignments: number of tokens times experts per token.
        :returns: counts by layer and expert, deterministic for a step and seed.
        :rtype: list[list[float]]
        """
        source = random.Random(self.random_state * 1_000_003 + step)
        counts = []
        for row in self.shares(step):
            means = [share * assignments for share in row]
            counts.append([max(m + source.gauss(0, 1) * m**0.5, 0) for m in means])
        return counts

    def weights(self, layer, step):
        """Return the unnormalized popularity of each expert; subclasses override it.

        :param int layer: index of the layer.
        :param int step: number of the step.
        :rtype: list[float]
        """
        raise NotImplementedError

    def _draw_weights(self):
        draws = (self._random.gauss(0, POPULARITY_SIGMA) for _ in range(self.experts))
        return [math.exp(x) for x in draws]


@TRACES.register("steady")
class Steady(Trace):
    """Keeps the popularity constant."""

    def weights(self, layer, step):
        """Return the same weights at each step."""
        return self._first[layer]


@TRACES.register("slow_drift")
class SlowDrift(Trace):
    """Varies each expert's popularity as a sine over a day, with different phases."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        angle = 2 * math.pi * step / (DRIFT_PERIOD_INTERVALS * self.interval)
        return [
            weight * math.exp(DRIFT_SIGMA * math.sin(angle + 2.4 * index + layer))
            for index, weight in enumerate(self._first[layer])
        ]


@TRACES.register("sudden_flip")
class SuddenFlip(Trace):
    """Changes the popularity abruptly after a third and back after two thirds."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        flipped = self.steps // 3 <= step < 2 * self.steps // 3
        return self._second[layer] if flipped else self._first[layer]


@TRACES.register("oscillation")
class Oscillation(Trace):
    """Alternates two popularities, each for slightly less than the plan interval."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        phase = int(step / (0.9 * self.interval)) % 2
        return self._second[layer] if phase else self._first[layer]


@TRACES.register("hot_expert")
class HotExpert(Trace):
    """Gives one expert four times a rank's fair share, and later another one."""

    def weights(self, layer, step):
        """Return the weights of a step."""
        weights = list(self._first[layer])
        hot = (layer + (step * 2 // self.steps) * 7) % self.experts
        share = HOT_SHARE_OF_RANKS / self.ranks
        weights[hot] = 0.0
        weights[hot] = sum(weights) * share / (1 - share)
        return weights
