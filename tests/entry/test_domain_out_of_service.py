"""A failure domain is taken out of service and put back under load."""

import asyncio

from sequoiagap import standins
from tests import support

CALLER_COUNT = 9
OBSERVATION_S = 1.5
DOMAIN = "north"


class DomainOutOfServiceTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=3, engines_per_domain=1, services_per_domain=0, engine={"cold_s": 0.0}
    )

    async def test_domain_leaves_and_returns_under_load(self):
        replies = []
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(self._call_until(stop, index, replies))
            for index in range(CALLER_COUNT)
        ]
        await self._wait_for_executions(0)
        await self._set_domain_state("out")
        await asyncio.sleep(support.FEW_SECONDS_S)
        executed = await self._executions()
        served = len(replies)
        await asyncio.sleep(OBSERVATION_S)
        with self.subTest("no new requests"):
            self.assertEqual(await self._executions(), executed)
        with self.subTest("other domains serve the load"):
            self.assertGreater(len(replies), served + CALLER_COUNT)
        await self._set_domain_state("in")
        with self.subTest("requests return"):
            await self._wait_for_executions(executed)
        stop.set()
        await asyncio.gather(*callers)
        with self.subTest("all answers are complete"):
            incomplete = [text[-80:] for ok, text in replies if not ok]
            self.assertEqual(incomplete, [])

    async def _call_until(self, stop, index, replies):
        entry = f"entry-{index % self.plan.entries}"
        while not stop.is_set():
            status, text = await self.post_model(entry, stream=True, max_tokens=60)
            is_complete = status == 200 and text.endswith("data: [DONE]\n\n")
            replies.append((is_complete, text))

    async def _set_domain_state(self, state):
        changes = {"failure_domains": {DOMAIN: {"state": state}}}
        status, reply = await self.fleet.patch_config(changes)
        self.assertEqual(status, 200, reply)

    async def _wait_for_executions(self, executed):
        async def has_run():
            return await self._executions() > executed

        await self.fleet.wait_until(has_run, support.FEW_SECONDS_S)

    async def _executions(self):
        name = f"{DOMAIN}-model-0-target"
        _, counts = await self.fleet.call(name, "GET", "/executions")
        return sum(counts.values())
