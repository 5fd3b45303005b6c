"""A leader follows demand and settles abandoned changes, even if orders are lost."""

import asyncio
import dataclasses
import unittest

from simulations import rank_world

from sequoiagap import base, ranks
from sequoiagap.ranks import _access, _change, _leader, _messages, _own_rank
from tests import support
from tests.ranks import group_stand_in

PROFILE, LAYERS, HEAVY = (
    group_stand_in.PROFILE,
    group_stand_in.LAYERS,
    group_stand_in.HEAVY,
)


class LeaderTest(unittest.IsolatedAsyncioTestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()

    async def asyncSetUp(self):
        self.group = group_stand_in.GroupStandIn()
        self.leader = await self.lead(0)

    async def lead(self, rank):
        """Return a leader beside a rank that calls other ranks' engines directly."""
        own = _own_rank.OwnRank(self.group, str(rank))
        addresses = {r: str(r) for r in range(rank_world.SIZE) if r != rank}
        access = _access.GroupAccess(own, rank, addresses)
        agents = [_own_rank.OwnRank(self.group, str(r)) for r in range(rank_world.SIZE)]

        async def poll(
            target, wants_counts=False, wants_experts=False, may_be_recent=False
        ):
            if target != rank and str(target) in self.group.silent:
                return None
            message = _messages.RankPoll(
                0, rank, wants_counts, wants_experts, may_be_recent
            )
            return await agents[target].answer_poll(message)

        access.poll = poll
        report = self.group.world.report(self.group.world.engines[rank])
        leader = ranks.GroupLeader(access, report, PROFILE, base.Metrics())
        # No other agent was discovered.
        leader._led_since -= 2 * _leader.PEER_DISCOVERY_S
        return leader

    async def run_cycles(self, leader, counts=HEAVY, number=6):
        for _ in range(number):
            self.group.work(counts)
            await leader.run_cycle()

    def contents(self):
        return {repr(engine.content) for engine in self.group.world.engines}

    async def test_map_follows_demand(self):
        await self.run_cycles(self.leader)
        self.group.work(HEAVY)
        self.assertGreater(self.leader.changes_, 0)
        (content,) = self.contents()
        self.assertNotEqual(content, repr(LAYERS))
        holders = [
            sum(expert in held for held in self.leader.holdings_.layers[0])
            for expert in (4, 5)
        ]
        self.assertGreater(max(holders), 1)

    async def test_no_pass_is_held_before_another_agent_could_release_it(self):
        self.leader._led_since += 2 * _leader.PEER_DISCOVERY_S
        await self.run_cycles(self.leader)
        self.assertEqual(self.leader.changes_, 0)
        self.assertFalse([engine for engine in self.group.world.engines if engine.held])

    async def test_a_stopped_leader_begins_no_change(self):
        await self.run_cycles(self.leader, number=1)
        self.leader.stop()
        await self.run_cycles(self.leader)
        self.assertEqual(self.leader.changes_, 0)

    async def test_a_leader_defers_to_a_senior_that_ranks_have_heard_since(self):
        leader = await self.lead(1)
        poll = leader.access.poll

        async def poll_follower(target, *wants):
            state = await poll(target, *wants)
            if target == 2:
                state.leader, state.leader_age_ms = 0, 0
            return state

        leader.access.poll = poll_follower
        leader._led_since -= 2 * _leader.SENIOR_MARGIN_S
        await self.run_cycles(leader)
        self.assertEqual(leader.changes_, 0)
        self.assertEqual(leader.senior_[0], 0)

    async def test_a_leader_does_not_defer_to_one_heard_before_it_led(self):
        leader = await self.lead(1)
        poll = leader.access.poll

        async def poll_follower(target, *wants):
            state = await poll(target, *wants)
            state.leader, state.leader_age_ms = 0, 60_000
            return state

        leader.access.poll = poll_follower
        await self.run_cycles(leader)
        self.assertIsNone(leader.senior_)
        self.assertGreater(leader.changes_, 0)

    async def test_nothing_changes_without_work(self):
        await self.run_cycles(self.leader, counts=[0] * 6)
        self.assertEqual(self.leader.changes_, 0)

    async def test_lost_orders_are_sent_again(self):
        for kind in ranks.OrderKind:
            with self.subTest(kind):
                await self.asyncSetUp()
                self.group.lost_by_kind = {kind: 1}
                await self.run_cycles(self.leader, number=10)
                self.group.work(HEAVY)
                self.assertGreater(self.leader.changes_, 0)
                self.assertEqual(len(self.contents()), 1)
                self.assertFalse([e for e in self.group.world.engines if e.held])

    async def test_hold_of_another_leader_is_resolved(self):
        await self.run_cycles(self.leader, number=3)
        world = self.group.world
        step = world.step + 2
        world.engines[1].held = step
        await self.wait_for_orphan()
        self.group.work(HEAVY)
        self.assertGreater(world.step, step)

    async def test_own_hold_from_before_a_restart_is_resolved_at_once(self):
        await self.run_cycles(self.leader, number=2)
        world = self.group.world
        world.engines[0].held = world.step + 1
        fresh = await self.lead(0)
        for _ in range(3):
            await fresh.run_cycle()
        self.assertFalse([engine for engine in world.engines if engine.held])

    async def test_hold_of_a_rank_whose_agent_is_silent_is_found(self):
        await self.run_cycles(self.leader, number=2)
        world = self.group.world
        world.engines[2].held = world.step + 1
        poll = self.leader.access.poll

        async def poll_without_last(target, *wants):
            return None if target == 2 else await poll(target, *wants)

        self.leader.access.poll = poll_without_last
        await self.wait_for_orphan()
        self.assertFalse([engine for engine in world.engines if engine.held])

    async def test_map_of_a_re_formed_group_is_determined_again(self):
        await self.run_cycles(self.leader)
        world = self.group.world
        world._reform_group()
        for engine in world.engines:
            engine.content = LAYERS
        before = self.leader.changes_
        await asyncio.sleep(2 * _leader.CHANGE_COOLDOWN_S)
        await self.run_cycles(self.leader, number=10)
        self.assertEqual(self.leader.epoch_, world.epoch)
        self.assertGreater(self.leader.changes_, before)
        self.assertEqual(len(self.contents()), 1)

    async def test_re_formed_group_has_a_good_map_before_its_next_passes(self):
        await self.run_cycles(self.leader)
        world = self.group.world
        world._reform_group()
        for engine in world.engines:
            engine.content = LAYERS
        await asyncio.sleep(2 * _leader.CHANGE_COOLDOWN_S)
        for _ in range(2):
            await self.leader.run_cycle()
        self.assertEqual(self.leader.changes_in_epoch_, 1)
        for _ in range(_change.LEAD_PASSES):
            world.begin_pass()
        (content,) = self.contents()
        self.assertNotEqual(content, repr(LAYERS))

    async def test_slow_rank_gets_fewer_experts(self):
        report = self.group.report

        async def report_slow(address):
            found = await report(address)
            slowness = 8.0 if address == "1" else 1.0
            return dataclasses.replace(found, slowness=slowness)

        self.group.report = report_slow
        await self.run_cycles(self.leader, counts=[10] * 6)
        self.group.work(HEAVY)
        (content,) = {repr(e.content) for e in self.group.world.engines}
        self.assertNotEqual(content, repr(LAYERS))
        self.assertEqual(self.leader.holdings_.layers[0][1], ())

    async def test_lost_orders_are_expected_again_for_a_while(self):
        self.group.lost_by_kind = {ranks.OrderKind.PREPARE: 1}
        await self.run_cycles(self.leader)
        self.assertGreater(self.leader.changes_, 0)
        reports = {e.rank: self.group.world.report(e) for e in self.group.world.engines}
        self.assertTrue(self.leader._make_plan(reports, LAYERS).is_lossy)

    async def wait_for_orphan(self):
        """Run cycles until nothing is held any more."""
        engines = self.group.world.engines
        for _ in range(60):
            await self.leader.run_cycle()
            if not any(engine.held for engine in engines):
                return
            await asyncio.sleep(0.02)
        self.fail("still held")
