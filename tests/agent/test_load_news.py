"""Entries hear of each other's attempts at an endpoint before it is full."""

import asyncio
import time
import unittest

from sequoiagap import admission, base, routing, wire
from sequoiagap.agent import _load_news, _slots

LIMIT = 8
MAX_REPORTS_PER_S = 100
ENTRIES = 20
CHANGES = 200
SOON_S = 1.0


class Entry:
    """An entry that sends attempts and believes what it is told."""

    def __init__(self, endpoint, loses=False):
        self.endpoint = endpoint
        self.loses = loses
        self.view = routing.EndpointView("e", "north", frozenset({"m"}), limit=LIMIT)
        self.reports = 0
        self.places = []

    async def send(self, load):
        """Take a report, or lose it with the connection."""
        if self.loses:
            raise base.WireError("connection lost", "Open a new one")
        self.reports += 1
        self.view.record_report(load, time.monotonic())

    def enter(self):
        """Send one attempt that runs until :meth:`leave`."""
        self.view.own_in_flight += 1
        self.endpoint.news.follow(self)
        self.places.append(self.endpoint.slots.enter(time.monotonic()))

    def leave(self):
        """End one attempt."""
        self.view.own_in_flight -= 1
        self.endpoint.slots.leave(self.places.pop(), time.monotonic())

    def free_slots(self):
        """Return how many slots it believes to be free."""
        return self.view.free_slots(time.monotonic())


class Endpoint:
    """The agent's part: slots and reports."""

    def __init__(self):
        self.gate = admission.EndpointGate(LIMIT, 2, 1.0, 0.0)
        for now in (0.0, 1.0):
            self.gate.record_report("start-1", now, False, 0)
        self.news = _load_news.LoadNews(
            self._load, lambda entry: len(entry.places), MAX_REPORTS_PER_S
        )
        self.slots = _slots.SlotQueue(self.gate, self.news.note_change)

    def _load(self):
        return wire.Load("warm", self.gate.in_flight_, LIMIT, self.slots.size_)


class LoadNewsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.endpoint = Endpoint()
        self.addAsyncCleanup(self.endpoint.news.close)

    async def _settle(self, condition):
        async with asyncio.timeout(SOON_S):
            while not condition():  # noqa: ASYNC110 - reports come on their own
                await asyncio.sleep(0.005)

    async def test_an_entry_without_answers_sees_the_endpoint_fill_and_empty(self):
        watching, lost, busy = (Entry(self.endpoint, loses=i == 1) for i in range(3))
        watching.enter()
        lost.enter()
        for _ in range(LIMIT - 2):
            busy.enter()
        await self._settle(lambda: watching.free_slots() == 0)
        for _ in range(LIMIT - 2):
            busy.leave()
        await self._settle(lambda: watching.free_slots() == LIMIT - 2)

    async def test_a_sole_entry_is_told_nothing_that_it_knows(self):
        entry = Entry(self.endpoint)
        entry.enter()
        await self._settle(lambda: entry.reports == 1)
        for _ in range(CHANGES):
            entry.enter()
            await asyncio.sleep(0)
            entry.leave()
        await asyncio.sleep(0.1)
        self.assertEqual(entry.reports, 1)

    async def test_reports_of_an_agent_are_bounded_however_many_entries_use_it(self):
        entries = [Entry(self.endpoint) for _ in range(ENTRIES)]
        for entry in entries:
            entry.enter()
        began = time.monotonic()
        for number in range(CHANGES):
            entries[number % ENTRIES].leave()
            entries[number % ENTRIES - 1].enter()
            await asyncio.sleep(0.005)
        bound = ENTRIES + MAX_REPORTS_PER_S * (time.monotonic() - began)
        self.assertLessEqual(sum(e.reports for e in entries), bound)
