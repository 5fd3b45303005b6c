"""Placements improve in small steps within the limits of one change."""

import random
import unittest

from sequoiagap import experts

RANKS, EXPERTS, SLOTS, LAYERS = 12, 72, 8, 4
FIRST = experts.Holdings(
    EXPERTS,
    SLOTS,
    tuple(
        tuple(tuple(rank + RANKS * k for k in range(6)) for rank in range(RANKS))
        for _ in range(LAYERS)
    ),
)


def draw_loads(seed):
    """Return random loads in which a few experts get most of the tokens."""
    source = random.Random(seed)
    loads = []
    for _ in range(LAYERS):
        weights = [source.paretovariate(1.1) for _ in range(EXPERTS)]
        loads.append([weight / sum(weights) for weight in weights])
    return loads


def plan(holdings, loads, costs=None, **fields):
    """Return the planned placement and its number of copies."""
    limits = experts.PlanLimits(**({"copy_s": 0.004, "expert_share": 0.85} | fields))
    return experts.finish(experts.plan_bounded(holdings, loads, limits, costs))


def new_by_rank(old, planned):
    """Return how many experts are new to each rank, layer by layer."""
    return [
        [
            len(set(after) - set(before))
            for before, after in zip(old_row, row, strict=True)
        ]
        for old_row, row in zip(old.layers, planned.layers, strict=True)
    ]


class BoundedPlanTest(unittest.TestCase):
    def check_is_placement(self, holdings):
        for row in holdings.layers:
            self.assertEqual({e for held in row for e in held}, set(range(EXPERTS)))
            for held in row:
                self.assertLessEqual(len(held), SLOTS)
                self.assertEqual(len(set(held)), len(held))

    def test_every_expert_stays_placed_and_skew_falls(self):
        for seed in range(10):
            holdings = FIRST
            for shift in range(4):
                loads = draw_loads(100 * seed + shift)
                before = experts.holdings_skew(holdings, loads)
                holdings, _ = plan(holdings, loads, new_per_rank=3)
                self.check_is_placement(holdings)
                after = experts.holdings_skew(holdings, loads)
                self.assertLessEqual(after, before)

    def test_a_few_steps_reach_a_good_placement(self):
        skews = []
        for seed in range(10):
            holdings, loads = FIRST, draw_loads(seed)
            for _ in range(6):
                holdings, _ = plan(holdings, loads, new_per_rank=3, copies_per_rank=3)
            skews.append(experts.holdings_skew(holdings, loads))
        self.assertLess(sorted(skews)[len(skews) // 2], 1.3)

    def test_limits_of_a_change_hold(self):
        for seed in range(10):
            loads = draw_loads(seed)
            planned, copies = plan(FIRST, loads, new_per_rank=2, copies_per_rank=3)
            counts = new_by_rank(FIRST, planned)
            self.assertLessEqual(max(max(row) for row in counts), 2)
            self.assertLessEqual(max(sum(c) for c in zip(*counts, strict=True)), 3)
            self.assertEqual(copies, sum(sum(row) for row in counts))

    def test_nothing_moves_where_it_does_not_pay(self):
        even = [[1 / EXPERTS] * EXPERTS] * LAYERS
        self.assertEqual(plan(FIRST, even), (FIRST, 0))
        self.assertEqual(plan(FIRST, draw_loads(1), copy_s=1e6)[1], 0)

    def test_a_slow_rank_loses_experts_and_regains_them(self):
        slow = (6.0,) + (1.0,) * (FIRST.ranks - 1)
        for seed in range(10):
            holdings, loads = FIRST, draw_loads(seed)
            for _ in range(6):
                holdings, _ = plan(
                    holdings, loads, costs=slow, new_per_rank=3, copies_per_rank=6
                )
                self.check_is_placement(holdings)
            skew = experts.holdings_skew(holdings, loads, slow)
            self.assertLess(skew, experts.holdings_skew(FIRST, loads, slow) / 3)
            for _ in range(6):
                holdings, _ = plan(holdings, loads, new_per_rank=3, copies_per_rank=6)
            self.assertLess(experts.holdings_skew(holdings, loads), 1.5)

    def test_more_expensive_copies_mean_fewer_copies(self):
        loads = draw_loads(3)
        _, many = plan(FIRST, loads, copy_s=0.002)
        _, few = plan(FIRST, loads, copy_s=0.1)
        self.assertLess(few, many)
