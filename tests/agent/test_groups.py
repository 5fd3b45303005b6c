"""Rank groups of real agents under faults.

Every fault must leave one map per step, and the group must recover.
"""

import asyncio
import collections
import signal

from sequoiagap import experts, standins
from sequoiagap.standins import _relay
from tests import support
from tests.agent import group_case

REORDER_DELAY_S = 0.02  # shorter than the steps between arming and the change
LATE_DELAY_S = 0.4  # longer than the resend interval of a proposer
ROUND_MESSAGES = (
    experts.Prepare,
    experts.Promise,
    experts.Arm,
    experts.Armed,
    experts.Settle,
    experts.Settled,
)


class GroupFaultsTest(group_case.GroupCase):
    async def test_faults(self):
        await self.wait_for_change()
        for name in sorted(n for n in dir(self) if n.startswith("fault_")):
            with self.subTest(name):
                await getattr(self, name)()
                await self.check()

    async def fault_agent_of_a_rank_is_killed(self):
        await self.fleet.process_by_name["rank-1"].kill()
        await asyncio.sleep(0.5)
        await self.fleet.start_agent(1)

    async def fault_all_agents_are_replaced(self):
        for rank in range(3):
            await self.fleet.process_by_name[f"rank-{rank}"].kill()
        for rank in range(3):
            await self.fleet.start_agent(rank)

    async def fault_agent_is_paused(self):
        process = self.fleet.process_by_name["rank-2"]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        process.send_signal(signal.SIGCONT)

    async def fault_engine_restarts_without_map(self):
        await self.fleet.set_rank_faults(1, restart=True)

    async def fault_engine_and_agent_restart(self):
        await self.fleet.process_by_name["rank-2"].kill()
        await self.fleet.set_rank_faults(2, restart=True)
        stopped = await self.fleet.group()
        await asyncio.sleep(0.3)
        self.assertFalse((await self.fleet.group())["can_step"], stopped)
        await self.fleet.start_agent(2)

    async def fault_engine_freezes(self):
        await self.fleet.set_rank_faults(1, frozen=True)
        await asyncio.sleep(2.0)
        await self.fleet.set_rank_faults(1, frozen=False)

    async def fault_rank_is_disconnected(self):
        for mode in (_relay.LinkMode.CUT, _relay.LinkMode.SILENT):
            self.fleet.relays_[1].set_mode(mode)
            await asyncio.sleep(1.0)
        self.fleet.relays_[1].heal()

    async def fault_staged_weights_are_lost(self):
        for _ in range(10):
            for rank in range(3):
                await self.fleet.set_rank_faults(rank, lose_staged=True)
            await asyncio.sleep(0.05)

    async def fault_messages_are_duplicated(self):
        await self.disturb(self.wait_for_change, copies=2)

    async def fault_messages_are_duplicated_and_reordered(self):
        await self.disturb(self.wait_for_change, copies=2, spread_s=REORDER_DELAY_S)

    async def fault_messages_are_late_duplicated_and_reordered(self):
        await self.disturb(self.wait_for_steps, copies=2, spread_s=LATE_DELAY_S)

    async def wait_for_steps(self):
        """Wait until the group has run further steps, under any map."""
        await asyncio.sleep(2 * LATE_DELAY_S)
        steps = (await self.fleet.group())["step"]
        await self.fleet.wait_until(
            lambda state: state["step"] > steps, support.FEW_SECONDS_S
        )

    async def disturb(self, wait, copies, spread_s=0.0):
        """Duplicate and reorder frames between ranks until three waits are over."""
        for relay in self.fleet.relays_:
            relay.sent_by_number.clear()
            relay.reordered_ = 0
            relay.disturb(copies, spread_s)
        for _ in range(3):
            await wait()
        for relay in self.fleet.relays_:
            relay.disturb()
        counts = (relay.sent_by_number for relay in self.fleet.relays_)
        passed = sum(counts, collections.Counter())
        for kind in ROUND_MESSAGES:
            self.assertGreater(passed[kind.NUMBER], 0, kind)
        if spread_s:
            self.assertGreater(sum(r.reordered_ for r in self.fleet.relays_), 0)

    async def fault_proposer_is_killed_at_each_point(self):
        for relay in self.fleet.relays_:
            relay.delay_s = 0.08
        for after_s in (0.05, 0.15, 0.25, 0.35, 0.45):
            planned = self.fleet.log(0).count("map_planned")
            await self.fleet.wait_until(
                lambda _, n=planned: self.fleet.log(0).count("map_planned") > n,
                group_case.RECOVERY_TIMEOUT_S,
            )
            await asyncio.sleep(after_s)
            await self.fleet.process_by_name["rank-0"].kill()
            await self.fleet.start_agent(0)
        for relay in self.fleet.relays_:
            relay.delay_s = 0.0

    async def fault_weight_store_refuses(self):
        await self.fleet.set_faults("weights", down=True)
        await asyncio.sleep(1.0)
        steps = (await self.fleet.group())["step"]
        await self.fleet.wait_until(
            lambda state: state["step"] > steps, support.FEW_SECONDS_S
        )
        await self.fleet.set_faults("weights", down=False)

    async def fault_weight_store_is_slow(self):
        await self.fleet.set_faults("weights", slow_s=0.7)
        await asyncio.sleep(1.5)
        await self.fleet.set_faults("weights", slow_s=0.0)


class ColdGroupTest(group_case.GroupCase):
    plan = standins.RankFleetPlan(
        group=group_case.SETTINGS,
        engine=group_case.ENGINE | {"starts_with_map": False, "checks_fencing": True},
        platform_up=False,
    )

    async def test_group_without_maps_or_platform_starts(self):
        await self.fleet.wait_until(
            lambda s: s["step"] > 10, group_case.RECOVERY_TIMEOUT_S
        )
        await self.check()
