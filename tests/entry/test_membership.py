"""Endpoints that die, freeze, leave, are replaced, or that the list gets wrong."""

import asyncio
import signal
import time

from sequoiagap import standins
from tests import support

REQUESTS = 24
NAMES = [f"north-model-{i}" for i in range(7)]
HOLD_TOKENS = 300


class MembershipTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",),
        entries=2,
        engines_per_domain=len(NAMES),
        services_per_domain=0,
        engine={"cold_s": 0.0},
        relays=True,
    )

    async def test_no_new_work_after_a_few_seconds(self):
        frozen, killed, leaving, listed, gone, replaced, _ = NAMES
        rounds = [
            [
                # name, endpoint, fault, whether it gets work afterwards
                ("leaving by its own word", leaving, self._terminate, False),
                ("frozen while idle", frozen, self._freeze, False),
                ("killed while idle", killed, self._kill, False),
                ("leaving on the list, alive", listed, self._list_leaving, False),
            ],
            [
                ("gone from the list, alive", gone, self._take_off_list, True),
                ("replaced at the same address", replaced, self._replace, True),
                ("thawed", frozen, self._thaw, True),
                ("list down", replaced, self._take_list_down, True),
            ],
        ]
        for cases in rounds:
            for _, endpoint, break_it, _ in cases:
                await break_it(endpoint)
            await asyncio.sleep(support.FEW_SECONDS_S)
            wanted = {endpoint for _, endpoint, _, works in cases if works}
            sent = await self._send_until(wanted, time.time())
            for name, endpoint, _, works in cases:
                with self.subTest(name):
                    self.assertEqual(endpoint in sent, works, (endpoint, sent))

    async def _send_until(self, wanted, began):
        """Send requests until all wanted endpoints got some, or time is up."""
        await self._send_many()
        sent = self.attempts_since(began)
        while wanted - set(sent) and time.time() - began < support.FEW_SECONDS_S:
            await self._send_many()
            sent = self.attempts_since(began)
        return sent

    async def _send_many(self):
        """Send requests over both entries at once, so that all endpoints serve."""
        calls = [
            self.post_model(f"entry-{i % 2}", max_tokens=40) for i in range(REQUESTS)
        ]
        replies = await asyncio.gather(*calls)
        self.assertEqual([status for status, _ in replies], [200] * REQUESTS)

    async def _freeze(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGSTOP)

    async def _thaw(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGCONT)

    async def _kill(self, endpoint):
        await self.fleet.process_by_name[endpoint].kill()

    async def _terminate(self, endpoint):
        """Let it leave with an answer under way, which must end whole."""
        long = asyncio.gather(
            *(self.post_model(stream=True, max_tokens=HOLD_TOKENS) for _ in range(14))
        )
        await asyncio.sleep(0.3)
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGTERM)
        for status, text in await long:
            self.assertEqual(status, 200)
            self.assertTrue(text.endswith("data: [DONE]\n\n"), text[-200:])
        self.assertEqual(await self.fleet.process_by_name[endpoint].wait(), 0)

    async def _list_leaving(self, endpoint):
        port = self.fleet.relays_.peer_by_name[endpoint].port_
        host = {
            "host_id": endpoint,
            "role": "agent",
            "address": "127.0.0.1",
            "port": port,
            "failure_domain": "north",
            "state": "leaving",
            "serves": ["desk-model"],
        }
        await self.fleet.call("platform", "PUT", f"/hosts/{endpoint}", host)

    async def _take_off_list(self, endpoint):
        await self.fleet.call("platform", "DELETE", f"/hosts/{endpoint}")
        await asyncio.sleep(support.FEW_SECONDS_S)

    async def _replace(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGTERM)
        await self.fleet.process_by_name[endpoint].wait()
        await self.fleet.start_agent(endpoint)

    async def _take_list_down(self, endpoint):
        await self.fleet.set_faults("platform", down=True)
