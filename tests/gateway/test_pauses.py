"""Endpoints that want no requests for a time get none until its end."""

import asyncio
import time
import unittest

from sequoiagap import routes
from sequoiagap.gateway import _loads, _pauses
from tests import support
from tests.gateway import gateway_case

PAUSE_S = 1.2
ALLOWED = 2  # requests between half a second after the answer and the end of the time
LEARN_S = 0.5
CALL_INTERVAL_S = 0.01
PATHS = ("/safe/x", "/order-twice/x", "/stream/x", "/order/x")


class PausesTest(gateway_case.GatewayCase):
    def pause(self, *endpoints, pause_s=PAUSE_S):
        """Make endpoints turn each request away and name a pause."""
        for endpoint in endpoints:
            endpoint.faults.mode = "refuse"
            endpoint.pause_s = pause_s

    async def call_for(self, seconds, paths=PATHS):
        """Send requests for some time; return their statuses."""
        statuses, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            calls = [self.call(path) for path in paths]
            statuses += [status for status, _, _ in await asyncio.gather(*calls)]
            await asyncio.sleep(CALL_INTERVAL_S)
        return statuses

    def most_in_a_pause(self, endpoint, pause_s=PAUSE_S):
        """Return the most arrivals in the rest of a pause that an arrival caused."""
        arrived_at = endpoint.arrived_at
        return max(
            sum(at + LEARN_S < other < at + pause_s for other in arrived_at)
            for at in arrived_at
        )

    async def test_one_of_two(self):
        # Guards against requests to a server in a time for which it wants none.
        paused, other = self.endpoints
        self.pause(paused)
        statuses = await self.call_for(4 * PAUSE_S)
        self.assertGreaterEqual(paused.arrivals, 2)
        self.assertLessEqual(self.most_in_a_pause(paused), ALLOWED)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertLessEqual(statuses.count(503), paused.arrivals)
        self.assertGreater(other.arrivals, len(statuses) * 0.9)

    async def test_all_servers_of_a_service(self):
        self.pause(*self.endpoints)
        await self.call_for(LEARN_S)
        began = time.monotonic()
        status, headers, body = await self.call("/safe/x")
        self.assertLess(time.monotonic() - began, 0.2)
        self.assertEqual(status, 503)
        self.assertIn(b"want no requests", body)
        self.assertIn(b"not_run", body)
        remaining_s = PAUSE_S - LEARN_S
        self.assertGreater(float(headers["Retry-After"]), remaining_s / 2)
        self.assertLess(float(headers["Retry-After"]), 2 * PAUSE_S)
        await self.call_for(4 * PAUSE_S)
        for endpoint in self.endpoints:
            self.assertLessEqual(self.most_in_a_pause(endpoint), ALLOWED)

    async def test_success_of_an_earlier_request_does_not_lift_it(self):
        paused, other = self.endpoints
        paused.work_s = other.work_s = 0.3
        calls = [asyncio.create_task(self.call("/safe/x")) for _ in range(6)]
        await asyncio.sleep(0.1)
        self.pause(paused)
        while not paused.faults.times < 1_000_000:
            await self.call("/safe/x")
        self.assertEqual({(await call)[0] for call in calls}, {200})
        before = paused.arrivals
        other.work_s = 0.0
        for _ in range(20):
            await self.call("/safe/x")
        self.assertEqual(paused.arrivals, before)

    async def test_it_survives_a_lapsed_entry_and_ends_with_another_start(self):
        paused = self.endpoints[0]
        self.pause(paused, pause_s=3600.0)
        while not paused.arrivals:
            await self.call("/safe/x")
        self.store.put("endpoints", {})
        await asyncio.sleep(0.5)
        self.publish()
        await asyncio.sleep(0.5)
        for _ in range(20):
            await self.call("/safe/x")
        self.assertEqual(paused.arrivals, 1)
        dump = self.gateway.dump_state()["endpoints"][paused.endpoint_id]
        self.assertGreater(dump["paused_s"], 3500.0)
        paused.started_ms += 1
        paused.faults.mode = ""
        self.publish()
        loads = self.gateway.pool.load_by_id
        await support.eventually(
            lambda: loads[paused.endpoint_id].endpoint.started_ms == paused.started_ms
        )
        for _ in range(20):
            await self.call("/safe/x")
        self.assertGreater(paused.arrivals, 1)

    async def test_refusal_without_a_time_holds_nothing_back(self):
        self.pause(self.endpoints[0], pause_s=0.0)
        for _ in range(10):
            self.assertEqual((await self.call("/safe/x"))[0], 200)
        self.assertEqual(self.gateway.dispatcher.pauses._until_by_start, {})


class EndpointPausesTest(unittest.TestCase):
    def setUp(self):
        ready = routes.EndpointState.READY
        self.endpoint = routes.Endpoint("e1", "desk", "::1", 1, "a", ready, slots=8)
        self.load = _loads.EndpointLoad(self.endpoint)
        self.pauses = _pauses.EndpointPauses()

    def in_flight(self, now):
        """Send until nothing more may be sent; return how many are in flight."""
        for number in range(100):
            if not self.pauses.may_send(self.load, now):
                break
            self.load.sent_at_by_attempt[f"{number} {now}"] = now
        return len(self.load.sent_at_by_attempt)

    def test_requests_grow_from_one_after_the_end(self):
        self.pauses.record(self.endpoint, 5.0, 100.0)
        self.assertEqual(self.in_flight(104.9), 0)
        self.assertEqual(self.in_flight(105.0), 1)
        self.assertEqual(self.in_flight(106.0), 5)
        self.assertGreater(self.in_flight(107.0), 8)

    def test_shorter_time_does_not_shorten_it(self):
        self.pauses.record(self.endpoint, 5.0, 100.0)
        self.pauses.record(self.endpoint, 1.0, 101.0)
        self.assertEqual(self.pauses.remaining_s(self.endpoint, 101.0), 4.0)

    def test_past_pauses_are_forgotten(self):
        for number in range(1000):
            endpoint = routes.Endpoint(
                f"e{number}", "desk", "::1", 1, "a", routes.EndpointState.READY, slots=1
            )
            self.pauses.record(endpoint, 1.0, float(number))
        self.assertLess(len(self.pauses._until_by_start), 10)


if __name__ == "__main__":
    unittest.main()
