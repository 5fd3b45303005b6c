"""Estimates from rank reports that are missing or taken at different steps."""

import unittest

from sequoiagap import experts
from sequoiagap.agent import _group_loads

SHAPE = experts.MapShape(layers=1, ranks=2, experts=3, slots=2)
PLACEMENT = experts.ExpertMap(SHAPE, ((0, 1, 2, 0),))


def report(rank, step, per_step, version=1, start_id="start-1"):
    """Return a report of a rank whose steps all had the same load."""
    counts = [step * tokens for tokens in per_step]
    busy_s = float(step * sum(per_step))
    return experts.RankReport("g", rank, start_id, step, version, busy_s, counts)


class GroupLoadsTest(unittest.TestCase):
    def setUp(self):
        self.loads = _group_loads.GroupLoads(SHAPE)
        for rank, step, per_step in ((0, 10, [2, 1]), (1, 13, [3, 2])):
            self.loads.record_report(report(rank, step, per_step))

    def test_ranks_may_report_at_different_steps(self):
        self.loads.record_report(report(0, 30, [2, 1]))
        self.loads.record_report(report(1, 73, [3, 2]))
        self.assertTrue(self.loads.close_interval(1, PLACEMENT))
        self.assertEqual(self.loads.last_shares_, [[0.5, 0.125, 0.375]])

    def test_incomplete_intervals_keep_the_estimates(self):
        before = self.loads.plan_input(PLACEMENT).predicted
        cases = {
            "rank reported once": [report(0, 30, [2, 1])],
            "other map": [report(0, 30, [2, 1]), report(1, 30, [3, 2], version=2)],
            "engine restarted": [
                report(0, 30, [2, 1]),
                report(1, 30, [3, 2], start_id="start-2"),
            ],
            "no step since": [report(0, 30, [2, 1]), report(1, 13, [3, 2])],
        }
        for name, reports in cases.items():
            with self.subTest(name):
                self.setUp()
                for item in reports:
                    self.loads.record_report(item)
                self.assertFalse(self.loads.close_interval(1, PLACEMENT))
                after = self.loads.plan_input(PLACEMENT).predicted
                self.assertEqual(after, before)
