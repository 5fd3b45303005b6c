"""Limits that several gateways keep together, and recovery after all are lost."""

import asyncio
import dataclasses
import time

from sequoiagap import routes, standins
from tests import support
from tests.gateway import gateway_case

COLD_REQUESTS_S = 16.0
OVERSHOOT = 1.5


class MultipleGatewaysTest(gateway_case.GatewayCase):
    more_settings = {
        "retry_ratio": 0.2,
        "retry_slack": 40.0,
        "cold_overshoot": OVERSHOOT,
        "max_gateways": 2,
        "key_proof_ms": 4000,
    }

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.cut_store = standins.DirectStore()
        self.cut_store.__dict__.update(self.store.__dict__)
        self.second = await self.start_gateway("g2", store=self.cut_store)
        await support.eventually(self.second.is_ready)
        await support.eventually(lambda: self.second.gateway_count() == 2)

    async def call_both(self, path, number):
        """Send requests to both gateways at once."""
        calls = [
            self.call(path, to=to)
            for to in (self.gateway, self.second)
            for _ in range(number)
        ]
        return [status for status, _, _ in await asyncio.gather(*calls)]

    async def test_retries_stay_within_the_shared_budget(self):
        self.fault("fail")
        for _ in range(6):
            await self.call_both("/safe/", 10)
        repeats = sum(e.arrivals for e in self.endpoints) - 120
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, 0.2 * 120 + 40)

    async def publish_cold(self):
        """Register the endpoints as cold and wait until both gateways see it."""
        service = routes.Service("desk", cold_requests_s=COLD_REQUESTS_S)
        cold = [
            dataclasses.replace(endpoint.record("desk"), cold_remaining_s=30.0)
            for endpoint in self.endpoints
        ]
        table = dataclasses.replace(
            gateway_case.table(2), service_by_name={"desk": service}
        )
        for store in (self.store, self.cut_store):
            store.put("endpoints", {record.endpoint_id: record for record in cold})
            store.put("config", table)
        for gateway in (self.gateway, self.second):
            await support.eventually(lambda g=gateway: g.table.version == 2, 3.0)
            loads = gateway.pool.load_by_id.values()
            await support.eventually(
                lambda x=loads: all(load.endpoint.cold_remaining_s for load in x), 3.0
            )

    async def test_all_gateways_together_keep_the_cold_rate(self):
        await self.publish_cold()
        began = time.monotonic()
        statuses = await self.call_both("/safe/", 60)
        seconds = time.monotonic() - began
        for endpoint in self.endpoints:
            bound = COLD_REQUESTS_S * OVERSHOOT * (1 + int(seconds))
            self.assertLessEqual(endpoint.arrivals, bound)
        self.assertIn(200, statuses)
        self.assertIn(503, statuses)

    async def test_cold_rate_is_divided_by_the_registered_gateways(self):
        budgets = self.gateway.dispatcher.budgets
        budgets.budgets = dataclasses.replace(budgets.budgets, gateways=16)
        await support.eventually(
            lambda: self.gateway.peers.registered_count() == 2, 4.0
        )
        await self.publish_cold()
        calls = [self.call("/patient/stream") for _ in range(12)]
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertEqual(statuses, [200] * 12)

    async def test_callers_wait_for_the_next_second_of_cold_endpoints(self):
        await self.publish_cold()
        for load in self.gateway.pool.load_by_id.values():
            load.cold_sends = [time.monotonic()] * int(COLD_REQUESTS_S * OVERSHOOT)
        status, _, _ = await self.call("/patient/stream")
        self.assertEqual(status, 200)

    async def test_draining_endpoint_gets_nothing_after_a_reading_through_a_peer(self):
        self.cut_store.is_unreachable = True
        self.publish(e1=routes.EndpointState.DRAINING)
        self.cut_store.snapshot_by_topic = self.store.snapshot_by_topic
        # The time limit for removing draining endpoints.
        await asyncio.sleep(2.0)
        before = self.endpoints[0].arrivals
        for _ in range(6):
            status, _, body = await self.call("/safe/", to=self.second)
            self.assertEqual((status, body), (200, b"answer of e2"))
        self.assertEqual(self.endpoints[0].arrivals, before)

    async def test_gateway_that_starts_after_all_were_lost_serves(self):
        await asyncio.gather(self.gateway.stop(), self.second.stop())
        began = time.monotonic()
        fresh = await self.start_gateway("g1")
        await support.eventually(fresh.is_ready, 3.0)
        status, _, _ = await self.call("/safe/", to=fresh)
        self.assertEqual(status, 200)
        self.assertLess(time.monotonic() - began, 3.0)
