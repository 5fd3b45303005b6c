"""Registered policies that plan the next expert map.

A policy's ``plan`` is a generator: it yields between short pieces of work, so
that an event loop can run in between, and returns the map.
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
RESTART_RATIO = 1.05  # a search that ends this far above the bound starts anew
MEDIAN_NOISE_PROBABILITY = 0.5  # probability that even ranks stay below, by noise alone
HIGH_NOISE_PROBABILITY = 0.95


@dataclasses.dataclass(frozen=True)
class PlanCosts:
    """What moving experts costs and how long a plan has to pay it back.

    :param int expert_bytes: weights of one expert of one layer.
    :param float store_bytes_s: rate of the weight store for the group.
    :param float staging_slowdown: share of step time lost while weights load.
    :param float pause_s: time that a change of map costs the group.
    :param float horizon_s: how long a plan is expected to hold.
    :param float interval_s: time between plans.
    :param float hysteresis: gain must be this many times the cost.
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
        """Step time that one move costs, in seconds."""
        return self.expert_bytes / self.store_bytes_s * self.staging_slowdown

    @property
    def moves_per_interval(self):
        """Moves that the weight store can serve between two plans."""
        return int(self.store_bytes_s * self.interval_s / self.expert_bytes)


@dataclasses.dataclass(frozen=True)
class PlanInput:
    """What a plan rests on.

    :param ExpertMap current: map in use.
    :param list predicted: predicted share of each expert, layer by layer.
    :param list last: shares of the last reported interval, layer by layer.
    :param list speeds: speed of each rank.
    :param list effective_tokens: counted tokens behind the prediction of each layer; empty
        where the loads are known without noise.
    """

    current: _placement.ExpertMap
    predicted: list
    last: list
    speeds: list
    effective_tokens: list = dataclasses.field(default_factory=list)


def finish(plan):
    """Run a plan to its end without a break.

    :param collections.abc.Generator plan: what a policy's ``plan`` returned.
    :rtype: ExpertMap
    """
    while True:
        try:
            next(plan)
        except StopIteration as stop:
            return stop.value


async def finish_in_slices(plan, slice_s=MAX_SLICE_S):
    """Run a plan in short slices and let the event loop run in between.

    :param collections.abc.Generator plan: what a policy's ``plan`` returned.
    :param float slice_s: longest work between two breaks, in seconds.
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
    """Keeps the map; a baseline.

    :param PlanCosts costs: not used.
    """

    def __init__(self, costs):
        self.costs = costs

    def plan(self, plan_input):
        """Return the current map.

        :param PlanInput plan_input: what is known.
        :rtype: collections.abc.Generator
        """
        yield
        return plan_input.current


@POLICIES.register("full_replan")
class FullReplan:
    """Places all experts anew at each interval, heaviest first; a baseline.

    Spare slots go to the experts with the heaviest replicas; then each replica
    goes to the rank that would be done first.

    :param PlanCosts costs: not used.
    """

    def __init__(self, costs):
        self.costs = costs

    def plan(self, plan_input):
        """Return the map for the loads of the last interval.

        :param PlanInput plan_input: what is known.
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
    """Moves as few experts as bring the predicted gain, and only if it pays.

    Gain is the step time saved over the horizon; it is discounted by how much
    of the gain of earlier plans came true, whether they were carried out or
    not. Where loads swing too fast to follow, plans don't come true and the
    map stays.

    Counts are samples. So a layer is left alone while noise could make its longest
    rank of even ones, and no rank is relieved further than to what noise usually
    makes of even ones: a gain below that is no gain.

    :param PlanCosts costs: what moving costs.

    :ivar float confidence_: share of predicted gain that came true lately.
    """

    def __init__(self, costs):
        self.costs = costs
        self.confidence_ = 1.0
        self._previous_map = None
        self._proposed_map = None
        self._predicted_gain = 0.0

    def plan(self, plan_input):
        """Return the map that pays best, the current one if none does.

        :param PlanInput plan_input: what is known.
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
        """Search one layer; return its best row and the gain, in seconds."""
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
        # With less to gain than one move costs there is no need to search.
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
        """Take layers by gain until the weight store's interval is full."""
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
            # Too small to tell from noise: it says nothing of the loads.
            self._predicted_gain = 0.0
            return False
        return gain * self.confidence_ > cost * self.costs.hysteresis

    def _record_proposal(self, plan_input, proposed):
        self._previous_map = plan_input.current
        self._proposed_map = proposed
        self._predicted_gain = self._gain(plan_input, plan_input.predicted)

    def _update_confidence(self, plan_input):
        """Compare the last plan's predicted gain with the loads that came."""
        if self._predicted_gain <= 0:
            return
        realized_ratio = self._gain(plan_input, plan_input.last) / self._predicted_gain
        share = min(max(realized_ratio, 0.0), 1.0)
        self.confidence_ += CONFIDENCE_WEIGHT * (share - self.confidence_)
        self.confidence_ = max(self.confidence_, MIN_CONFIDENCE)

    def _gain(self, plan_input, loads):
        """Return the share of step time that the last proposal saves."""
        before = _total_longest(self._previous_map, plan_input, loads)
        after = _total_longest(self._proposed_map, plan_input, loads)
        return (before - after) / before


def _noise_margin(plan_input, layer, lower_bound, probability):
    """Return how far noise alone takes the longest of even ranks above the rest.

    Counts of a batch are close to multinomial, so the variance of a share is the
    share over the tokens counted; an expert's replicas share its noise, and each
    rank has only a part of it.
    """
    if not plan_input.effective_tokens or plan_input.effective_tokens[layer] <= 0:
        return 0.0
    shape = plan_input.current.shape
    copies = shape.ranks * shape.slots / shape.experts
    deviation = math.sqrt(lower_bound / copies / plan_input.effective_tokens[layer])
    # All ranks stay below what each stays below with the root of the probability.
    rank_probability = probability ** (1 / shape.ranks)
    return deviation * max(statistics.NormalDist().inv_cdf(rank_probability), 0.0)


def _total_longest(placement, plan_input, loads):
    slots = placement.shape.slots
    return sum(
        max(_bound.rank_times(row, layer_loads, plan_input.speeds, slots))
        for row, layer_loads in zip(placement.rows, loads, strict=True)
    )
