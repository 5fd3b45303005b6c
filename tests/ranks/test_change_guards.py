"""Each guard of a map change is needed: without it the model finds two maps."""

import unittest
from unittest import mock

from simulations import rank_world

from sequoiagap import ranks
from sequoiagap.ranks import _change
from tests.ranks import change_search


class ChangeGuardsTest(unittest.TestCase):
    def test_a_change_needs_every_rank_armed(self):
        def arm_some(change):
            order = change._order(
                ranks.OrderKind.ARM, version=change.plan.version, step=change.step_
            )
            yield _change.Step(dict.fromkeys(range(change.plan.size), order))
            return True

        with mock.patch.object(_change.MapChange, "_arm", arm_some):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_a_change_needs_the_hold(self):
        def claim_held(change):
            return True
            yield

        with mock.patch.object(_change.MapChange, "_hold", claim_held):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_giving_up_needs_every_rank_safe(self):
        def claim_safe(plan, step, own_version=0):
            return True
            yield

        with mock.patch.object(_change, "make_safe", claim_safe):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_ranks_are_safe_only_by_a_later_version(self):
        with mock.patch.object(_change, "make_safe", _disarm_only):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_a_resolver_needs_a_hold_of_its_own(self):
        def claim_held(found_rank, step, plan):
            return True
            yield

        with mock.patch.object(_change, "_hold_elsewhere", claim_held):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_a_resolver_needs_a_hold_beside_that_of_its_predecessor(self):
        hold_elsewhere = _change._hold_elsewhere

        def trust_own_rank(found_rank, step, plan):
            if found_rank == plan.own_rank:
                return True
            return (yield from hold_elsewhere(found_rank, step, plan))

        with mock.patch.object(_change, "_hold_elsewhere", trust_own_rank):
            self.assertIsNotNone(change_search.find_two_maps(change_search.RARE_SEEDS))

    def test_versions_are_not_shared(self):
        def next_version(reports, own_rank, size, random_state):
            return 1 + max(max(r.map_version, r.prepared) for r in reports.values())

        with mock.patch.object(ranks, "make_version", next_version):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_a_fresh_leader_waits_for_passes(self):
        def may_begin_at_once(reports, size, own_rank, first_step):
            return may_begin(reports, size, own_rank, None)

        may_begin = ranks.may_begin
        with (
            change_search.short_lead(),
            change_search.forgetful_keepers(),
            mock.patch.object(ranks, "may_begin", may_begin_at_once),
        ):
            self.assertIsNotNone(change_search.find_two_maps())

    def test_only_what_saw_the_group_form_may_begin_at_once(self):
        start = rank_world.Leader.start

        def forget_predecessor(leader):
            start(leader)
            leader.first_step = None

        patch = mock.patch.object(rank_world.Leader, "start", forget_predecessor)
        with change_search.short_lead(), change_search.forgetful_keepers(), patch:
            self.assertIsNotNone(change_search.find_two_maps())

    def test_a_leader_does_not_hold_a_pass_twice(self):
        run = _change.MapChange.__init__

        def forget_last(change, plan):
            run(change, _change.dataclasses.replace(plan, after_step=0))

        patch = mock.patch.object(_change.MapChange, "__init__", forget_last)
        with change_search.forgetful_keepers(), patch:
            self.assertIsNotNone(change_search.find_two_maps())

    def test_arming_needs_the_keepers_agreement(self):
        ask = _change.MapChange._query_keeper

        def arm_unasked(change, wants_arming):
            return True if wants_arming else (yield from ask(change, wants_arming))

        with mock.patch.object(_change.MapChange, "_query_keeper", arm_unasked):
            self.assertIsNotNone(change_search.find_two_maps(change_search.RARE_SEEDS))

    def test_a_keeper_that_allowed_arming_may_not_release_alone(self):
        def revoke_agreement(keeper):
            return keeper.agreed_ or keeper._allowed

        with mock.patch.object(ranks.Keeper, "revoke_agreement", revoke_agreement):
            self.assertIsNotNone(change_search.find_two_maps())


def _disarm_only(plan, step, own_version=0):
    """Disarm all ranks without preparing a later version against delayed orders."""
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
