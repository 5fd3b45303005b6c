"""Load reports to entries about attempts of other entries.

Guards against entries that keep sending to an endpoint which other entries have
filled.
"""

import asyncio
import time
import unittest

from sequoiagap import admission, base, routing, wire
from sequoiagap.agent import _load_updates, _slots

LIMIT = 8
MAX_REPORTS_PER_S = 100
ENTRIES = 20
CHANGES = 200
WAIT_TIMEOUT_S = 1.0


class Entry:
    """An entry that sends attempts and trusts the load reports."""

    def __init__(self, endpoint, is_lost=False):
        self.endpoint = endpoint
        self.is_lost = is_lost
        self.view = routing.EndpointView("e", "north", frozenset({"m"}), limit=LIMIT)
        self.reports = 0
        self.slot_requests = []

    async def send(self, load):
        """Receive a report, or fail as a lost connection does."""
        if self.is_lost:
            raise base.WireError("connection lost", "Open a new one")
        self.reports += 1
        self.view.record_report(load, time.monotonic())

    def send_attempt(self):
        """Send one attempt that runs until :meth:`end_attempt`."""
        self.view.own_in_flight += 1
        self.endpoint.load_updates.subscribe(self)
        self.slot_requests.append(self.endpoint.slots.request_slot(time.monotonic()))

    def end_attempt(self):
        """End one attempt."""
        self.view.own_in_flight -= 1
        self.endpoint.slots.release(self.slot_requests.pop(), time.monotonic())

    def free_slots(self):
        """Return the number of slots that the entry assumes to be free."""
        return self.view.free_slots(time.monotonic())


class Endpoint:
    """The slots and load reports of an agent."""

    def __init__(self):
        self.gate = admission.EndpointGate(LIMIT, 2, 1.0, 0.0)
        for now in (0.0, 1.0):
            self.gate.record_report("start-1", now, False, 0)
        self.load_updates = _load_updates.LoadUpdates(
            self._load, lambda entry: len(entry.slot_requests), MAX_REPORTS_PER_S
        )
        self.slots = _slots.SlotQueue(self.gate, self.load_updates.record_change)

    def _load(self):
        return wire.Load("warm", self.gate.in_flight_, LIMIT, self.slots.size_)


class LoadUpdatesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.endpoint = Endpoint()
        self.addAsyncCleanup(self.endpoint.load_updates.close)

    async def _wait_until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():  # noqa: ASYNC110 - reports arrive independently
                await asyncio.sleep(0.005)

    async def test_an_entry_without_answers_sees_the_endpoint_fill_and_empty(self):
        watching, lost, busy = (Entry(self.endpoint, is_lost=i == 1) for i in range(3))
        watching.send_attempt()
        lost.send_attempt()
        for _ in range(LIMIT - 2):
            busy.send_attempt()
        await self._wait_until(lambda: watching.free_slots() == 0)
        for _ in range(LIMIT - 2):
            busy.end_attempt()
        await self._wait_until(lambda: watching.free_slots() == LIMIT - 2)

    async def test_a_sole_entry_gets_no_reports_of_its_own_attempts(self):
        entry = Entry(self.endpoint)
        entry.send_attempt()
        await self._wait_until(lambda: entry.reports == 1)
        for _ in range(CHANGES):
            entry.send_attempt()
            await asyncio.sleep(0)
            entry.end_attempt()
        await asyncio.sleep(0.1)
        self.assertEqual(entry.reports, 1)

    async def test_report_rate_is_bounded_for_any_number_of_entries(self):
        entries = [Entry(self.endpoint) for _ in range(ENTRIES)]
        for entry in entries:
            entry.send_attempt()
        began = time.monotonic()
        for number in range(CHANGES):
            entries[number % ENTRIES].end_attempt()
            entries[number % ENTRIES - 1].send_attempt()
            await asyncio.sleep(0.005)
        limit = ENTRIES + MAX_REPORTS_PER_S * (time.monotonic() - began)
        self.assertLessEqual(sum(e.reports for e in entries), limit)
