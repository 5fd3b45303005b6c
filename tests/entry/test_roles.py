"""Endpoints change their role under load and get only requests that it can serve."""

import asyncio
import random
import time

from sequoiagap import standins
from tests import support

RATE = 20.0
SEED = 3
CHANGED_ENDPOINT = "north-model-0"
LONG_TOKENS = 100
PHASE_S = 1.5


class RolesTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=3,
        engines_per_domain=1,
        services_per_domain=0,
        engine={"step_s": 0.01, "cold_s": 0.0, "order_s": 0.3},
    )

    async def test_ordered_role_change_loses_and_misroutes_no_requests(self):
        long_answer = asyncio.create_task(
            self.post_model("entry-0", stream=True, max_tokens=LONG_TOKENS)
        )
        load = standins.AccountLoad("caller", RATE)
        sending = asyncio.create_task(self._generator(load).run(PHASE_S * 4))
        await asyncio.sleep(PHASE_S / 3)
        for role in ("prefill", "decode"):
            with self.subTest(role):
                await self._order_role(role)
                changed_at = time.time()
                await asyncio.sleep(PHASE_S)
                self.assertNotIn(CHANGED_ENDPOINT, self.attempts_since(changed_at))
                self.assertEqual(await self._observed_roles(), {role})
        await self._order_role("both")
        await self.fleet.wait_until(self._is_usable_again, support.FEW_SECONDS_S)
        status, text = await long_answer
        self.assertTrue(status == 200 and text.endswith("data: [DONE]\n\n"), text[-80:])
        total = (await sending).total()
        self.assertEqual(total.count_by_result, {"answered": total.sent})
        self.assertEqual(await self._count_misplaced(), 0)

    async def test_external_role_change_is_detected(self):
        for agent_state in ("stays", "is replaced"):
            with self.subTest(agent=agent_state):
                await self._change_engine_role("prefill")
                if agent_state == "is replaced":
                    await self.fleet.process_by_name[CHANGED_ENDPOINT].kill()
                    await self.fleet.start_agent(CHANGED_ENDPOINT)
                await self.fleet.wait_until(self._is_unused, support.FEW_SECONDS_S)
                before = await self._count_misplaced()
                load = standins.AccountLoad("caller", RATE, stream=False)
                total = (await self._generator(load).run(1.0)).total()
                self.assertEqual(total.count_by_result, {"answered": total.sent})
                self.assertEqual(await self._count_misplaced(), before)
                await self._change_engine_role("both")
                await self.fleet.wait_until(
                    self._is_usable_again, support.FEW_SECONDS_S
                )

    def _generator(self, load):
        urls = [self.fleet.url(name) for name in self.fleet.entry_names()]
        return standins.LoadGenerator(urls, [load], random.Random(SEED))

    async def _order_role(self, role):
        path = f"/endpoints/{CHANGED_ENDPOINT}/orders"
        body = {"kind": "change_role", "arguments": {"role": role}, "order_id": role}
        status, reply = await self.fleet.call("entry-1", "POST", path, body)
        self.assertEqual(status, 200, reply)

    async def _change_engine_role(self, role):
        """Change the role at the engine directly, without the agent."""
        self._number = getattr(self, "_number", 0) + 1
        body = {"kind": "change_role", "arguments": {"role": role}}
        body |= {"fencing": self._number, "order_id": f"own-{self._number}"}
        name = f"{CHANGED_ENDPOINT}-target"
        status, _ = await self.fleet.call(name, "POST", "/orders", body)
        self.assertEqual(status, 200)

    async def _endpoint_views(self):
        for name in self.fleet.entry_names():
            _, state = await self.fleet.call(name, "GET", "/state")
            yield state["endpoints"][CHANGED_ENDPOINT]

    async def _observed_roles(self):
        return {view["role"] async for view in self._endpoint_views()}

    async def _is_unused(self):
        return [
            view
            async for view in self._endpoint_views()
            if view["connected"] and view["limit"]
        ] == []

    async def _is_usable_again(self):
        views = [v async for v in self._endpoint_views() if v["connected"]]
        return len(views) == self.plan.entries and all(
            view["limit"] > 0 and view["role"] == "both" for view in views
        )

    async def _count_misplaced(self):
        _, stats = await self.fleet.call(f"{CHANGED_ENDPOINT}-target", "GET", "/stats")
        return stats["misplaced"]
