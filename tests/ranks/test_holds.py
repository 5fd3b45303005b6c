"""An abandoned hold is found at once or after a timeout."""

import unittest

from sequoiagap import ranks
from sequoiagap.ranks import _holds

OWN_RANK = 0


def report(held_step=0):
    """Return the report of a rank whose next pass may be held."""
    return ranks.EngineReport(held_step=held_step)


class HoldTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = _holds.HoldTracker(OWN_RANK)

    def test_hold_of_another_rank_is_abandoned_only_after_a_timeout(self):
        self.tracker.record({1: report(7)}, 0.0)
        self.assertIsNone(self.tracker.find_orphan(_holds.ORPHAN_TIMEOUT_S / 2, False))
        self.assertEqual(
            self.tracker.find_orphan(_holds.ORPHAN_TIMEOUT_S, False), (1, 7)
        )

    def test_hold_at_the_own_rank_is_found_at_once(self):
        self.tracker.record({OWN_RANK: report(7)}, 0.0)
        self.assertEqual(self.tracker.find_orphan(0.0, False), (OWN_RANK, 7))

    def test_hold_of_a_lost_predecessor_is_found_at_once(self):
        self.tracker.record({1: report(7)}, 0.0)
        self.assertEqual(self.tracker.find_orphan(0.0, True), (1, 7))

    def test_another_pass_held_at_the_rank_is_another_hold(self):
        self.tracker.record({1: report(7)}, 0.0)
        self.tracker.record({1: report(9)}, _holds.ORPHAN_TIMEOUT_S)
        self.assertIsNone(self.tracker.find_orphan(_holds.ORPHAN_TIMEOUT_S, False))

    def test_rank_without_a_report_keeps_its_hold(self):
        self.tracker.record({1: report(7)}, 0.0)
        self.tracker.record({}, 1.0)
        self.assertTrue(self.tracker.has_holds_)
        self.tracker.record({1: report()}, 1.2)
        self.assertFalse(self.tracker.has_holds_)
