"""Endpoints that state that they are about to end get no new requests."""

import asyncio

from sequoiagap import gateway, routes
from tests import support
from tests.gateway import gateway_case

CALLS = 30
PATHS = ("/safe/x", "/order-twice/x", "/stream/x")


class LeavingTest(gateway_case.GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving, self.other = self.endpoints
        self.leaving.is_leaving = True

    async def learn(self):
        """Send requests until the endpoint has stated that it leaves."""
        before = self.leaving.arrivals
        while self.leaving.arrivals == before:
            await self.call("/safe/x")

    async def assert_gets_no_more(self, to=None):
        """Send requests; the endpoint gets none of them, and all are answered."""
        before = self.leaving.arrivals
        for _ in range(CALLS // len(PATHS)):
            for path in PATHS:
                status, _, _ = await self.call(path, to=to)
                self.assertEqual(status, 200)
        self.assertEqual(self.leaving.arrivals, before)

    async def test_each_kind_of_answer_tells(self):
        # Guards against requests to a server whose answers say that it leaves.
        for mode, path in (
            ("", "/safe/x"),
            ("", "/stream/x"),
            ("fail", "/safe/x"),
            ("refuse", "/safe/x"),
            ("mute", "/stream/x"),
            ("cut", "/stream/x"),
        ):
            with self.subTest(mode, path=path):
                await self.restart_leaving()
                self.leaving.faults.mode = mode
                before = self.leaving.arrivals
                async with asyncio.timeout(support.FEW_SECONDS_S):
                    while self.leaving.arrivals == before:
                        await self.call(path)
                self.leaving.faults.mode = ""
                await self.assert_gets_no_more()

    async def test_a_refusal_that_blames_another_rank_tells(self):
        self.leaving.faults.mode = "blame"
        await self.learn()
        self.assertFalse(self.is_usable())

    async def restart_leaving(self):
        """Register another start of the endpoint that leaves."""
        self.leaving.started_ms += 1
        self.publish()
        await support.eventually(self.is_usable)

    def is_usable(self):
        """Return whether the present start of the endpoint gets requests."""
        known = {
            load.endpoint.endpoint_id: load.endpoint.started_ms
            for load in self.gateway.pool.candidates("desk")
        }
        return known.get(self.leaving.endpoint_id) == self.leaving.started_ms

    async def test_it_holds_before_the_answer_has_ended(self):
        self.leaving.events, self.leaving.event_s = 100, 0.01
        self.other.faults.mode = "refuse"
        task = asyncio.create_task(self.call("/patient/stream"))
        await support.eventually(lambda: self.leaving.arrivals == 1)
        await support.eventually(lambda: not self.is_usable())
        self.other.faults.mode = ""
        self.assertFalse(task.done())
        await self.assert_gets_no_more()
        status, _, body = await task
        self.assertEqual((status, body.count(b"id:")), (200, 100))

    async def test_later_readings_that_say_ready_do_not_lift_it(self):
        await self.learn()
        for _ in range(3):
            self.publish()
            await asyncio.sleep(0.3)
        await self.assert_gets_no_more()

    async def test_it_holds_while_the_store_is_away_and_after(self):
        await self.learn()
        self.store.is_unreachable = True
        await self.assert_gets_no_more()
        self.store.put("endpoints", {})
        self.store.is_unreachable = False
        self.publish()
        await asyncio.sleep(0.5)
        await self.assert_gets_no_more()

    async def test_another_start_gets_requests_again(self):
        await self.learn()
        self.leaving.is_leaving = False
        await self.restart_leaving()
        before = self.leaving.arrivals
        for _ in range(CALLS):
            await self.call("/safe/x")
        self.assertGreater(self.leaving.arrivals, before)

    async def test_gateways_learn_it_from_each_other(self):
        second = await self.start_gateway("g2")
        await support.eventually(second.is_ready)
        await support.eventually(lambda: second.gateway_count() == 2, 4.0)
        await self.learn()
        await support.eventually(lambda: len(second.pool.candidates("desk")) == 1, 1.0)
        await self.assert_gets_no_more(to=second)
        third = await self.start_gateway("g3")
        await support.eventually(third.is_ready)
        await support.eventually(lambda: len(third.pool.candidates("desk")) == 1, 3.0)

    async def test_agents_tell(self):
        report = gateway.EndpointReport(
            endpoint=self.leaving.record("desk").host_and_port,
            incarnation="a",
            sequence=1,
            running=0,
            waiting=0,
            slots=4,
            started_ms=self.leaving.started_ms,
            is_leaving=True,
        )
        self.gateway._handle_report(report)
        await self.assert_gets_no_more()

    async def test_last_endpoint_leaves(self):
        self.other.is_leaving = True
        await self.learn()
        while len(self.gateway.pool.candidates("desk")):
            await self.call("/safe/x")
        before = self.ran()
        for path in PATHS:
            status, headers, body = await self.call(path)
            self.assertEqual(status, 503)
            self.assertIn(b"not_run", body)
            self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertEqual(self.ran(), before)

    async def test_an_entry_that_drains_tells_for_good(self):
        self.leaving.is_leaving = False
        self.publish(e1=routes.EndpointState.DRAINING)
        await support.eventually(lambda: not self.is_usable())
        self.publish()
        await asyncio.sleep(0.5)
        await self.assert_gets_no_more()
