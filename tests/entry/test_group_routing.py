"""Entries route to slow and stalled rank groups; operators control rebalancing."""

import asyncio
import tempfile

from sequoiagap import experts, standins
from tests import support

REQUESTS = 60
MAX_CONCURRENT = 6
OBSERVATION_S = 2.0  # several planning intervals


class GroupCase(support.FleetCase):
    """Runs each test with an entry, an endpoint without a group and a rank group."""

    group_settings = {}
    group_engine = {"step_s": 0.003, "tokens": 12}
    plan = standins.FleetPlan(
        domains=("north",), entries=1, engines_per_domain=1, services_per_domain=0
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plan = standins.RankFleetPlan(
            shape=(2, 2, 4, 3),
            platform_url=self.fleet.url("platform"),
            secret_file=str(self.fleet.folder / "secret"),
            group=self.group_settings,
            engine=self.group_engine,
        )
        self.group = await self.enterAsyncContext(standins.RankFleet(plan, folder.name))
        for rank in range(2):
            await self.group.register(rank)
        await self.fleet.wait_until(self.gets_requests, support.FEW_SECONDS_S)

    async def limits(self):
        """Return the request limits of the group's endpoints at the entry."""
        _, state = await self.fleet.call("entry-0", "GET", "/state")
        endpoints = state["endpoints"]
        return [endpoints.get(f"rank-{r}", {"limit": 0})["limit"] for r in range(2)]

    async def gets_requests(self):
        return all(limit > 0 for limit in await self.limits())

    async def gets_no_requests(self):
        return not any(await self.limits())


class GroupRoutingTest(GroupCase):
    async def send_requests(self):
        """Send requests; return the number that the group served, and the statuses."""
        before = (await self.group.group())["completions"]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT)

        async def send_one():
            async with semaphore:
                status, _ = await self.post_model()
                return status

        statuses = await asyncio.gather(*(send_one() for _ in range(REQUESTS)))
        after = (await self.group.group())["completions"]
        return after - before, set(statuses)

    async def test_slow_group_gets_fewer_and_stalled_group_no_requests(self):
        healthy, statuses = await self.send_requests()
        self.assertEqual(statuses, {200})
        await self.group.set_rank_faults(1, slowness=8.0)
        await self.send_requests()
        slowed, statuses = await self.send_requests()
        self.assertEqual(statuses, {200})
        self.assertLess(slowed, healthy * 0.6)
        await self.group.set_rank_faults(1, slowness=1.0, frozen=True)
        await self.fleet.wait_until(self.gets_no_requests, support.FEW_SECONDS_S)
        stalled, statuses = await self.send_requests()
        self.assertEqual((stalled, statuses), (0, {200}))
        await self.group.set_rank_faults(1, frozen=False)
        await self.fleet.wait_until(self.gets_requests, support.FEW_SECONDS_S)
        recovered, _ = await self.send_requests()
        self.assertGreater(recovered, 0)


class GroupOrdersTest(GroupCase):
    group_settings = {"policy": "full_replan"}
    group_engine = {"trace": "oscillation"}

    async def patch_group(self, **group_changes):
        """Patch the settings of the group in the configuration."""
        status, document = await self.fleet.patch_config(
            {"groups": {"group-0": group_changes}}
        )
        self.assertEqual(status, 200, document)

    async def test_operators_can_pin_a_map_and_stop_rebalancing(self):
        initial = experts.initial_map(experts.MapShape(2, 2, 4, 3)).digest
        await self.group.wait_until(
            lambda s: s["versions_used"][-1:] > [2], support.FEW_SECONDS_S * 2
        )
        await self.patch_group(pinned_map=initial)
        pinned = await self.group.wait_until(
            lambda s: {c[1] for c in s["committed"]} == {initial},
            support.FEW_SECONDS_S * 2,
        )
        await asyncio.sleep(OBSERVATION_S)
        self.assertEqual((await self.group.group())["committed"], pinned["committed"])
        await self.patch_group(pinned_map=None, rebalance=False)
        await asyncio.sleep(OBSERVATION_S)
        self.assertEqual((await self.group.group())["committed"], pinned["committed"])
        await self.patch_group(rebalance=True)
        await self.group.wait_until(
            lambda s: s["committed"] != pinned["committed"], support.FEW_SECONDS_S * 2
        )
