"""Responses to callers while the endpoints' group is down for some seconds."""

import asyncio
import random
import time
import unittest

from sequoiagap import gateway, standins
from sequoiagap.gateway import _outage
from tests.gateway import gateway_case

NOW = 100.0
SERVICE_S = 1.2
CAPACITY = 3


def caller(remaining_s, patience_s=2.0, route_timeout_s=8.0):
    """Return a caller whose request has just arrived."""
    return _outage.Caller(NOW, NOW + remaining_s, route_timeout_s, patience_s)


class RetryDelayTest(unittest.TestCase):
    def test_no_longer_than_callers_honour(self):
        random_state = random.Random(1)
        for remaining_s in (1.0, 3.0, 5.4, 8.0, 60.0):
            times = {
                _outage.outage_retry_delay_s(remaining_s, random_state)
                for _ in range(50)
            }
            self.assertLessEqual(max(times), max(remaining_s / 3, 0.25))
            self.assertGreater(len(times), 10)

    def test_long_enough_for_usual_outages(self):
        self.assertGreater(_outage.outage_retry_delay_s(8.0, random.Random(1)), 2.4)


class OutageQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = _outage.OutageQueue()

    def wait(self, remaining_s, outage_s=3.0, **fields):
        found = caller(remaining_s, **fields)
        until = self.queue.wait_deadline(found, outage_s, SERVICE_S, CAPACITY, NOW)
        return until - NOW

    def test_no_wait_while_the_group_can_hardly_recover_in_time(self):
        self.assertEqual(self.wait(8.0, outage_s=0.2), 0)
        self.assertEqual(self.wait(5.4, outage_s=0.2), 0)

    def test_callers_wait_within_their_patience(self):
        self.assertAlmostEqual(self.wait(5.4), 2.0 - _outage.FIRST_EVENT_S)
        self.assertAlmostEqual(self.wait(8.0), 2.0 - _outage.FIRST_EVENT_S)

    def test_capacity_is_reserved_for_callers_that_retry(self):
        with self.queue:
            self.assertEqual(self.wait(8.0), 0)
            self.assertGreater(self.wait(5.4), 0)

    def test_time_for_the_complete_answer_remains(self):
        self.assertAlmostEqual(self.wait(2.5), 2.5 - 1.3 * SERVICE_S)
        self.assertEqual(self.wait(1.0), 0)

    def test_no_wait_in_a_long_outage_or_with_unknown_patience(self):
        self.assertEqual(self.wait(5.4, outage_s=30.0), 0)
        self.assertEqual(self.wait(5.4, patience_s=0.0), 0)

    def test_waiting_requests_are_limited_by_capacity(self):
        with self.queue, self.queue:
            self.assertGreater(self.wait(5.4), 0)
            with self.queue:
                self.assertEqual(self.wait(5.4), 0)
        self.assertGreater(self.wait(5.4), 0)


class OutageTest(gateway_case.GatewayCase):
    def report(self, epoch, is_open):
        """Report for both endpoints whether their group serves."""
        for endpoint in self.endpoints:
            report = gateway.EndpointReport(
                endpoint=f"127.0.0.1:{endpoint.port}",
                incarnation="a",
                sequence=self.sequence,
                running=0,
                waiting=0,
                slots=4,
                is_open=is_open,
                group="g",
                epoch=epoch,
            )
            self.gateway._handle_report(report)
        self.sequence += 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sequence = 1
        self.report(1, True)
        self.report(1, False)
        self.reporting = asyncio.create_task(self.report_forever())
        self.addCleanup(self.reporting.cancel)

    async def report_forever(self):
        while True:
            self.report(1, False)
            await asyncio.sleep(0.25)

    async def reopen(self, after_s):
        await asyncio.sleep(after_s)
        self.report(2, True)

    async def test_early_call_is_refused_at_once_with_a_retry_delay(self):
        began = time.monotonic()
        status, headers, _ = await self.call("/patient/", X_Remaining_Ms="8000")
        self.assertEqual((status, self.ran()), (503, 0))
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertGreater(float(headers["Retry-After"]), 2.0)

    def age_outage(self, seconds):
        """Move the start of the outage back."""
        for load in self.gateway.pool.load_by_id.values():
            load.group.closed_at = time.monotonic() - seconds

    async def test_repeated_call_is_served_once_the_group_recovers(self):
        self.age_outage(3.0)
        reopening = asyncio.create_task(self.reopen(0.4))
        began = time.monotonic()
        status, _, body = await self.call("/patient/stream", X_Remaining_Ms="5300")
        await reopening
        self.assertEqual(status, 200)
        self.assertEqual(body.count(b"data:"), 5)
        self.assertEqual(self.ran(), 1)
        self.assertGreater(time.monotonic() - began, 0.35)

    async def test_repeated_call_is_refused_within_its_patience(self):
        self.age_outage(3.0)
        began = time.monotonic()
        status, _, _ = await self.call("/patient/", X_Remaining_Ms="5300")
        elapsed = time.monotonic() - began
        self.assertEqual((status, self.ran()), (503, 0))
        self.assertGreater(elapsed, 1.0)
        self.assertLess(elapsed, 2.0)

    async def test_answer_that_blames_another_rank_closes_the_group(self):
        self.reporting.cancel()
        pool = self.gateway.pool
        first, other = pool.load_by_id.values()
        first.group = other.group = None
        pool.record_group_down(first, time.monotonic())
        self.assertTrue(other.is_closed(time.monotonic()))
        self.assertGreater(other.closed_for(time.monotonic()), 2.0)

    async def test_request_that_found_the_group_down_is_served_once_it_is_back(self):
        self.reporting.cancel()
        faults = standins.EndpointFaults("blame", 1)
        for endpoint in self.endpoints:
            endpoint.faults = faults
        for load in self.gateway.pool.load_by_id.values():
            load.group = None
        reopening = asyncio.create_task(self.reopen(0.4))
        status, _, body = await self.call("/patient/stream", X_Remaining_Ms="8000")
        await reopening
        self.assertEqual((status, body.count(b"data:")), (200, 5))
        self.assertEqual(self.ran(), 1)
        self.assertEqual(sum(e.arrivals for e in self.endpoints), 2)

    async def test_a_caller_that_leaves_while_it_waits_reaches_no_endpoint(self):
        self.age_outage(3.0)
        call = asyncio.create_task(self.call("/patient/", X_Remaining_Ms="5300"))
        await asyncio.sleep(0.2)
        call.cancel()
        await self.reopen(0.3)
        await asyncio.sleep(0.2)
        self.assertEqual(self.ran(), 0)
        self.assertEqual(self.gateway.front.in_flight_, 0)
