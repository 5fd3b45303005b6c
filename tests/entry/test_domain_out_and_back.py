"""A failure domain goes out and comes back while callers send."""

import asyncio

from sequoiagap import standins
from tests import support

CALLERS = 9
SETTLED_S = 1.5
DOMAIN = "north"


class DomainOutAndBackTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=3, engines_per_domain=1, services_per_domain=0, engine={"cold_s": 0.0}
    )

    async def test_out_and_back_under_load(self):
        replies = []
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(self._call_until(stop, index, replies))
            for index in range(CALLERS)
        ]
        await self._wait_for_work(0)
        await self._move("out")
        await asyncio.sleep(support.FEW_SECONDS_S)
        ran = await self._executions()
        served = len(replies)
        await asyncio.sleep(SETTLED_S)
        with self.subTest("new work has stopped"):
            self.assertEqual(await self._executions(), ran)
        with self.subTest("the rest carry the load"):
            self.assertGreater(len(replies), served + CALLERS)
        await self._move("in")
        with self.subTest("work returns"):
            await self._wait_for_work(ran)
        stop.set()
        await asyncio.gather(*callers)
        with self.subTest("every answer was whole"):
            bad = [text[-80:] for ok, text in replies if not ok]
            self.assertEqual(bad, [])

    async def _call_until(self, stop, index, replies):
        entry = f"entry-{index % self.plan.entries}"
        while not stop.is_set():
            status, text = await self.post_model(entry, stream=True, max_tokens=60)
            is_whole = status == 200 and text.endswith("data: [DONE]\n\n")
            replies.append((is_whole, text))

    async def _move(self, state):
        changes = {"failure_domains": {DOMAIN: {"state": state}}}
        status, reply = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, reply)

    async def _wait_for_work(self, ran):
        async def has_run():
            return await self._executions() > ran

        await self.fleet.wait_until(has_run, support.FEW_SECONDS_S)

    async def _executions(self):
        name = f"{DOMAIN}-model-0-target"
        _, counts = await self.fleet.call(name, "GET", "/executions")
        return sum(counts.values())
