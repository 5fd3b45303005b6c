"""Cold endpoints, which fail for a while when overloaded, under restarts.

Guards against agents or entries that, after a restart, send a cold endpoint more
requests than its cold capacity.
"""

import asyncio
import signal

import aiohttp

from sequoiagap import standins
from tests import support

COLD_CAPACITY = 2
COLD_S = 1.0
CALLERS = 40
RECOVERY_S = 2.5


class ColdEndpointsTest(support.FleetCase):
    """Closed-loop callers keep all slots busy while processes restart."""

    plan = standins.FleetPlan(
        entries=3,
        services_per_domain=0,
        engine={
            "cold_capacity": COLD_CAPACITY,
            "capacity": 16,
            "cold_s": COLD_S,
            "step_s": 0.02,
            "cold_slowdown": 6.0,
        },
        endpoint={"cold_limit": COLD_CAPACITY, "warm_limit": 16, "warm_up_s": 0.5},
    )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self._callers = [asyncio.create_task(self._call(i)) for i in range(CALLERS)]
        self.addAsyncCleanup(self._stop_callers)
        await self._wait_warm()

    async def test_no_restart_overloads_a_cold_endpoint(self):
        faults = {
            "engine killed and started again": self._restart_engine,
            "agent killed while its endpoint is running": self._restart_agent,
            "engine and agent killed together": self._restart_both,
            "all entries resume after a pause": self._pause_entries,
            "entries killed and started again": self._restart_entries,
        }
        for name, inject_fault in faults.items():
            with self.subTest(name):
                await inject_fault("north-model-0")
                await asyncio.sleep(COLD_S + RECOVERY_S)
                self.assertEqual(await self._count_overloads(), 0)
                await self._wait_warm()

    async def test_unreported_cold_state_is_detected_by_errors(self):
        """The first overload can't be foreseen; there must be no second one."""
        await asyncio.sleep(1.0)
        await self._post("north-model-0-target", "/chill", {"seconds": 3.0})
        await asyncio.sleep(3.0)
        self.assertLessEqual(await self._count_overloads(), 1)

    async def _restart_engine(self, name):
        target = self.fleet.process_by_name[f"{name}-target"]
        port = target.ready_["port"]
        await target.kill()
        await self.fleet.start_stand_in(
            f"{name}-target", "engine", {**self.plan.engine, "port": port}
        )

    async def _restart_agent(self, name):
        await self.fleet.process_by_name[name].kill()
        await self.fleet.start_agent(name)

    async def _restart_both(self, name):
        await self.fleet.process_by_name[name].kill()
        await self._restart_engine(name)
        await self.fleet.start_agent(name)

    async def _pause_entries(self, name):
        entries = [self.fleet.process_by_name[n] for n in self.fleet.entry_names()]
        for entry in entries:
            entry.send_signal(signal.SIGSTOP)
        await self._restart_engine(name)
        await asyncio.sleep(2.0)
        for entry in entries:
            entry.send_signal(signal.SIGCONT)

    async def _restart_entries(self, name):
        for index in range(self.plan.entries):
            await self.fleet.process_by_name[f"entry-{index}"].kill()
        await self._restart_engine(name)
        await asyncio.gather(
            *(self.fleet.start_entry(index) for index in range(self.plan.entries))
        )

    async def _call(self, number):
        entry = f"entry-{number % self.plan.entries}"
        while True:
            try:
                status, _ = await self.post_model(entry, stream=True)
            except (OSError, aiohttp.ClientError):
                status = 0
            if status != 200:
                await asyncio.sleep(0.05)

    async def _stop_callers(self):
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)

    async def _wait_warm(self):
        await self.fleet.wait_until(self._all_warm, 15.0)

    async def _all_warm(self):
        _, state = await self.fleet.call("entry-1", "GET", "/state")
        endpoints = state["endpoints"].values()
        return all(view["state"] == "warm" for view in endpoints)

    async def _count_overloads(self):
        overloads = 0
        for name in self.fleet.endpoint_names():
            _, stats = await self.fleet.call(f"{name}-target", "GET", "/stats")
            overloads += stats["fell_over"]
        return overloads

    async def _post(self, name, path, body):
        status, _ = await self.fleet.call(name, "POST", path, body)
        self.assertEqual(status, 200)
