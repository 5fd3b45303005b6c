"""Requests that crash the endpoint that begins to answer them are withheld."""

import asyncio
import dataclasses
import itertools
import time
import unittest
from unittest import mock

from sequoiagap import admission, gateway, routes, standins
from sequoiagap.admission import _part_quarantine
from sequoiagap.gateway import _crash_archive, _crash_evidence, _messages
from tests import support
from tests.gateway import gateway_case

SYSTEM = "system"
CRASHING = "crashing"
SPREAD_LIMIT_S = 1.0
OUTAGE_SPAN_S = 0.02
NOW = 100.0
RESTARTED_MS = 2000


class CrashingRequestsTest(gateway_case.GatewayCase):
    more_settings = {"retry_slack": 0.0, "retry_ratio": 0.0}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        span = mock.patch.object(_part_quarantine, "OUTAGE_SPAN_S", OUTAGE_SPAN_S)
        span.start()
        self.addCleanup(span.stop)
        self.own_parts = itertools.count()
        self.second = await self.start_gateway("g2")
        await support.eventually(self.second.is_ready)
        await support.eventually(lambda: self.second.gateway_count() == 2, 4.0)
        for endpoint in self.endpoints:
            endpoint.crashing_parts = {CRASHING}
        self.publish()

    async def send(self, *parts, to=None):
        """Send a new request with these parts; return status and body."""
        prompt = " ".join((*parts, f"own-{next(self.own_parts)}"))
        status, _, body = await self.call(
            "/order/", to=to, method="POST", X_Prompt_Parts=prompt
        )
        return status, body

    async def crash_once(self, to):
        """Crash an endpoint by a request and wait until both gateways know."""
        known = len(self.second.crash_evidence.quarantine.crashes())
        status, _ = await self.send(SYSTEM, CRASHING, to=to)
        self.assertEqual(status, 502)
        self.publish()
        for running in (self.gateway, self.second):
            crashes = running.crash_evidence.quarantine.crashes
            await support.eventually(lambda c=crashes: len(c()) > known, 3.0)
        await support.eventually(
            lambda: (
                self.second.pool.load_by_id.keys()
                == {endpoint.endpoint_id for endpoint in self.endpoints}
            ),
            3.0,
        )

    async def test_requests_that_crash_endpoints_are_withheld_at_all_gateways(self):
        await self.crash_once(to=self.gateway)
        self.assertEqual((await self.send(SYSTEM, "other"))[0], 200)
        await self.crash_once(to=self.second)
        before = self.ran()
        for running in (self.gateway, self.second):
            status, body = await self.send("another", CRASHING, to=running)
            self.assertEqual(status, 503)
            self.assertIn(b"quarantined", body)
            self.assertIn(b"not_run", body)
        self.assertEqual(self.ran(), before)
        for running in (self.gateway, self.second):
            self.assertEqual((await self.send(SYSTEM, "other", to=running))[0], 200)

    async def test_gateway_that_starts_later_withholds_them_too(self):
        await self.crash_once(to=self.gateway)
        await self.crash_once(to=self.second)
        third = await self.start_gateway("g3")
        await support.eventually(third.is_ready)
        quarantine = third.crash_evidence.quarantine
        await support.eventually(lambda: quarantine.suspicion_by_part, SPREAD_LIMIT_S)
        status, _ = await self.send(SYSTEM, CRASHING, to=third)
        self.assertEqual(status, 503)

    async def test_gateway_that_starts_after_all_were_lost_withholds_them_too(self):
        await self.crash_once(to=self.gateway)
        await self.crash_once(to=self.second)
        await support.eventually(lambda: len(self.store.crash_by_id) == 2)
        await asyncio.gather(
            self._stop_soon(self.gateway), self._stop_soon(self.second)
        )
        fresh = await self.start_gateway("g1")
        await support.eventually(fresh.is_ready)
        quarantine = fresh.crash_evidence.quarantine
        await support.eventually(lambda: quarantine.suspicion_by_part, SPREAD_LIMIT_S)
        status, _ = await self.send(SYSTEM, CRASHING, to=fresh)
        self.assertEqual(status, 503)

    async def test_store_forgets_a_part_that_was_served(self):
        await self.crash_once(to=self.gateway)
        await self.crash_once(to=self.second)
        for endpoint in self.endpoints:
            endpoint.crashing_parts = set()
        quarantine = self.gateway.crash_evidence.quarantine
        for suspicion in quarantine.suspicion_by_part.values():
            suspicion.until = 0.0
        self.assertEqual((await self.send(SYSTEM, CRASHING))[0], 200)
        self.assertFalse(quarantine.suspicion_by_part)
        await support.eventually(lambda: not self.store.crash_by_id)

    async def test_requests_cut_by_an_endpoint_that_lives_on_are_not_withheld(self):
        for endpoint in self.endpoints:
            endpoint.crashing_parts = set()
        self.fault("reset")
        for _ in range(4):
            self.assertEqual((await self.send("a"))[0], 502)
            await asyncio.sleep(2 * OUTAGE_SPAN_S)
        self.fault("")
        self.publish()
        await asyncio.sleep(1.0)  # the interval between two readings
        self.assertEqual((await self.send("a"))[0], 200)
        self.assertFalse(self.gateway.crash_evidence.quarantine.crashes())


class CrashEvidenceTest(unittest.TestCase):
    def setUp(self):
        self.shared = []
        self.archive = mock.Mock()
        self.evidence = _crash_evidence.CrashEvidence(self.shared.append, self.archive)
        ready = routes.EndpointState.READY
        self.endpoint = routes.Endpoint(
            "e1", "desk", "10.0.0.1", 80, "a", ready, 4, started_ms=1000
        )
        self.address = self.endpoint.host_and_port

    def cut(self, *parts):
        self.evidence.record_cut(self.endpoint, parts, NOW)

    def crashes(self):
        return self.evidence.quarantine.crashes()

    def test_restart_proves_a_crash(self):
        self.cut("a", "b")
        self.cut("c")
        self.evidence.record_start(self.address, RESTARTED_MS, NOW + 3.0)
        (crash,) = self.crashes()
        self.assertEqual(crash.prompts, {("a", "b"), ("c",)})
        self.assertEqual(crash.at, NOW)
        (report,) = self.shared
        self.assertEqual((report.age_s, report.prompts), (3.0, [["a", "b"], ["c"]]))

    def test_report_of_the_same_start_disproves_a_crash(self):
        self.cut("a")
        self.evidence.record_start(self.address, 1000, NOW + 0.1)  # was on its way
        self.evidence.record_start(self.address, 1000, NOW + 1.0)
        self.evidence.record_start(self.address, RESTARTED_MS, NOW + 3.0)
        self.assertFalse(self.crashes())

    def test_restart_much_later_is_no_crash_by_a_request(self):
        self.cut("a")
        self.evidence.record_start(self.address, RESTARTED_MS, NOW + 60.0)
        self.assertFalse(self.crashes())

    def test_registered_start_proves_a_crash_but_disproves_none(self):
        self.cut("a")
        self.evidence.record_registered_starts([self.endpoint], NOW + 2.0)
        self.evidence.record_start(self.address, RESTARTED_MS, NOW + 3.0)
        self.assertEqual(len(self.crashes()), 1)

    def test_gateway_that_served_an_accused_part_says_so_once(self):
        self.evidence.record_served(("a", "own"), NOW - 5.0, NOW)
        report = _messages.CrashReport("e2/1", 0.0, [["a", "own-2"]])
        self.assertTrue(self.evidence.handle(report, NOW))
        self.assertFalse(self.evidence.handle(report, NOW))
        self.assertEqual(self.shared, [_messages.PartServed("a", 5.0)])

    def test_snapshot_tells_another_gateway_everything(self):
        self.cut("a", "own-1")
        self.evidence.record_start(self.address, RESTARTED_MS, NOW + 3.0)
        self.evidence.record_served(("a", "own-3"), NOW + 4.0, NOW + 4.0)
        other = _crash_evidence.CrashEvidence(lambda item: None, mock.Mock())
        for item in self.evidence.snapshot(NOW + 5.0):
            other.handle(item, NOW + 15.0)
        (crash,) = other.quarantine.crashes()
        self.assertEqual((crash.at, crash.prompts), (NOW + 10.0, {("a", "own-1")}))
        self.assertEqual(other.quarantine.served_at("a"), NOW + 14.0)

    def test_crashes_behind_another_quarantine_are_not_deleted(self):
        for number in (1, 2):
            endpoint = dataclasses.replace(self.endpoint, started_ms=number)
            now = NOW + 10.0 * number
            parts = (SYSTEM, CRASHING, f"own-{number}")
            self.evidence.record_cut(endpoint, parts, now)
            self.evidence.record_start(self.address, number + 1, now + 3.0)
        self.evidence.record_served((SYSTEM, "own-3"), NOW + 30.0, NOW + 30.0)
        self.archive.delete.assert_called_with(set())
        self.evidence.record_served((CRASHING, "own-4"), NOW + 40.0, NOW + 40.0)
        self.archive.delete.assert_called_with({"e1.1", "e1.2"})

    def test_crashes_are_saved_once_they_withhold_a_part(self):
        for number in (1, 2):
            endpoint = dataclasses.replace(self.endpoint, started_ms=number)
            now = NOW + 10.0 * number
            self.evidence.record_cut(endpoint, ("a", f"own-{number}"), now)
            self.evidence.record_start(self.address, number + 1, now + 3.0)
        saved = [call.args[0] for call in self.archive.save.call_args_list]
        self.assertEqual([len(crashes) for crashes in saved], [0, 2])


class CrashArchiveTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store = standins.DirectStore()
        self.archive = _crash_archive.CrashArchive(self.store)
        self.addAsyncCleanup(self.archive.close)

    async def test_crashes_are_loaded_with_their_age(self):
        crash = admission.Crash("e1.1", NOW - 5.0, frozenset({("a", "own")}))
        self.archive.save([crash], NOW)
        await support.eventually(lambda: self.store.crash_by_id)
        (loaded,) = await self.archive.load(lambda: 7.0)
        self.assertEqual((loaded.crash_id, loaded.prompts), ("e1.1", crash.prompts))
        self.assertAlmostEqual(loaded.at, 2.0, delta=1.0)

    async def test_crashes_too_old_to_matter_are_deleted(self):
        old = gateway.CrashRecord("e1.1", time.time() - 2 * admission.CRASH_KEPT_S, ())
        await self.store.save_crash(old)
        self.assertEqual(await self.archive.load(lambda: NOW), [])
        await support.eventually(lambda: not self.store.crash_by_id)

    async def test_calls_are_repeated_until_the_store_answers(self):
        self.store.is_unreachable = True
        self.archive.save([admission.Crash("e1.1", NOW, frozenset())], NOW)
        await asyncio.sleep(0.1)
        self.store.is_unreachable = False
        await support.eventually(lambda: self.store.crash_by_id, 4.0)
