"""A failure domain without the platform, without the others, without both."""

import asyncio
import time

from sequoiagap import standins
from tests import support

NORTH_ENTRIES = ["entry-0", "entry-3"]
NORTH_AGENT = "north-model-0"
REQUESTS = 5


class CutOffTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=6, engines_per_domain=1, services_per_domain=0, relays=True
    )

    async def test_each_cut_serves_on_and_the_higher_version_wins(self):
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
                self._cut(no_platform, no_others)
                number = await self._patch_outside(name)
                reaches = not (no_platform and no_others)
                await self._check_cut(
                    number if reaches else before, no_platform, no_others
                )
                self.fleet.relays_.heal()
                await self.wait_in_force(number)

    async def test_processes_started_in_the_cut_learn_from_peers(self):
        status, reply = await self.fleet.patch_config({"models": {"later": {}}})
        self.assertEqual(status, 200, reply)
        await self.wait_in_force(reply["version"])
        self._cut(True, True)
        await self.fleet.process_by_name[NORTH_AGENT].kill()
        self.fleet.relays_.peer_by_name[NORTH_AGENT].set_mode("cut")
        await self._cut_new_entry("entry-6")
        await self.fleet.start_entry(6)
        await self.fleet.start_agent(NORTH_AGENT)
        await self.wait_in_force(reply["version"], ["entry-6"], [NORTH_AGENT])
        await self.fleet.wait_until(self._serves_at_new_entry, support.FEW_SECONDS_S)

    async def test_local_order_holds_until_a_version_overtakes_it(self):
        self._cut(True, False)
        status, order = await self.fleet.call(
            "entry-0", "POST", "/local/domain-out", {"failure_domain": "north"}
        )
        self.assertEqual(status, 200, order)
        await self.fleet.wait_until(self._refuses_everywhere, support.FEW_SECONDS_S)
        ran = await self._executions()
        for entry in self.fleet.entry_names():
            self.assertEqual((await self.post_model(entry))[0], 200)
        self.assertEqual(await self._executions(), ran)
        south = (await self.fleet.call("entry-2", "GET", "/state"))[1]
        self.assertEqual(south["local_out"], [])
        status, reply = await self.fleet.patch_config({"models": {"x": {}}}, "entry-2")
        self.assertEqual(status, 200, reply)
        await self.wait_in_force(reply["version"])
        for name in NORTH_ENTRIES:
            _, state = await self.fleet.call(name, "GET", "/state")
            self.assertEqual(state["local_out"], [])
        _, state = await self.fleet.call("entry-0", "GET", f"/state/{NORTH_AGENT}")
        self.assertEqual(state["local_out"], [])

    def _cut(self, no_platform, no_others):
        entries, agents = self.names_in("north")
        inside = entries + agents
        outside = set(self.fleet.entry_names()) | set(self.fleet.endpoint_names())
        if no_platform:
            self.fleet.relays_.cut_platform(inside, standins.LinkMode.SILENT)
        if no_others:
            others = sorted(outside - set(inside))
            self.fleet.relays_.cut_between(inside, others, standins.LinkMode.SILENT)

    async def _cut_new_entry(self, name):
        """Cut an entry off from the platform before it starts."""
        port = self.fleet.process_by_name["platform"].ready_["port"]
        await self.fleet.relays_.platform_port(name, port)
        self.fleet.relays_.cut_platform([name], standins.LinkMode.SILENT)

    async def _patch_outside(self, name):
        changes = {"models": {name.replace(" ", "-"): {}}}
        status, reply = await self.fleet.patch_config(changes, "entry-2")
        self.assertEqual(status, 200, reply)
        return reply["version"]

    async def _check_cut(self, number, no_platform, no_others):
        await self.wait_in_force(number, NORTH_ENTRIES, [NORTH_AGENT])
        versions = await self.versions(NORTH_ENTRIES, [NORTH_AGENT])
        self.assertEqual(set(versions.values()), {number})
        sent = await self._check_served()
        if no_others:
            self.assertEqual(set(sent), {NORTH_AGENT})
        if no_platform:
            status, reply = await self.fleet.patch_config({"models": {"y": {}}})
            self.assertEqual(status, 503, reply)
            self.assertEqual(reply["error"]["type"], "platform_down")
            self.assertEqual(reply["error"]["outcome"], "not_run")

    async def _check_served(self):
        """Check that requests are served a few seconds after the cut.

        :returns: how often each endpoint was sent an attempt.
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
        """Return whether the entries inside have a peer in each failure domain."""
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

    async def _refuses_everywhere(self):
        _, state = await self.fleet.call("entry-3", "GET", "/state")
        _, agent = await self.fleet.call("entry-0", "GET", f"/state/{NORTH_AGENT}")
        return state["local_out"] == agent["local_out"] == ["north"]

    async def _executions(self):
        path = "/executions"
        _, counts = await self.fleet.call(f"{NORTH_AGENT}-target", "GET", path)
        return sum(counts.values())
