"""A change is made if the time saved at all ranks exceeds the cost of its copies."""

import dataclasses
import unittest

from sequoiagap import base, experts, ranks
from sequoiagap.ranks import _planning
from tests.ranks import group_stand_in

LOADS = [[0.02, 0.02, 0.02, 0.02, 0.46, 0.46]]


class PlanningTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        profile = group_stand_in.PROFILE
        self.planner = _planning.MapPlanner(profile, 3, 0.0, base.Metrics())
        self.holdings = experts.Holdings(6, 3, group_stand_in.LAYERS)
        self.reports = {rank: ranks.EngineReport(rank=rank) for rank in range(3)}

    async def plan(self, loads=None):
        return await self.planner.plan(self.holdings, loads or LOADS, self.reports)

    async def test_uneven_demand_brings_a_better_map(self):
        found = await self.plan()
        self.assertLess(found.planned_skew, found.skew)

    async def test_even_demand_brings_none(self):
        self.assertIsNone(await self.plan([[1 / 6] * 6]))

    async def test_slow_ranks_are_counted_and_hold_fewer_experts(self):
        self.reports[1] = dataclasses.replace(self.reports[1], slowness=6.0)
        found = await self.plan([[1 / 6] * 6])
        self.assertEqual(found.slow_ranks, 1)
        self.assertLess(len(found.holdings.layers[0][1]), 2)

    async def test_copies_that_cost_more_than_they_save_are_not_made(self):
        dear = dataclasses.replace(self.planner.pace, copy_s=100.0)
        self.planner.pace = dear
        self.assertIsNone(await self.plan())

    def test_a_copy_has_to_save_less_in_a_larger_group(self):
        profile = group_stand_in.PROFILE
        small, large = (_planning.make_pace(profile, size) for size in (12, 72))
        self.assertAlmostEqual(small.copy_s, 6 * large.copy_s)
