"""Endpoints that restart at their address, and hosts that hang."""

import asyncio
import dataclasses
import random
import time
import unittest

from sequoiagap import base, routes
from sequoiagap.gateway import _loads, _messages, _pool
from tests import support
from tests.gateway import gateway_case

OLD_MS, NEW_MS = 1000, 2000
NOW = 50.0
READY = routes.EndpointState.READY
CALLER_PATIENCE_S = 2.0  # without a first event


def endpoint(endpoint_id, port, started_ms=OLD_MS):
    """Return a registered endpoint."""
    return routes.Endpoint(
        endpoint_id,
        "desk",
        "10.0.0.1",
        port,
        "a",
        READY,
        slots=4,
        started_ms=started_ms,
    )


def report(port, started_ms=OLD_MS, sequence=1, address="10.0.0.1"):
    """Return a report of an agent."""
    return _messages.EndpointReport(
        f"{address}:{port}", "run", sequence, 0, 0, 4, group="g", started_ms=started_ms
    )


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.pool = _pool.EndpointPool()
        self.pool.update({"a": endpoint("a", 1), "b": endpoint("b", 2)}, NOW)

    def candidates(self):
        return {load.endpoint.endpoint_id for load in self.pool.candidates("desk")}

    def test_address_belongs_to_the_latest_start(self):
        for order in (("a", "c"), ("c", "a")):
            with self.subTest(order):
                known = {"a": endpoint("a", 1), "c": endpoint("c", 1, NEW_MS)}
                self.pool.update({name: known[name] for name in order}, NOW)
                self.assertEqual(self.candidates(), {"c"})

    def test_unregistered_start_is_reported_once(self):
        self.assertFalse(self.pool.record_report(report(1), NOW))
        self.assertTrue(self.pool.record_report(report(1, NEW_MS), NOW))
        self.assertFalse(self.pool.record_report(report(1, NEW_MS), NOW + 0.1))

    def test_restarted_endpoint_gets_nothing_until_registered(self):
        self.pool.record_report(report(1, NEW_MS), NOW)
        load = self.pool.load_by_id["a"]
        self.assertTrue(load.is_closed(NOW + 0.1))
        self.pool.update({"c": endpoint("c", 1, NEW_MS)}, NOW + 0.2)
        (fresh,) = self.pool.candidates("desk")
        self.assertFalse(fresh.is_closed(NOW + 0.2))

    def test_endpoint_is_used_again_if_the_registry_stays_unchanged(self):
        self.pool.record_report(report(1, NEW_MS), NOW)
        later = NOW + _loads.REPLACED_S + 0.1
        self.assertFalse(self.pool.load_by_id["a"].is_closed(later))

    def test_same_id_may_restart(self):
        self.pool.record_report(report(1, NEW_MS), NOW)
        self.pool.update({"a": endpoint("a", 1, NEW_MS)}, NOW + 0.2)
        self.assertFalse(self.pool.load_by_id["a"].is_closed(NOW + 0.2))


class SilentHostTest(unittest.TestCase):
    def setUp(self):
        self.pool = _pool.EndpointPool()
        self.pool.update({"a": endpoint("a", 1), "b": endpoint("b", 2)}, NOW)
        for port in (1, 2):
            self.pool.record_report(report(port), NOW)

    def is_silent(self, endpoint_id, after_s):
        return self.pool.load_by_id[endpoint_id].is_silent(NOW + after_s)

    def test_one_silent_agent_of_a_reporting_group(self):
        self.pool.record_report(report(2, sequence=2), NOW + 1.0)
        self.assertTrue(self.is_silent("a", 1.0))
        self.assertFalse(self.is_silent("b", 1.0))

    def test_no_host_is_silent_if_no_report_arrives_at_all(self):
        self.assertFalse(self.is_silent("a", 1.0))
        self.assertFalse(self.is_silent("b", 1.0))

    def test_silent_endpoint_is_chosen_last(self):
        self.pool.record_report(report(2, sequence=2), NOW + 1.0)
        random_state = random.Random(1)
        chooser = _loads.EndpointChooser(random_state, "a")
        busy = self.pool.load_by_id["b"]
        busy.sent_at_by_attempt = {str(n): NOW for n in range(3)}
        chosen = chooser.choose(self.pool.candidates("desk"), NOW + 1.0)
        self.assertEqual(chosen.endpoint.endpoint_id, "b")


class StuckHostTest(gateway_case.GatewayCase):
    """The host of one endpoint hangs with a request in its engine."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.stuck, self.other = self.endpoints
        self.stuck.work_s = 60.0
        self.stuck_reports = True
        self.sequence = 0
        reporting = asyncio.ensure_future(self.report_forever())
        self.addAsyncCleanup(base.cancel_and_wait, reporting)
        await asyncio.sleep(0.2)

    async def report_forever(self):
        """Send the reports of the agents beside the endpoints."""
        while True:
            self.sequence += 1
            reporting_endpoints = (
                [self.stuck, self.other] if self.stuck_reports else [self.other]
            )
            for reporting_endpoint in reporting_endpoints:
                item = report(reporting_endpoint.port, 0, self.sequence, "127.0.0.1")
                running = 0 if reporting_endpoint is self.stuck else 3
                self.gateway._handle_report(dataclasses.replace(item, running=running))
            await asyncio.sleep(0.1)

    async def call_then_silence_host(self, path, method="GET"):
        """Send a request and stop the reports of the host that received it."""
        began = time.monotonic()
        call = asyncio.ensure_future(self.call(path, method))
        await support.eventually(lambda: self.stuck.arrivals)
        self.stuck_reports = False
        status, _, _ = await call
        return status, time.monotonic() - began

    async def test_stream_starts_over_elsewhere_before_its_caller_leaves(self):
        status, took_s = await self.call_then_silence_host("/patient/stream")
        self.assertEqual(status, 200)
        self.assertLess(took_s, CALLER_PATIENCE_S)

    async def test_unsafe_request_is_not_sent_again(self):
        status, _ = await self.call_then_silence_host("/order-twice/x", "POST")
        self.assertNotEqual(status, 200)
        self.assertEqual(self.other.arrivals, 0)

    async def test_slow_endpoint_of_a_reporting_host_keeps_its_request(self):
        call = asyncio.ensure_future(self.call("/patient/stream"))
        await asyncio.sleep(CALLER_PATIENCE_S - 0.2)
        self.assertEqual(self.other.arrivals, 0)
        call.cancel()


class RestartedEndpointTest(gateway_case.GatewayCase):
    def register(self, endpoint_id, started_ms):
        port = self.endpoints[0].port
        record = routes.Endpoint(
            endpoint_id, "desk", "127.0.0.1", port, "a", READY, 4, started_ms=started_ms
        )
        self.store.put("endpoints", {endpoint_id: record})

    async def test_requests_wait_for_the_new_id_and_reach_no_other_endpoint(self):
        first = self.endpoints[0]
        self.register("e1", OLD_MS)
        known = self.gateway.pool.load_by_id
        await support.eventually(lambda: set(known) == {"e1"})
        first.endpoint_id = "e9"
        restart_report = report(first.port, NEW_MS, address="127.0.0.1")
        self.gateway._handle_report(restart_report)
        call = asyncio.ensure_future(self.call("/patient/stream"))
        await asyncio.sleep(0.3)
        self.register("e9", NEW_MS)
        status, _, _ = await call
        self.assertEqual(status, 200)
        self.assertEqual(first.arrivals, 1)
