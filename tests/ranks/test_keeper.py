"""Requests that the keeper of a held rank agrees to."""

import unittest

from sequoiagap import ranks

CHANGE = ranks.HeldChange(epoch=2, version=30, step=50)
RIVAL = ranks.HeldChange(epoch=2, version=40, step=50)
LATER = ranks.HeldChange(epoch=2, version=40, step=51)


class KeeperTest(unittest.TestCase):
    def setUp(self):
        self.keeper = ranks.Keeper(epoch=2, first_step=50)

    def test_arming_needs_a_hold_that_was_agreed(self):
        self.assertFalse(self.keeper.allow_arming(CHANGE))
        self.assertTrue(self.keeper.agree_to_hold(CHANGE))
        self.assertTrue(self.keeper.allow_arming(CHANGE))

    def test_arming_is_allowed_again_to_a_leader_that_missed_the_answer(self):
        self.keeper.agree_to_hold(CHANGE)
        self.keeper.allow_arming(CHANGE)
        self.assertTrue(self.keeper.allow_arming(CHANGE))

    def test_revoked_before_arming_a_hold_may_be_released_and_never_armed(self):
        self.keeper.agree_to_hold(CHANGE)
        self.assertEqual(self.keeper.revoke_agreement(), CHANGE)
        self.assertFalse(self.keeper.allow_arming(CHANGE))

    def test_agreement_is_not_revoked_once_arming_is_allowed(self):
        self.keeper.agree_to_hold(CHANGE)
        self.keeper.allow_arming(CHANGE)
        self.assertIsNone(self.keeper.revoke_agreement())

    def test_a_pass_is_held_for_one_change_only(self):
        self.keeper.agree_to_hold(CHANGE)
        self.assertFalse(self.keeper.agree_to_hold(RIVAL))
        self.assertTrue(self.keeper.agree_to_hold(LATER))
        self.assertFalse(self.keeper.allow_arming(CHANGE))

    def test_a_restarted_agent_agrees_to_no_pass_of_its_predecessor(self):
        fresh = ranks.Keeper(epoch=2, first_step=51)
        self.assertFalse(fresh.agree_to_hold(CHANGE))
        self.assertTrue(fresh.agree_to_hold(LATER))

    def test_a_re_formed_group_starts_without_agreed_passes(self):
        fresh = ranks.Keeper(epoch=2, first_step=500)
        self.assertTrue(fresh.agree_to_hold(ranks.HeldChange(3, 50, 4)))
