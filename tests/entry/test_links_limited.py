"""Entries that may link only a few of the agents."""

import asyncio
import signal
import time

from sequoiagap import standins
from tests import support
from tests.entry import callers

MAX_LINKS = 4
MAX_EXTRA = 1
IDLE_S = 5.0  # after which a link that was not chosen is closed
SETTLE_S = 1.5  # the list is polled each second


class LimitedLinksTest(support.FleetCase):
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
        await asyncio.sleep(SETTLE_S)  # until the entries know each other

    async def linked(self, entry, target):
        """Return the endpoints that an entry has chosen and reaches."""
        _, state = await self.fleet.call(entry, "GET", "/state")
        return {
            name
            for name, endpoint in state["endpoints"].items()
            if endpoint["connected"]
            and endpoint["chosen"]
            and target in endpoint["serves"]
        }

    async def count_links(self, entry):
        """Return how many links of an entry are open."""
        _, state = await self.fleet.call(entry, "GET", "/state")
        return sum(e["connected"] for e in state["endpoints"].values())

    async def are_extras_closed(self):
        """Return whether only chosen agents are linked at the first entry."""
        _, state = await self.fleet.call("entry-0", "GET", "/state")
        return all(e["chosen"] for e in state["endpoints"].values())

    async def test_cases(self):
        for case in (
            self._operators_reach_an_agent_that_is_not_linked,
            self._keys_run_once_at_entries_with_different_links,
            self._all_chosen_agents_of_a_model_killed_at_once,
            self._a_frozen_agent_is_replaced_until_it_is_back,
        ):
            with self.subTest(case.__name__.strip("_")):
                await case()

    async def _all_chosen_agents_of_a_model_killed_at_once(self):
        """Send requests on to agents that were not linked; links are replaced."""
        await self.fleet.wait_until(self.are_extras_closed, 2 * IDLE_S)
        killed = await self.linked("entry-0", "desk-model")
        self.assertLess(len(killed), len(self.fleet.endpoint_names()) / 2)
        await asyncio.gather(
            *(self.fleet.process_by_name[name].kill() for name in killed)
        )
        until = time.monotonic() + support.FEW_SECONDS_S
        while time.monotonic() < until:
            began = time.monotonic()
            status, text = await self.post_model(max_tokens=2)
            self.assertEqual(status, 200, text)
            self.assertLess(time.monotonic() - began, support.FEW_SECONDS_S)
            self.assertLessEqual(
                await self.count_links("entry-0"), MAX_LINKS + MAX_EXTRA
            )
        self.assertTrue(await self.linked("entry-0", "desk-model") - killed)
        await asyncio.gather(*(self.fleet.start_agent(name) for name in killed))

        async def are_back():
            return await self.linked("entry-0", "desk-model") == killed

        await self.fleet.wait_until(are_back, support.FEW_SECONDS_S)

    async def _keys_run_once_at_entries_with_different_links(self):
        """Find the run by its claim; the other entry links its agent on demand."""
        links = [await self.linked(f"entry-{i}", "orders") for i in range(2)]
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

    async def _operators_reach_an_agent_that_is_not_linked(self):
        for name in self.fleet.endpoint_names():
            status, state = await self.fleet.call("entry-0", "GET", f"/state/{name}")
            self.assertEqual((status, state["node_id"]), (200, name))

    async def _a_frozen_agent_is_replaced_until_it_is_back(self):
        chosen = await self.linked("entry-0", "desk-model")
        frozen = min(chosen)
        self.fleet.process_by_name[frozen].send_signal(signal.SIGSTOP)

        async def is_replaced():
            linked = await self.linked("entry-0", "desk-model")
            return frozen not in linked and len(linked) == len(chosen)

        await self.fleet.wait_until(is_replaced, support.FEW_SECONDS_S)
        until = time.monotonic() + IDLE_S + SETTLE_S
        while time.monotonic() < until:
            self.assertTrue(await is_replaced(), "it was chosen while it was frozen")
            await asyncio.sleep(0.1)
        self.fleet.process_by_name[frozen].send_signal(signal.SIGCONT)

        async def is_back():
            return await self.linked("entry-0", "desk-model") == chosen

        await self.fleet.wait_until(is_back, support.FEW_SECONDS_S)
