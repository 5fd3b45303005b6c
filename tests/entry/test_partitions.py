"""A failure domain is cut off from the platform, from other domains or from both."""

import asyncio
import time

from sequoiagap import standins
from tests import support

NORTH_ENTRIES = ["entry-0", "entry-3"]
NORTH_AGENT = "north-model-0"
REQUESTS = 5


class PartitionTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=6, engines_per_domain=1, services_per_domain=0, relays=True
    )

    async def test_partitioned_domain_serves_and_highest_version_wins(self):
        cases = [
            # name, without the platform, without the other failure domains
            ("without the platform", True, False),
            ("without the others", False, True),
            ("without both", True, True),
        ]
        for name, no_platform, no_others in cases:
            with self.subTest(name):
                before = (await self.versions())["entry-0"]
                await self.fleet.wait_until(self._has_peers, support.FEW_SECONDS_S)
                self._partition(no_platform, no_others)
                number = await self._patch_outside_partition(name)
                is_version_received = not (no_platform and no_others)
                await self._check_partition(
                    number if is_version_received else before, no_platform, no_others
                )
                self.fleet.relays_.heal()
                await self.wait_in_force(number)

    async def test_processes_started_in_partition_receive_config_from_peers(self):
        status, reply = await self.fleet.patch_config({"models": {"later": {}}})
        self.assertEqual(status, 200, reply)
        await self.wait_in_force(reply["version"])
        self._partition(True, True)
        await self.fleet.process_by_name[NORTH_AGENT].kill()
        self.fleet.relays_.peer_by_name[NORTH_AGENT].set_mode("cut")
        await self._cut_platform_of_new_entry("entry-6")
        await self.fleet.start_entry(6)
        await self.fleet.start_agent(NORTH_AGENT)
        await self.wait_in_force(reply["version"], ["entry-6"], [NORTH_AGENT])
        await self.fleet.wait_until(self._serves_at_new_entry, support.FEW_SECONDS_S)

    async def test_local_order_is_in_force_until_superseded(self):
        self._partition(True, False)
        status, order = await self.fleet.call(
            "entry-0", "POST", "/local/domain-out", {"failure_domain": "north"}
        )
        self.assertEqual(status, 200, order)
        await self.fleet.wait_until(self._is_order_applied, support.FEW_SECONDS_S)
        executed = await self._executions()
        for entry in self.fleet.entry_names():
            self.assertEqual((await self.post_model(entry))[0], 200)
        self.assertEqual(await self._executions(), executed)
        south_state = (await self.fleet.call("entry-2", "GET", "/state"))[1]
        self.assertEqual(south_state["local_out"], [])
        status, reply = await self.fleet.patch_config({"models": {"x": {}}}, "entry-2")
        self.assertEqual(status, 200, reply)
        await self.wait_in_force(reply["version"])
        for name in NORTH_ENTRIES:
            _, state = await self.fleet.call(name, "GET", "/state")
            self.assertEqual(state["local_out"], [])
        _, state = await self.fleet.call("entry-0", "GET", f"/state/{NORTH_AGENT}")
        self.assertEqual(state["local_out"], [])

    def _partition(self, no_platform, no_others):
        entries, agents = self.names_in("north")
        inside = entries + agents
        outside = set(self.fleet.entry_names()) | set(self.fleet.endpoint_names())
        if no_platform:
            self.fleet.relays_.cut_platform(inside, standins.LinkMode.SILENT)
        if no_others:
            outside_names = sorted(outside - set(inside))
            self.fleet.relays_.cut_between(
                inside, outside_names, standins.LinkMode.SILENT
            )

    async def _cut_platform_of_new_entry(self, name):
        """Block the connections of an entry to the platform before it starts."""
        port = self.fleet.process_by_name["platform"].ready_["port"]
        await self.fleet.relays_.platform_port(name, port)
        self.fleet.relays_.cut_platform([name], standins.LinkMode.SILENT)

    async def _patch_outside_partition(self, name):
        changes = {"models": {name.replace(" ", "-"): {}}}
        status, reply = await self.fleet.patch_config(changes, "entry-2")
        self.assertEqual(status, 200, reply)
        return reply["version"]

    async def _check_partition(self, number, no_platform, no_others):
        await self.wait_in_force(number, NORTH_ENTRIES, [NORTH_AGENT])
        versions = await self.versions(NORTH_ENTRIES, [NORTH_AGENT])
        self.assertEqual(set(versions.values()), {number})
        count_by_endpoint = await self._check_served()
        if no_others:
            self.assertEqual(set(count_by_endpoint), {NORTH_AGENT})
        if no_platform:
            status, reply = await self.fleet.patch_config({"models": {"y": {}}})
            self.assertEqual(status, 503, reply)
            self.assertEqual(reply["error"]["type"], "platform_down")
            self.assertEqual(reply["error"]["outcome"], "not_run")

    async def _check_served(self):
        """Check that requests are served a few seconds after the partition begins.

        :returns: number of attempts sent to each endpoint.
        :rtype: dict[str, int]
        """
        await asyncio.sleep(support.FEW_SECONDS_S)
        began = time.time()
        async with asyncio.timeout(support.FEW_SECONDS_S):
            for _ in range(REQUESTS):
                for entry in NORTH_ENTRIES:
                    self.assertEqual((await self.post_model(entry))[0], 200)
        return {
            name: count
            for name, count in self.attempts_since(began).items()
            if name in self.fleet.endpoint_names()
        }

    async def _has_peers(self):
        """Return whether the north entries have a peer in each failure domain."""
        for name in NORTH_ENTRIES:
            _, state = await self.fleet.call(name, "GET", "/state")
            domains = {int(peer[-1]) % 3 for peer in state["peers"]}
            if len(domains) < 3:
                return False
        return True

    async def _serves_at_new_entry(self):
        before = await self._executions()
        status, _ = await self.post_model("entry-6")
        return status == 200 and await self._executions() > before

    async def _is_order_applied(self):
        _, state = await self.fleet.call("entry-3", "GET", "/state")
        _, agent = await self.fleet.call("entry-0", "GET", f"/state/{NORTH_AGENT}")
        return state["local_out"] == agent["local_out"] == ["north"]

    async def _executions(self):
        path = "/executions"
        _, counts = await self.fleet.call(f"{NORTH_AGENT}-target", "GET", path)
        return sum(counts.values())
