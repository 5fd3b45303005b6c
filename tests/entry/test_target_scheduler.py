"""Number of slots with which an entry predicts the wait of a queued request."""

import unittest

from sequoiagap import routing
from sequoiagap.entry import _target_scheduler

LIMIT = 4
ENDPOINTS = 3


def make_scheduler(entries):
    """Return a scheduler for endpoints that a number of entries share."""
    views = [
        routing.EndpointView(f"e{i}", "north", frozenset(["m"]), limit=LIMIT)
        for i in range(ENDPOINTS)
    ]
    return _target_scheduler.TargetScheduler(
        "m", None, lambda target: views, None, lambda: entries
    )


class SlotsTest(unittest.TestCase):
    def test_entry_counts_on_its_part_of_the_slots(self):
        for entries, expected in ((1, 12), (3, 4), (24, 1)):
            with self.subTest(entries=entries):
                scheduler = make_scheduler(entries)
                self.assertEqual(scheduler.slots(scheduler.candidates()), expected)

    def test_slots_in_use_count_where_they_are_more(self):
        scheduler = make_scheduler(entries=3)
        scheduler.running_ = 9
        self.assertEqual(scheduler.slots(scheduler.candidates()), 9)
