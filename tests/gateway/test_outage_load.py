"""Outcome of tens of requests per second while a group lacks a rank.

Guards against a policy that answers fewer callers than plain rejection does. Late
answers count half, as they do for users; counts cover all callers of a day with one
outage.
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
    """Return the callers by result and the number of failed waits."""
    worlds = [outage_load.OutageWorld(seed, policy, outage_s).run() for seed in SEEDS]
    counts = sum((world.count_by_result_ for world in worlds), collections.Counter())
    return counts, sum(world.rejected_after_wait_ for world in worlds)


def score(counts):
    """Return the sum over callers, 1 for each answer in time."""
    return counts[Result.IN_TIME] + 0.5 * counts[Result.LATE]


class OutageLoadTest(unittest.TestCase):
    def test_more_callers_are_answered_than_by_refusals_alone(self):
        for outage_s in OUTAGES_S:
            own_result, _ = play("gateway", outage_s)
            for other in (FORMER, SOON):
                with self.subTest(outage_s, other=other):
                    other_result, _ = play(other, outage_s)
                    self.assertEqual(
                        sum(own_result.values()), sum(other_result.values())
                    )
                    self.assertGreater(score(own_result), score(other_result))
                    again = Result.REFUSED_AGAIN
                    self.assertLess(own_result[again], other_result[again])

    def test_fewer_waits_fail_than_if_every_request_waits(self):
        for outage_s in OUTAGES_S:
            with self.subTest(outage_s):
                _, own_result = play("gateway", outage_s)
                _, other_result = play(WAIT, outage_s)
                self.assertLess(own_result, other_result / 2)

    def test_no_caller_disconnects_while_waiting(self):
        for outage_s in OUTAGES_S:
            own_result, _ = play("gateway", outage_s)
            self.assertNotIn(Result.LEFT, own_result)
