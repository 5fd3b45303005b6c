"""No pass begins with two maps, whatever is lost, late, paused or killed.

Each guard of the procedure is taken out once, to show that the model finds it.
"""

import functools
import unittest
from unittest import mock

from simulations import rank_world

from sequoiagap import ranks
from sequoiagap.ranks import _change

SEEDS = 800
SEEDS_WITHOUT_GUARD = 4000
RARE_SEEDS = 10000
TURNS = 700
SETTLE_TURNS = 400


def short_lead():
    """Return a patch that lets a lossy change take place as soon as any other.

    Orders on their way then meet the successor's more often, so that fewer seeds
    show that a guard matters.
    """
    plan = functools.partial(ranks.ChangePlan, lossy_lead_passes=_change.LEAD_PASSES)
    return mock.patch.object(ranks, "ChangePlan", plan)


def find_two_maps(seeds=SEEDS_WITHOUT_GUARD):
    """Return the first seed whose world shows two maps in a pass, or ``None``."""
    for seed in range(seeds):
        try:
            rank_world.World(seed).run(TURNS)
        except rank_world.TwoMapsError:
            return seed
    return None


class ChangeModelTest(unittest.TestCase):
    def test_no_pass_has_two_maps_and_changes_are_made(self):
        results = []
        for seed in range(SEEDS):
            world = rank_world.World(seed)
            world.run(TURNS)
            results += world.results
        for result in ranks.ChangeResult:
            if result != ranks.ChangeResult.NOT_PREPARED:
                self.assertIn(result, results)
        self.assertGreater(results.count(ranks.ChangeResult.DONE), SEEDS // 2)

    def test_no_pass_has_two_maps_with_a_short_lead(self):
        with short_lead():
            self.assertIsNone(find_two_maps(SEEDS))

    def test_no_pass_is_held_further_ahead_than_a_successor_waits(self):
        after_step = 10 + _change.STEP_GUARD - 1
        plan = ranks.ChangePlan(900, (), (), 1, 0, 1, after_step)
        report = ranks.EngineReport(epoch=1, step=10, prepared=900)
        procedure = ranks.MapChange(plan).run()
        procedure.send(None)
        with self.assertRaises(StopIteration) as ended:
            procedure.send({0: ranks.RankReply(ranks.OrderResult.DONE, report)})
        self.assertEqual(ended.exception.value, ranks.ChangeResult.NOT_HELD)

    def test_group_goes_on_once_the_trouble_is_over(self):
        for seed in range(SEEDS // 3):
            world = rank_world.World(seed)
            world.run(TURNS)
            world.carry_out_all_late()
            world.settle(SETTLE_TURNS)
            before = world.passes
            world.settle(SETTLE_TURNS)
            self.assertGreater(world.passes, before, f"seed {seed} stands still")

    def test_a_change_needs_every_rank_armed(self):
        def arm_some(change):
            order = change._order(
                ranks.OrderKind.ARM, version=change.plan.version, step=change.step_
            )
            yield _change.Step(dict.fromkeys(range(change.plan.size), order))
            return True

        with mock.patch.object(_change.MapChange, "_arm", arm_some):
            self.assertIsNotNone(find_two_maps())

    def test_a_change_needs_the_hold(self):
        def claim_held(change):
            return True
            yield

        with mock.patch.object(_change.MapChange, "_hold", claim_held):
            self.assertIsNotNone(find_two_maps())

    def test_giving_up_needs_every_rank_safe(self):
        def claim_safe(plan, step, own_version=0):
            return True
            yield

        with mock.patch.object(_change, "make_safe", claim_safe):
            self.assertIsNotNone(find_two_maps())

    def test_ranks_are_safe_only_by_a_later_version(self):
        with mock.patch.object(_change, "make_safe", _disarm_only):
            self.assertIsNotNone(find_two_maps())

    def test_a_resolver_needs_a_hold_of_its_own(self):
        def claim_held(found_rank, step, plan):
            return True
            yield

        with mock.patch.object(_change, "_hold_elsewhere", claim_held):
            self.assertIsNotNone(find_two_maps())

    def test_a_resolver_needs_a_hold_beside_that_of_its_predecessor(self):
        hold_elsewhere = _change._hold_elsewhere

        def trust_own_rank(found_rank, step, plan):
            if found_rank == plan.own_rank:
                return True
            return (yield from hold_elsewhere(found_rank, step, plan))

        with mock.patch.object(_change, "_hold_elsewhere", trust_own_rank):
            self.assertIsNotNone(find_two_maps(RARE_SEEDS))

    def test_only_what_belongs_to_the_change_is_disarmed(self):
        # A leader that was paused while it made a change safe, with the group idle
        # ever since: another leader has resolved that change and armed a later one.
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

    def test_versions_are_not_shared(self):
        def next_version(reports, own_rank, size, random_state):
            return 1 + max(max(r.map_version, r.prepared) for r in reports.values())

        with mock.patch.object(ranks, "make_version", next_version):
            self.assertIsNotNone(find_two_maps())

    def test_a_fresh_leader_waits_for_passes(self):
        def may_begin_at_once(reports, size, own_rank, first_step):
            return may_begin(reports, size, own_rank, None)

        may_begin = ranks.may_begin
        with short_lead(), mock.patch.object(ranks, "may_begin", may_begin_at_once):
            self.assertIsNotNone(find_two_maps())

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

    def test_only_what_saw_the_group_form_may_begin_at_once(self):
        start = rank_world.Leader.start

        def forget_predecessor(leader):
            start(leader)
            leader.first_step = None

        patch = mock.patch.object(rank_world.Leader, "start", forget_predecessor)
        with short_lead(), patch:
            self.assertIsNotNone(find_two_maps())

    def test_a_leader_does_not_hold_a_pass_twice(self):
        run = _change.MapChange.__init__

        def forget_last(change, plan):
            run(change, _change.dataclasses.replace(plan, after_step=0))

        with mock.patch.object(_change.MapChange, "__init__", forget_last):
            self.assertIsNotNone(find_two_maps())


def _disarm_only(plan, step, own_version=0):
    """Disarm all ranks, and prepare nothing against late orders."""
    unsure = dict.fromkeys(range(plan.size))
    while unsure:
        replies = yield _change.Step(dict(unsure))
        for rank, reply in replies.items():
            report = reply.report
            if report is None:
                continue
            if report.epoch != plan.epoch:
                return False
            if not report.armed:
                del unsure[rank]
            else:
                unsure[rank] = ranks.RankOrder(
                    ranks.OrderKind.DISARM, plan.epoch, version=report.armed
                )
    return True
