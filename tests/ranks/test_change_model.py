"""No pass starts with two maps, whatever is lost, delayed, paused or killed.

:mod:`tests.ranks.test_change_guards` disables each guard once.
"""

import unittest

from simulations import rank_world

from sequoiagap import ranks
from sequoiagap.ranks import _change
from tests.ranks import change_search

SEEDS = 800
SETTLE_TURNS = 400


class ChangeModelTest(unittest.TestCase):
    def test_no_pass_has_two_maps_and_changes_are_made(self):
        results, local_releases = [], 0
        for seed in range(SEEDS):
            world = rank_world.World(seed)
            world.run(change_search.TURNS)
            results += world.results
            local_releases += world.local_releases
        for result in ranks.ChangeResult:
            if result != ranks.ChangeResult.NOT_PREPARED:
                self.assertIn(result, results)
        self.assertGreater(results.count(ranks.ChangeResult.DONE), SEEDS // 2)
        self.assertGreater(local_releases, SEEDS // 100)

    def test_no_pass_has_two_maps_with_a_short_lead(self):
        with change_search.short_lead():
            self.assertIsNone(change_search.find_two_maps(SEEDS))

    def test_no_pass_is_held_further_ahead_than_a_successor_waits(self):
        after_step = 10 + _change.STEP_GUARD - 1
        plan = ranks.ChangePlan(900, (), (), 1, 0, 1, after_step)
        report = ranks.EngineReport(epoch=1, step=10, prepared=900)
        procedure = ranks.MapChange(plan).run()
        procedure.send(None)
        with self.assertRaises(StopIteration) as ended:
            procedure.send({0: ranks.RankReply(ranks.OrderResult.DONE, report)})
        self.assertEqual(ended.exception.value, ranks.ChangeResult.NOT_HELD)

    def test_group_resumes_once_the_faults_have_ended(self):
        for seed in range(SEEDS // 3):
            world = rank_world.World(seed)
            world.run(change_search.TURNS)
            world.execute_delayed_orders()
            world.settle(SETTLE_TURNS)
            before = world.passes
            world.settle(SETTLE_TURNS)
            self.assertGreater(world.passes, before, f"seed {seed} makes no progress")

    def test_only_what_belongs_to_the_change_is_disarmed(self):
        # A leader is paused while it makes a change safe, and the group stays idle.
        # Meanwhile another leader resolves that change and arms a later one.
        plan = ranks.ChangePlan(900, (), (), size=1, own_rank=0, epoch=1)
        later = ranks.EngineReport(
            epoch=1, step=10, prepared=700, armed=700, armed_step=15
        )
        for own_version in (0, 600):
            procedure = _change.make_safe(plan, 12, own_version)
            procedure.send(None)
            with self.assertRaises(StopIteration) as ended:
                procedure.send({0: ranks.RankReply(report=later)})
            self.assertTrue(ended.exception.value)

    def test_lost_orders_are_followed_by_a_change_further_ahead(self):
        plan = ranks.ChangePlan(900, (), (), size=2, own_rank=0, epoch=1)
        report = ranks.EngineReport(epoch=1, step=10, prepared=900)
        done = ranks.RankReply(ranks.OrderResult.DONE, report)
        lost = ranks.RankReply(ranks.OrderResult.UNKNOWN, report)
        for second, is_lossy, lead in (
            (done, False, _change.LEAD_PASSES),
            (lost, False, _change.LOSSY_LEAD_PASSES),
            (done, True, _change.LOSSY_LEAD_PASSES),
        ):
            change = ranks.MapChange(
                _change.dataclasses.replace(plan, is_lossy=is_lossy)
            )
            procedure = change.run()
            procedure.send(None)
            procedure.send({0: done, 1: second})
            self.assertEqual(change.step_, 10 + lead)
