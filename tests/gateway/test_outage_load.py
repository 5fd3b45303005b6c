"""Tens of requests a second while a group lacks a rank: what callers get.

Late answers count half, as they do for the users; the sums are those of all callers of
a day with one outage.
"""

import collections
import unittest

from simulations import outage_load

OUTAGES_S = (4.0, 5.0, 5.8, 6.5, 8.0)
SEEDS = (1, 2)
FORMER = "refuse at once, back in 1.8 to 3 s"
SOON = "refuse at once, back soon"
WAIT = "everybody waits"
Result = outage_load.Result


def play(policy, outage_s):
    """Return the callers by result, and how many waited in vain."""
    worlds = [outage_load.OutageWorld(seed, policy, outage_s).run() for seed in SEEDS]
    counts = sum((world.count_by_result_ for world in worlds), collections.Counter())
    return counts, sum(world.waited_in_vain_ for world in worlds)


def worth(counts):
    """Return what callers got, 1 for each answer in time."""
    return counts[Result.IN_TIME] + 0.5 * counts[Result.LATE]


class OutageLoadTest(unittest.TestCase):
    def test_more_callers_are_answered_than_by_refusing_alone(self):
        for outage_s in OUTAGES_S:
            got, _ = play("gateway", outage_s)
            for other in (FORMER, SOON):
                with self.subTest(outage_s, other=other):
                    than, _ = play(other, outage_s)
                    self.assertEqual(sum(got.values()), sum(than.values()))
                    self.assertGreater(worth(got), worth(than))
                    again = Result.REFUSED_AGAIN
                    self.assertLess(got[again], than[again])

    def test_fewer_wait_in_vain_than_if_everybody_did(self):
        for outage_s in OUTAGES_S:
            with self.subTest(outage_s):
                _, got = play("gateway", outage_s)
                _, than = play(WAIT, outage_s)
                self.assertLess(got, than / 2)

    def test_nobody_leaves_while_waiting(self):
        for outage_s in OUTAGES_S:
            got, _ = play("gateway", outage_s)
            self.assertNotIn(Result.LEFT, got)
