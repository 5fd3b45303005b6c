"""Policies that plan the next expert map, registered by name.

The ``plan`` method of a policy is a generator. It yields between short pieces of
work, so that an event loop can run in between, and returns the map.
"""

import asyncio
import dataclasses
import math
import statistics
import time

from sequoiagap import base
from sequoiagap.experts import _bound, _placement, _replan, _search

POLICIES = base.Registry("expert map policy")
MAX_SLICE_S = 0.004
CONFIDENCE_WEIGHT = 0.3
MIN_CONFIDENCE = 0.05
RESTART_RATIO = 1.05  # ratio to the lower bound above which a search starts over
# Probability that sampling noise alone keeps balanced ranks below the noise limit.
MEDIAN_NOISE_PROBABILITY = 0.5
HIGH_NOISE_PROBABILITY = 0.95


@dataclasses.dataclass(frozen=True)
class PlanCosts:
    """Cost of moving experts and the time over which a plan has to amortize it.

    :param int expert_bytes: size of one expert's weights in one layer, in bytes.
    :param float store_bytes_s: rate at which the weight store serves the group, in
        bytes per second.
    :param float staging_slowdown: share of step time lost while weights load.
    :param float pause_s: pause of the group for a change of map, in seconds.
    :param float horizon_s: time for which a plan is expected to be used, in seconds.
    :param float interval_s: time between plans, in seconds.
    :param float hysteresis: minimum ratio of gain to cost.
    """

    expert_bytes: int = 44_000_000
    store_bytes_s: float = 2e9
    staging_slowdown: float = 0.05
    pause_s: float = 0.02
    horizon_s: float = 600.0
    interval_s: float = 300.0
    hysteresis: float = 2.5

    @property
    def move_s(self):
        """Step time lost by one move, in seconds."""
        return self.expert_bytes / self.store_bytes_s * self.staging_slowdown

    @property
    def moves_per_interval(self):
        """Number of moves that the weight store can serve between two plans."""
        return int(self.store_bytes_s * self.interval_s / self.expert_bytes)


@dataclasses.dataclass(frozen=True)
class PlanInput:
    """Input of a planning policy.

    :param ExpertMap current: map in use.
    :param list predicted: predicted share of each expert, layer by layer.
    :param list last: shares of the last reported interval, layer by layer.
    :param list speeds: relative speed of each rank.
    :param list effective_tokens: effective sample size of each layer's prediction, in
        tokens; empty if the loads are free of noise.
    """

    current: _placement.ExpertMap
    predicted: list
    last: list
    speeds: list
    effective_tokens: list = dataclasses.field(default_factory=list)


def finish(plan):
    """Run a plan to completion without yielding.

    :param collections.abc.Generator plan: result of a policy's ``plan``.
    :rtype: ExpertMap
    """
    while True:
        try:
            next(plan)
        except StopIteration as stop:
            return stop.value


async def finish_in_slices(plan, slice_s=MAX_SLICE_S):
    """Run a plan in short slices and let the event loop run in between.

    :param collections.abc.Generator plan: result of a policy's ``plan``.
    :param float slice_s: time of uninterrupted work after which control returns to the
        event loop, in seconds.
    :rtype: ExpertMap
    """
    started_at = time.monotonic()
    while True:
        try:
            next(plan)
        except StopIteration as stop:
            return stop.value
        if time.monotonic() - started_at > slice_s:
            await asyncio.sleep(0)
            started_at = time.monotonic()


@POLICIES.register("static")
class Static:
    """Baseline that keeps the current map.

    :param PlanCosts costs: not used.
    """

    def __init__(self, costs):
        self.costs = costs

    def plan(self, plan_input):
        """Return the current map.

        :param PlanInput plan_input: current map, loads and speeds.
        :rtype: collections.abc.Generator
        """
        yield
        return plan_input.current


@POLICIES.register("full_replan")
class FullReplan:
    """Baseline that places all experts from scratch in each interval.

    Spare slots go to the experts with the heaviest replicas. Each replica, heaviest
    first, goes to the rank that would finish first.

    :param PlanCosts costs: not used.
    """

    def __init__(self, costs):
        self.costs = costs

    def plan(self, plan_input):
        """Return the map for the loads of the last interval.

        :param PlanInput plan_input: current map, loads and speeds.
        :rtype: collections.abc.Generator
        """
        shape = plan_input.current.shape
        rows = []
        for loads in plan_input.last:
            rows.append(_replan.place_layer(shape, loads, plan_input.speeds))
            yield
        return _placement.ExpertMap(shape, tuple(rows))


@POLICIES.register("incremental")
class Incremental:
    """Moves the fewest experts for the predicted gain, if it exceeds the cost.

    The gain is the step time saved over the horizon. It is discounted by the share of
    predicted gain that earlier plans would have realized, whether or not they were
    carried out. If loads change too fast to follow, the predictions fail and the map
    stays.

    Counts are samples of the load. A layer is therefore not changed while sampling
    noise alone could explain the longest time among balanced ranks, and a rank time
    below the median of that noise counts as no gain.

    :param PlanCosts costs: cost of moving experts.

    :ivar float confidence_: recent share of predicted gain that was realized, 0 to 1.
    """

    def __init__(self, costs):
        self.costs = costs
        self.confidence_ = 1.0
        self._previous_map = None
        self._proposed_map = None
        self._predicted_gain = 0.0

    def plan(self, plan_input):
        """Return the map with the best net gain, or the current one if none has any.

        :param PlanInput plan_input: current map, loads and speeds.
        :rtype: collections.abc.Generator
        """
        self._update_confidence(plan_input)
        longest = _total_longest(plan_input.current, plan_input, plan_input.predicted)
        options = []
        for layer, row in enumerate(plan_input.current.rows):
            options.append((yield from self._improve(plan_input, layer, row, longest)))
        proposed = self._choose(plan_input, options)
        self._record_proposal(plan_input, proposed)
        return (
            proposed
            if self._is_worthwhile(plan_input, proposed)
            else plan_input.current
        )

    def _improve(self, plan_input, layer, row, longest):
        """Search one layer and return its best row and the gain in seconds."""
        slots = plan_input.current.shape.slots
        loads = plan_input.predicted[layer]
        before = max(_bound.rank_times(row, loads, plan_input.speeds, slots))
        lower_bound = _bound.layer_bound(loads, plan_input.speeds, slots)
        floor = lower_bound + _noise_margin(
            plan_input, layer, lower_bound, MEDIAN_NOISE_PROBABILITY
        )
        noise_limit = lower_bound + _noise_margin(
            plan_input, layer, lower_bound, HIGH_NOISE_PROBABILITY
        )
        seconds_per_unit = self.costs.horizon_s / longest
        yield
        # A gain below the cost of one move is not worth a search.
        gain = (before - floor) * seconds_per_unit
        if before <= noise_limit or gain <= self.costs.move_s:
            return row, 0.0
        search = _search.LayerSearch(
            self.costs.move_s * self.costs.hysteresis,
            row,
            before,
            seconds_per_unit,
            floor,
        )
        yield from search.run(row, loads, plan_input.speeds, slots)
        if search.longest_ > max(lower_bound * RESTART_RATIO, floor):
            shape = plan_input.current.shape
            replanned = _replan.place_layer(shape, loads, plan_input.speeds)
            yield
            aligned = _replan.align(shape, replanned, row, plan_input.speeds)
            yield
            yield from search.run(aligned, loads, plan_input.speeds, slots)
        return search.row_, search.gain_

    def _choose(self, plan_input, options):
        """Select layers by gain up to the moves that the weight store can serve."""
        rows = list(plan_input.current.rows)
        slots = plan_input.current.shape.slots
        remaining_moves = self.costs.moves_per_interval
        by_gain = sorted(range(len(rows)), key=lambda x: options[x][1], reverse=True)
        for layer in by_gain:
            row, gain = options[layer]
            moves = _search.count_moves(slots, rows[layer], row)
            if gain > 0 and moves <= remaining_moves:
                rows[layer] = row
                remaining_moves -= moves
        return _placement.ExpertMap(plan_input.current.shape, tuple(rows))

    def _is_worthwhile(self, plan_input, proposed):
        moves = len(_placement.moves_between(plan_input.current, proposed))
        if not moves:
            self._predicted_gain = 0.0
            return False
        cost = moves * self.costs.move_s + self.costs.pause_s
        gain = self._predicted_gain * self.costs.horizon_s
        if gain <= cost * self.costs.hysteresis:
            # Indistinguishable from noise, so it must not affect the confidence.
            self._predicted_gain = 0.0
            return False
        return gain * self.confidence_ > cost * self.costs.hysteresis

    def _record_proposal(self, plan_input, proposed):
        self._previous_map = plan_input.current
        self._proposed_map = proposed
        self._predicted_gain = self._gain(plan_input, plan_input.predicted)

    def _update_confidence(self, plan_input):
        """Update the confidence by the last plan's gain under the actual loads."""
        if self._predicted_gain <= 0:
            return
        realized_ratio = self._gain(plan_input, plan_input.last) / self._predicted_gain
        share = min(max(realized_ratio, 0.0), 1.0)
        self.confidence_ += CONFIDENCE_WEIGHT * (share - self.confidence_)
        self.confidence_ = max(self.confidence_, MIN_CONFIDENCE)

    def _gain(self, plan_input, loads):
        """Return the share of step time that the last proposed map saves."""
        before = _total_longest(self._previous_map, plan_input, loads)
        after = _total_longest(self._proposed_map, plan_input, loads)
        return (before - after) / before


def _noise_margin(plan_input, layer, lower_bound, probability):
    """Return how far sampling noise alone raises the longest of balanced ranks.

    Counts of a batch are close to multinomial, so the variance of a share is the share
    divided by the number of tokens counted. The replicas of an expert split its noise
    among their ranks.
    """
    if not plan_input.effective_tokens or plan_input.effective_tokens[layer] <= 0:
        return 0.0
    shape = plan_input.current.shape
    copies = shape.ranks * shape.slots / shape.experts
    deviation = math.sqrt(lower_bound / copies / plan_input.effective_tokens[layer])
    # All ranks stay below a limit with ``probability`` if each of them does with its
    # root of degree ``ranks``.
    rank_probability = probability ** (1 / shape.ranks)
    return deviation * max(statistics.NormalDist().inv_cdf(rank_probability), 0.0)


def _total_longest(placement, plan_input, loads):
    slots = placement.shape.slots
    return sum(
        max(_bound.rank_times(row, layer_loads, plan_input.speeds, slots))
        for row, layer_loads in zip(placement.rows, loads, strict=True)
    )
