"""Entries whose link limit is lower than the number of agents."""

import asyncio
import signal
import time

from sequoiagap import standins
from tests import support
from tests.entry import callers

MAX_LINKS = 4
MAX_ON_DEMAND = 1
IDLE_TIMEOUT_S = 5.0  # idle time after which an on-demand link is closed
LIST_UPDATE_S = 1.5  # exceeds the poll interval of the host list, 1 s


class LinkLimitTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north", "south"),
        entries=2,
        engines_per_domain=4,
        services_per_domain=2,
        engine={"cold_s": 0.0},
        service={"work_s": 0.4},
        entry={"max_links": MAX_LINKS},
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Until the entries have discovered each other.
        await asyncio.sleep(LIST_UPDATE_S)

    async def selected_links(self, entry, target):
        """Return the endpoints of a target that an entry has selected and connected."""
        _, state = await self.fleet.call(entry, "GET", "/state")
        return {
            name
            for name, endpoint in state["endpoints"].items()
            if endpoint["connected"]
            and endpoint["chosen"]
            and target in endpoint["serves"]
        }

    async def count_links(self, entry):
        """Return the number of open links of an entry."""
        _, state = await self.fleet.call(entry, "GET", "/state")
        return sum(e["connected"] for e in state["endpoints"].values())

    async def are_on_demand_links_closed(self):
        """Return whether the first entry has links to selected agents only."""
        _, state = await self.fleet.call("entry-0", "GET", "/state")
        return all(e["chosen"] for e in state["endpoints"].values())

    async def test_cases(self):
        for case in (
            self._operators_reach_agents_without_links,
            self._keys_run_once_at_entries_with_different_links,
            self._all_selected_agents_of_a_model_are_killed,
            self._suspended_agent_is_replaced_until_it_resumes,
        ):
            with self.subTest(case.__name__.strip("_")):
                await case()

    async def _all_selected_agents_of_a_model_are_killed(self):
        """Check that requests use on-demand links until failed links are replaced."""
        await self.fleet.wait_until(self.are_on_demand_links_closed, 2 * IDLE_TIMEOUT_S)
        killed = await self.selected_links("entry-0", "desk-model")
        self.assertLess(len(killed), len(self.fleet.endpoint_names()) / 2)
        await asyncio.gather(
            *(self.fleet.process_by_name[name].kill() for name in killed)
        )
        deadline = time.monotonic() + support.FEW_SECONDS_S
        while time.monotonic() < deadline:
            began = time.monotonic()
            status, text = await self.post_model(max_tokens=2)
            self.assertEqual(status, 200, text)
            self.assertLess(time.monotonic() - began, support.FEW_SECONDS_S)
            self.assertLessEqual(
                await self.count_links("entry-0"), MAX_LINKS + MAX_ON_DEMAND
            )
        self.assertTrue(await self.selected_links("entry-0", "desk-model") - killed)
        await asyncio.gather(*(self.fleet.start_agent(name) for name in killed))

        async def are_linked_again():
            return await self.selected_links("entry-0", "desk-model") == killed

        await self.fleet.wait_until(are_linked_again, support.FEW_SECONDS_S)

    async def _keys_run_once_at_entries_with_different_links(self):
        """Check that a claim names its agent, which the other entry links on demand."""
        links = [await self.selected_links(f"entry-{i}", "orders") for i in range(2)]
        self.assertFalse(links[0] & links[1], links)
        for number in range(8):
            key = f"key-{number}"
            answers = await asyncio.gather(
                *(
                    callers.post_order(self.fleet, number, key, f"entry-{i % 2}")
                    for i in range(4)
                )
            )
            answers.append(await callers.post_order(self.fleet, number, key, "entry-1"))
            self.assertEqual([a.status for a in answers], [200] * 5, answers)
            self.assertEqual(len({a.text for a in answers}), 1)
        counts = await self.fleet.executions()
        self.assertEqual({counts[f"key-{n}"] for n in range(8)}, {1})

    async def _operators_reach_agents_without_links(self):
        for name in self.fleet.endpoint_names():
            status, state = await self.fleet.call("entry-0", "GET", f"/state/{name}")
            self.assertEqual((status, state["node_id"]), (200, name))

    async def _suspended_agent_is_replaced_until_it_resumes(self):
        selected = await self.selected_links("entry-0", "desk-model")
        suspended = min(selected)
        self.fleet.process_by_name[suspended].send_signal(signal.SIGSTOP)

        async def is_replaced():
            links = await self.selected_links("entry-0", "desk-model")
            return suspended not in links and len(links) == len(selected)

        await self.fleet.wait_until(is_replaced, support.FEW_SECONDS_S)
        deadline = time.monotonic() + IDLE_TIMEOUT_S + LIST_UPDATE_S
        while time.monotonic() < deadline:
            self.assertTrue(
                await is_replaced(), "the agent was selected while it was suspended"
            )
            await asyncio.sleep(0.1)
        self.fleet.process_by_name[suspended].send_signal(signal.SIGCONT)

        async def is_linked_again():
            return await self.selected_links("entry-0", "desk-model") == selected

        await self.fleet.wait_until(is_linked_again, support.FEW_SECONDS_S)
