"""Passes are timed, and ranks have to be only as even as callers can notice."""

import doctest
import unittest

from sequoiagap.ranks import _pass_time

PAUSE_S = 0.12


class PassTimerTest(unittest.TestCase):
    def setUp(self):
        self.timer = _pass_time.PassTimer(expert_share=0.85)

    def passes(self, pass_s, skew=1.0, readings=20):
        """Record readings that are two passes apart."""
        for reading in range(readings):
            step = 2 * reading
            self.timer.record(step, step * pass_s, True, skew)

    def skew(self):
        return self.timer.tolerable_skew(PAUSE_S, min_skew=1.08)

    def test_short_passes_need_no_even_ranks(self):
        self.passes(0.03)
        self.assertGreater(self.skew(), 1.5)
        self.assertLessEqual(self.skew(), _pass_time.MAX_SKEW)

    def test_long_passes_need_even_ranks(self):
        self.passes(0.06)
        self.assertEqual(self.skew(), 1.08)

    def test_passes_made_long_by_uneven_ranks_count_as_short(self):
        self.passes(0.03 * (0.15 + 0.85 * 3.0), skew=3.0)
        self.assertGreater(self.skew(), 1.5)

    def test_idle_stalled_and_restarted_groups_are_not_measured(self):
        self.timer.record(10, 0.0, True, 1.0)
        self.timer.record(11, 5.0, True, 1.0)
        self.timer.record(11, 6.0, True, 1.0)
        self.timer.record(2, 6.1, True, 1.0)
        self.timer.record(4, 6.2, False, 1.0)
        self.timer.record(6, 6.3, True, 1.0)
        self.assertEqual(self.timer.even_pass_s_, 0.0)
        self.assertEqual(self.timer.passes_ahead(0.08, 3), 3)

    def test_examples(self):
        self.assertEqual(doctest.testmod(_pass_time).failed, 0)
