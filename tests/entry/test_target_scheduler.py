"""How many slots an entry counts on while it predicts a wait."""

import unittest

from sequoiagap import routing
from sequoiagap.entry import _target_scheduler

LIMIT = 4
ENDPOINTS = 3


def make_turns(entries):
    """Return turns before endpoints that all entries share."""
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
                turns = make_turns(entries)
                self.assertEqual(turns.slots(turns.candidates()), expected)

    def test_slots_in_use_count_where_they_are_more(self):
        turns = make_turns(entries=3)
        turns.running_ = 9
        self.assertEqual(turns.slots(turns.candidates()), 9)
