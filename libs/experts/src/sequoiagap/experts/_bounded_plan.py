"""Small, frequent improvements of a placement, priced by copy.

Engines that take a new map while they run, but only a few new experts a rank at a
time, are best led to a good placement in steps. The load that it answers: demand that
shifts every few seconds, where a copy costs memory bandwidth and a slow rank every
pass. Places may be empty; replicas share an expert's load evenly. A rank that is slow
takes longer for the same work, so it is given less.
"""

import dataclasses

MAX_EDITS = 64  # of one layer and plan
MAX_RECEIVERS = 5  # least loaded ranks that an expert may be given to
MIN_GAIN_RATIO = 1e-4  # share of the longest time below which an edit is none
FREE_EDIT_COST_COPIES = 0.25  # of a copy: an edit that copies nothing is nearly free


@dataclasses.dataclass(frozen=True)
class Holdings:
    """Which experts each rank holds.

    :param int experts: experts in a layer.
    :param int slots: experts that a rank holds of a layer at most.
    :param tuple layers: for each layer a tuple of each rank's tuple of expert ids.
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
    """What a plan may do and what it has to bring.

    :param int new_per_rank: experts new to a rank and layer at most; 0 for no bound.
    :param int copies_per_rank: experts new to a rank over all layers at most; 0 for no
        bound. Ranks copy one expert after the other, so this bounds the time until a
        plan is of use.
    :param float copy_s: time that a copy has to save, in seconds.
    :param float horizon_s: how long the placement is expected to be of use.
    :param float expert_share: share of a pass that goes to experts.
    :param float target_skew: skew of a layer that is good enough.
    """

    new_per_rank: int = 0
    copies_per_rank: int = 0
    copy_s: float = 0.01
    horizon_s: float = 4.0
    expert_share: float = 1.0
    target_skew: float = 1.05


@dataclasses.dataclass(frozen=True)
class Edit:
    """One change of a layer.

    :param tuple adds: pairs of rank and expert to hold from now on.
    :param tuple drops: pairs of rank and expert to hold no longer.
    """

    adds: tuple = ()
    drops: tuple = ()


@dataclasses.dataclass(frozen=True)
class Proposal:
    """An edit with what it brings.

    :param Edit edit: the change.
    :param float gain: by how much the longest rank time falls.
    :param int copies: experts that have to be copied for it.
    """

    edit: Edit
    gain: float
    copies: int


class _LayerPlan:
    """One layer under way."""

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
        """Return the edit for the slowest rank that gains most for its copies.

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
        """Return whether the ranks may still take the copies of an edit."""
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
        """Return each rank's experts, those that it kept first in their old order."""
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
        """Yield edits that give an expert of the slowest rank to another rank."""
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
        """Return whether the slowest rank may take a lighter expert for one it has."""
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
        """Return the longest time of the ranks that an edit touches."""
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
    """Plan the next placement.

    :param Holdings current: the placement in use.
    :param list loads: predicted share of each expert, layer by layer.
    :param Pace limits: what the plan may do and has to bring.
    :param tuple costs: time of each rank for the same work, 1 for a usual one; all
        alike if not given.
    :returns: a generator that yields between short pieces of work and returns the
        new :class:`Holdings` and the number of copies.
    :rtype: collections.abc.Generator

    >>> from sequoiagap.experts import _policies
    >>> current = Holdings(3, 2, (((0, 1), (2,)),))
    >>> planned, copies = _policies.finish(plan_bounded(current, [[4, 1, 1]], PlanLimits()))
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
    """Return the layer whose proposal gains most for its copies, or ``None``."""
    value_by_layer = {
        number: proposal.gain / (proposal.copies or FREE_EDIT_COST_COPIES)
        for number, proposal in proposals.items()
        if proposal is not None
    }
    return max(value_by_layer, key=value_by_layer.__getitem__, default=None)


def holdings_skew(holdings, loads, costs=None):
    """Return longest over even rank time, summed over the layers.

    :param Holdings holdings: the placement.
    :param list loads: load of each expert, layer by layer.
    :param tuple costs: time of each rank for the same work; all alike if not given.
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
    """Return the time that each rank would take if all took the same."""
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
