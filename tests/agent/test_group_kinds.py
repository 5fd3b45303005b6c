"""Rank groups with engines of different kinds."""

import asyncio
import types
import unittest

from sequoiagap import base, standins
from sequoiagap.agent import _rank_engine
from tests import support
from tests.agent import group_case


class SwitchAtStepTest(group_case.GroupCase):
    plan = standins.RankFleetPlan(
        group=group_case.SETTINGS, engine=group_case.ENGINE, mode="switch_at_step"
    )

    async def test_proposer_is_killed(self):
        for _ in range(3):
            await self.wait_for_change()
            await self.fleet.process_by_name["rank-0"].kill()
            await self.fleet.start_agent(0)
            await self.check()


class SwitchNowTest(SwitchAtStepTest):
    plan = standins.RankFleetPlan(
        group=group_case.SETTINGS, engine=group_case.ENGINE, mode="switch_now"
    )


class UnstoppableEngineTest(unittest.TestCase):
    def test_engine_that_never_holds_is_rejected_with_a_remedy(self):
        endpoint = types.SimpleNamespace(engine="never_holds")
        with self.assertRaisesRegex(base.ConfigError, "Leave out the section group"):
            _rank_engine.RankEngineClient(endpoint)


class StuckChangeTest(group_case.GroupCase):
    """No further plan follows, so the ranks have to settle the change themselves."""

    plan = standins.RankFleetPlan(
        group=group_case.SETTINGS | {"interval_s": 600.0},
        engine=group_case.ENGINE,
        mode="switch_now",
    )

    async def test_ranks_settle_a_round_of_a_dead_proposer(self):
        for after_s in (0.2, 0.4, 0.6):
            await self.fleet.process_by_name["rank-0"].kill()
            await self.fleet.start_agent(0, interval_s=1.0)
            for relay in self.fleet.relays_:
                relay.delay_s = 0.1
            planned = self.fleet.log(0).count("map_planned")
            await self.fleet.wait_until(
                lambda _, n=planned: self.fleet.log(0).count("map_planned") > n,
                group_case.RECOVERY_TIMEOUT_S,
            )
            await asyncio.sleep(after_s)
            await self.fleet.process_by_name["rank-0"].kill()
            for relay in self.fleet.relays_:
                relay.delay_s = 0.0
            await self.fleet.start_agent(0)
            steps = (await self.fleet.group())["step"]
            state = await self.fleet.wait_until(
                lambda s, n=steps: s["step"] > n + 3, support.FEW_SECONDS_S
            )
            self.assertEqual(state["violations"], 0)


class StandInTest(group_case.GroupCase):
    async def test_two_maps_in_one_step_are_counted(self):
        state = await self.wait_for_change()
        version, digest, _ = state["committed"][0]
        order = {
            "kind": "load",
            "epoch": 10_000,
            "target": [version + 1, digest, 0],
            "previous": [version, digest, 0],
        }
        url = self.fleet.url("ranks") + "/ranks/1/group/order"
        async with self.fleet.session_.post(url, json=order) as response:
            self.assertEqual(response.status, 200)
        await self.fleet.wait_until(
            lambda s: s["violations"] > 0, support.FEW_SECONDS_S
        )
