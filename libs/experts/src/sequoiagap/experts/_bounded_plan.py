"""Incremental planning of expert placements with a bounded number of copies.

Some engines accept a new map while they run, but only a few new experts per rank in
each change, so a good placement has to be reached in small steps. The planner is
meant for demand that shifts every few seconds, where a copy costs memory bandwidth
once and an overloaded rank slows every pass. Slots may be empty, and replicas share
an expert's load evenly. A slow rank takes longer for the same work and therefore gets
less of it.
"""

import dataclasses

MAX_EDITS = 64  # per layer and plan
MAX_RECEIVERS = 5  # least loaded ranks that are considered for an expert
MIN_GAIN_RATIO = 1e-4  # smallest useful gain, as a share of the longest rank time
FREE_EDIT_COST_COPIES = 0.25  # cost in copies of an edit that copies nothing


@dataclasses.dataclass(frozen=True)
class Holdings:
    """Placement in which ranks may have empty slots.

    :param int experts: number of experts in a layer.
    :param int slots: maximum number of experts that a rank holds in a layer.
    :param tuple layers: tuple of expert ids per rank, for each layer.
    """

    experts: int
    slots: int
    layers: tuple

    @property
    def ranks(self):
        """Number of ranks."""
        return len(self.layers[0]) if self.layers else 0


@dataclasses.dataclass(frozen=True)
class PlanLimits:
    """Limits of a plan and the cost model by which edits are accepted.

    :param int new_per_rank: maximum number of experts new to a rank in one layer; 0 for
        no limit.
    :param int copies_per_rank: maximum number of experts new to a rank over all layers;
        0 for no limit. Ranks copy experts one after the other, so this bounds the time
        until a plan takes effect.
    :param float copy_s: time that a copy has to save, in seconds.
    :param float horizon_s: time for which the placement is expected to be used, in
        seconds.
    :param float expert_share: share of a pass that is spent in experts, 0 to 1.
    :param float target_skew: ratio of longest to even rank time at which a layer is not
        improved further.
    """

    new_per_rank: int = 0
    copies_per_rank: int = 0
    copy_s: float = 0.01
    horizon_s: float = 4.0
    expert_share: float = 1.0
    target_skew: float = 1.05


@dataclasses.dataclass(frozen=True)
class Edit:
    """One change of a layer's placement.

    :param tuple adds: pairs of rank and expert that the rank adds.
    :param tuple drops: pairs of rank and expert that the rank drops.
    """

    adds: tuple = ()
    drops: tuple = ()


@dataclasses.dataclass(frozen=True)
class Proposal:
    """An edit with its gain and its cost.

    :param Edit edit: the change.
    :param float gain: decrease of the longest rank time, in units of load.
    :param int copies: number of experts that have to be copied.
    """

    edit: Edit
    gain: float
    copies: int


class _LayerPlan:
    """Placement of one layer while it is being edited."""

    def __init__(self, held, loads, costs, limits, slots, new_by_rank):
        self.loads = loads
        self.costs = costs
        self.limits = limits
        self.slots = slots
        self.new_by_rank = new_by_rank  # shared by all layers
        self.old = [frozenset(experts) for experts in held]
        self.held = [set(experts) for experts in held]
        self.holders = [set() for _ in loads]
        for rank, experts in enumerate(held):
            for expert in experts:
                self.holders[expert].add(rank)
        self.times = [self._time(rank) for rank in range(len(held))]
        self.target_time = limits.target_skew * _even_time(loads, costs)

    def share(self, expert):
        return self.loads[expert] / len(self.holders[expert])

    def find_edit(self):
        """Return the edit for the slowest rank with the largest gain per copy.

        :rtype: Proposal | None
        """
        slowest = max(range(len(self.times)), key=self.times.__getitem__)
        longest = self.times[slowest]
        if longest <= self.target_time:
            return None
        best, best_value = None, 0.0
        for edit in self._edits(slowest):
            gain = longest - self._longest_time_after(edit, slowest)
            if gain <= longest * MIN_GAIN_RATIO:
                continue
            copies = sum(e not in self.old[r] for r, e in edit.adds)
            value = gain / (copies or FREE_EDIT_COST_COPIES)
            if value > best_value:
                best, best_value = Proposal(edit, gain, copies), value
        return best

    def is_allowed(self, edit):
        """Return whether the limits still permit the copies of an edit."""
        return all(self._can_add(rank, expert) for rank, expert in edit.adds)

    def apply(self, edit):
        touched = set()
        for rank, expert in edit.adds:
            self.held[rank].add(expert)
            self.holders[expert].add(rank)
            touched |= self.holders[expert]
            self.new_by_rank[rank] += expert not in self.old[rank]
        for rank, expert in edit.drops:
            self.held[rank].discard(expert)
            touched |= self.holders[expert]
            self.new_by_rank[rank] -= expert not in self.old[rank]
            self.holders[expert].discard(rank)
        for rank in touched:
            self.times[rank] = self._time(rank)

    def rows(self):
        """Return the experts of each rank, sorted by id."""
        return tuple(tuple(sorted(experts)) for experts in self.held)

    def _time(self, rank):
        return self.costs[rank] * sum(self.share(expert) for expert in self.held[rank])

    def _edits(self, slowest):
        experts = sorted(self.held[slowest], key=self.share, reverse=True)
        ranks = sorted(range(len(self.times)), key=self.times.__getitem__)
        for expert in experts:
            if len(self.holders[expert]) > 1:
                yield Edit(drops=((slowest, expert),))
            receivers = 0
            for rank in ranks:
                if rank == slowest or expert in self.held[rank]:
                    continue
                if self._can_add(rank, expert):
                    yield from self._additions(slowest, rank, expert)
                    receivers += 1
                if receivers >= MAX_RECEIVERS:
                    break

    def _additions(self, slowest, rank, expert):
        """Yield edits that place an expert of the slowest rank on another rank."""
        if len(self.held[rank]) < self.slots:
            yield Edit(adds=((rank, expert),))
            yield Edit(adds=((rank, expert),), drops=((slowest, expert),))
        for other in self.held[rank]:
            if len(self.holders[other]) > 1:
                drop = ((rank, other),)
                yield Edit(adds=((rank, expert),), drops=drop)
                yield Edit(adds=((rank, expert),), drops=(*drop, (slowest, expert)))
            if self._can_swap(slowest, expert, other):
                yield Edit(
                    adds=((rank, expert), (slowest, other)),
                    drops=((slowest, expert), (rank, other)),
                )

    def _can_swap(self, slowest, expert, other):
        """Return whether the slowest rank may exchange an expert for a lighter one."""
        is_lighter = self.share(other) < self.share(expert)
        is_new = other not in self.held[slowest]
        return is_lighter and is_new and self._can_add(slowest, other)

    def _can_add(self, rank, expert):
        if expert in self.old[rank]:
            return True
        limits = self.limits
        if limits.copies_per_rank and self.new_by_rank[rank] >= limits.copies_per_rank:
            return False
        if not limits.new_per_rank:
            return True
        return len(self.held[rank] - self.old[rank]) < limits.new_per_rank

    def _longest_time_after(self, edit, slowest):
        """Return the longest time, after an edit, of the ranks that it affects."""
        count_by_expert = {}
        for _, expert in edit.adds:
            count_by_expert[expert] = count_by_expert.get(expert, 0) + 1
        for _, expert in edit.drops:
            count_by_expert[expert] = count_by_expert.get(expert, 0) - 1
        change_by_rank = {slowest: 0.0}
        new_share_by_expert = {}
        for expert, change in count_by_expert.items():
            holders = self.holders[expert]
            old_share = self.loads[expert] / len(holders)
            new_share = self.loads[expert] / (len(holders) + change)
            new_share_by_expert[expert] = new_share
            if change:
                for rank in holders:
                    change_by_rank[rank] = (
                        change_by_rank.get(rank, 0.0) + new_share - old_share
                    )
        for rank, expert in edit.adds:
            change = change_by_rank.get(rank, 0.0)
            change_by_rank[rank] = change + new_share_by_expert[expert]
        for rank, expert in edit.drops:
            change = change_by_rank.get(rank, 0.0)
            change_by_rank[rank] = change - new_share_by_expert[expert]
        return max(
            self.times[rank] + self.costs[rank] * change
            for rank, change in change_by_rank.items()
        )


def plan_bounded(current, loads, limits, costs=None):
    """Plan the next placement within the limits of one change.

    :param Holdings current: placement in use.
    :param list loads: predicted share of each expert, layer by layer.
    :param PlanLimits limits: limits and cost model of the plan.
    :param tuple costs: relative time of each rank for the same work, 1 for a typical
        rank; 1 for all ranks by default.
    :returns: generator that yields between short pieces of work and returns the new
        :class:`Holdings` and the number of copies.
    :rtype: collections.abc.Generator

    >>> from sequoiagap.experts import _policies
    >>> current = Holdings(3, 2, (((0, 1), (2,)),))
    >>> plan = plan_bounded(current, [[4, 1, 1]], PlanLimits())
    >>> planned, copies = _policies.finish(plan)
    >>> planned.layers, copies
    ((((0, 1), (0, 2)),), 1)
    """
    new_by_rank = [0] * current.ranks
    costs = costs or _uniform_costs(current)
    layers = []
    for held, shares in zip(current.layers, loads, strict=True):
        layers.append(
            _LayerPlan(held, shares, costs, limits, current.slots, new_by_rank)
        )
        yield
    longest = sum(max(layer.times) for layer in layers)
    proposals = {}
    for number, layer in enumerate(layers):
        proposals[number] = layer.find_edit()
        yield
    copies = 0
    for _ in range(MAX_EDITS * len(layers)):
        number = _find_best_layer(proposals)
        if number is None:
            break
        layer, proposal = layers[number], proposals[number]
        saved_s = proposal.gain / longest * limits.expert_share * limits.horizon_s
        if saved_s < proposal.copies * limits.copy_s:
            proposals[number] = None
            continue
        if layer.is_allowed(proposal.edit):
            layer.apply(proposal.edit)
            copies += proposal.copies
        proposals[number] = layer.find_edit()
        yield
    rows = tuple(layer.rows() for layer in layers)
    return Holdings(current.experts, current.slots, rows), copies


def _find_best_layer(proposals):
    """Return the layer whose proposal has the largest gain per copy, or ``None``."""
    value_by_layer = {
        number: proposal.gain / (proposal.copies or FREE_EDIT_COST_COPIES)
        for number, proposal in proposals.items()
        if proposal is not None
    }
    return max(value_by_layer, key=value_by_layer.__getitem__, default=None)


def holdings_skew(holdings, loads, costs=None):
    """Return the ratio of longest to even rank time, both summed over the layers.

    :param Holdings holdings: the placement.
    :param list loads: load of each expert, layer by layer.
    :param tuple costs: relative time of each rank for the same work; 1 for all ranks by
        default.
    :rtype: float

    >>> holdings_skew(Holdings(2, 1, (((0,), (1,)),)), [[3, 1]])
    1.5
    """
    longest, even = 0.0, 0.0
    costs = costs or _uniform_costs(holdings)
    for held, shares in zip(holdings.layers, loads, strict=True):
        longest += max(_times(held, shares, costs))
        even += _even_time(shares, costs)
    return longest / even if even else 1.0


def _uniform_costs(holdings):
    return (1.0,) * holdings.ranks


def _even_time(loads, costs):
    """Return the rank time of a perfectly balanced layer."""
    return sum(loads) / sum(1.0 / cost for cost in costs)


def _times(held, loads, costs):
    copies = [0] * len(loads)
    for experts in held:
        for expert in experts:
            copies[expert] += 1
    shares = [load / max(n, 1) for load, n in zip(loads, copies, strict=True)]
    return [
        cost * sum(shares[expert] for expert in experts)
        for cost, experts in zip(costs, held, strict=True)
    ]
