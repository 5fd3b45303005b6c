"""Endpoints that fail, hang, leave, are replaced or have wrong host list entries."""

import asyncio
import signal
import time

from sequoiagap import standins
from tests import support

REQUESTS = 24
ENDPOINTS = [f"north-model-{i}" for i in range(7)]
LONG_TOKENS = 300


class MembershipTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north",),
        entries=2,
        engines_per_domain=len(ENDPOINTS),
        services_per_domain=0,
        engine={"cold_s": 0.0},
        relays=True,
    )

    async def test_unavailable_endpoints_get_no_requests_after_a_few_seconds(self):
        suspended, killed, leaving, listed, removed, replaced, _ = ENDPOINTS
        case_groups = [
            [
                # name, endpoint, fault, whether it gets requests afterwards
                ("leaving, announced by itself", leaving, self._terminate, False),
                ("suspended while idle", suspended, self._suspend, False),
                ("killed while idle", killed, self._kill, False),
                (
                    "leaving in the host list, running",
                    listed,
                    self._list_leaving,
                    False,
                ),
            ],
            [
                (
                    "removed from the host list, running",
                    removed,
                    self._remove_from_list,
                    True,
                ),
                ("replaced at the same address", replaced, self._replace, True),
                ("resumed", suspended, self._resume, True),
                ("platform down", replaced, self._take_platform_down, True),
            ],
        ]
        for cases in case_groups:
            for _, endpoint, inject_fault, _ in cases:
                await inject_fault(endpoint)
            await asyncio.sleep(support.FEW_SECONDS_S)
            expected = {endpoint for _, endpoint, _, is_used in cases if is_used}
            used = await self._send_until_used(expected, time.time())
            for name, endpoint, _, is_used in cases:
                with self.subTest(name):
                    self.assertEqual(endpoint in used, is_used, (endpoint, used))

    async def _send_until_used(self, expected, began):
        """Send requests until all expected endpoints got one, or time is up."""
        await self._send_many()
        used = self.attempts_since(began)
        while expected - set(used) and time.time() - began < support.FEW_SECONDS_S:
            await self._send_many()
            used = self.attempts_since(began)
        return used

    async def _send_many(self):
        """Send concurrent requests to both entries, so that all endpoints are used."""
        calls = [
            self.post_model(f"entry-{i % 2}", max_tokens=40) for i in range(REQUESTS)
        ]
        replies = await asyncio.gather(*calls)
        self.assertEqual([status for status, _ in replies], [200] * REQUESTS)

    async def _suspend(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGSTOP)

    async def _resume(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGCONT)

    async def _kill(self, endpoint):
        await self.fleet.process_by_name[endpoint].kill()

    async def _terminate(self, endpoint):
        """Shut an agent down during streams, which must complete."""
        long_answers = asyncio.gather(
            *(self.post_model(stream=True, max_tokens=LONG_TOKENS) for _ in range(14))
        )
        await asyncio.sleep(0.3)
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGTERM)
        for status, text in await long_answers:
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

    async def _remove_from_list(self, endpoint):
        await self.fleet.call("platform", "DELETE", f"/hosts/{endpoint}")
        await asyncio.sleep(support.FEW_SECONDS_S)

    async def _replace(self, endpoint):
        self.fleet.process_by_name[endpoint].send_signal(signal.SIGTERM)
        await self.fleet.process_by_name[endpoint].wait()
        await self.fleet.start_agent(endpoint)

    async def _take_platform_down(self, endpoint):
        await self.fleet.set_faults("platform", down=True)
