"""Keys are accepted only with a recent proof, also during outages and suspensions."""

import asyncio
from unittest import mock

from sequoiagap import routes, standins
from tests import support
from tests.gateway import gateway_case


class KeysTest(gateway_case.GatewayCase):
    more_settings = {"key_proof_ms": 1500}

    async def test_withdrawn_key_is_refused(self):
        self.store.put("config", gateway_case.table(2, accounts=()))
        await asyncio.sleep(1.0)
        self.assertEqual((await self.call("/safe/"))[0], 401)

    async def test_gateway_without_proof_refuses_keys_and_serves_the_rest(self):
        self.store.is_unreachable = True
        await asyncio.sleep(1.6)
        status, headers, body = await self.call("/safe/")
        self.assertEqual((status, self.ran()), (503, 0))
        self.assertIn("Retry-After", headers)
        self.assertIn(b"key_proof_ms", body)
        self.assertEqual((await self.call("/public/", key=""))[0], 200)
        self.assertFalse(self.gateway.is_ready())

    async def test_stale_configuration_does_not_report_unknown(self):
        self.store.is_unreachable = True
        await asyncio.sleep(1.6)
        self.assertEqual((await self.call("/none/"))[0], 503)
        self.assertEqual((await self.call("/safe/", key="newer"))[0], 503)

    async def test_suspended_time_counts(self):
        now = routes.suspend_aware_time()
        with mock.patch.object(routes, "suspend_aware_time", lambda: now + 2.0):
            self.assertEqual((await self.call("/safe/"))[0], 503)
        self.assertEqual(self.ran(), 0)

    async def test_proof_age_counts_from_the_request(self):
        answer = self.store.read

        async def slow_read(topic, may_be_old=False):
            await asyncio.sleep(0.6)
            return await answer(topic)

        with mock.patch.object(self.store, "read", slow_read):
            await asyncio.sleep(2.0)
            age = self.gateway.freshness.age(routes.suspend_aware_time())
        self.assertGreaterEqual(age, 0.6)

    async def test_configuration_never_goes_back(self):
        self.store.put("config", gateway_case.table(5))
        await support.eventually(lambda: self.gateway.table.version == 5)
        self.store.put("config", gateway_case.table(4))
        await asyncio.sleep(0.9)
        self.assertEqual(self.gateway.table.version, 5)


class PeersTest(gateway_case.GatewayCase):
    more_settings = {"key_proof_ms": 1500}

    async def test_cut_off_gateway_reads_through_a_peer(self):
        class CutStore(standins.DirectStore):
            """Shares the content of the other store; may be unreachable by itself."""

        cut = CutStore()
        cut.__dict__.update(self.store.__dict__)
        second = await self.start_gateway("g2", store=cut)
        await support.eventually(second.is_ready)
        await support.eventually(lambda: second.peers._connection_by_id)
        cut.is_unreachable = True
        await asyncio.sleep(2.2)
        self.assertTrue(second.is_ready())
        self.assertEqual((await self.call("/safe/", to=second))[0], 200)

    async def test_stop_finishes_requests_in_flight(self):
        for endpoint in self.endpoints:
            endpoint.work_s = 0.8
        task = asyncio.ensure_future(self.call("/safe/"))
        await asyncio.sleep(0.1)
        stop = asyncio.ensure_future(self.gateway.stop())
        await asyncio.sleep(0.1)
        self.assertFalse(self.gateway.is_ready())
        self.assertEqual((await task)[0], 200)
        status, headers, _ = await self.call("/safe/")
        self.assertEqual((status, headers["Connection"]), (200, "close"))
        await stop
