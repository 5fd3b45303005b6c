"""Choice of the next leader from the messages an agent received and its own delays."""

import unittest

from sequoiagap.ranks import _succession

CHECK_S = 0.02
LONGEST_HOLD_S = 0.5


def first_lead(succession, rank, until, began=0.0):
    """Return when the agent of a rank would lead if it checks on time."""
    now = began
    while now < until:
        if succession.should_lead(rank, now, CHECK_S):
            return now
        now += CHECK_S
    return None


class SuccessionTest(unittest.TestCase):
    def test_first_deputy_leads_well_before_a_hold_is_felt(self):
        succession = _succession.Succession(0.0)
        succession.record_leader(0, 0.0, deputy=0)
        self.assertLess(first_lead(succession, 1, 2.0), LONGEST_HOLD_S)

    def test_deputies_follow_each_other(self):
        times = []
        for deputy in range(_succession.MAX_DEPUTIES):
            succession = _succession.Succession(0.0)
            succession.record_leader(0, 0.0, deputy=deputy)
            times.append(first_lead(succession, deputy + 1, 2.0))
        self.assertEqual(times, sorted(set(times)))
        self.assertLess(times[-1], 2 * LONGEST_HOLD_S)

    def test_without_a_change_the_longer_timeout_applies(self):
        succession = _succession.Succession(0.0)
        succession.record_leader(0, 0.0, deputy=0)
        succession.record_leader(0, 0.1, deputy=_succession.NO_DEPUTY)
        self.assertGreater(first_lead(succession, 1, 5.0), _succession.LEADER_TIMEOUT_S)

    def test_other_messages_of_the_leader_do_not_end_the_role_of_deputy(self):
        succession = _succession.Succession(0.0)
        succession.record_leader(0, 0.0, deputy=1)
        succession.record_leader(0, 0.1)
        self.assertTrue(succession.is_deputy)

    def test_a_new_leader_ends_the_role_of_deputy(self):
        succession = _succession.Succession(0.0)
        succession.record_leader(0, 0.0, deputy=1)
        succession.record_leader(1, 0.3)
        self.assertFalse(succession.is_deputy)

    def test_own_delay_does_not_count_as_silence(self):
        succession = _succession.Succession(0.0)
        succession.record_leader(0, 0.0, deputy=0)
        self.assertFalse(succession.should_lead(1, CHECK_S, CHECK_S))
        self.assertFalse(succession.should_lead(1, 4.0, CHECK_S))
        led_at = first_lead(succession, 1, 6.0, began=4.0)
        self.assertGreater(led_at, 4.0 + _succession.DEPUTY_TIMEOUT_S / 2)

    def test_rank_0_always_leads(self):
        self.assertTrue(_succession.Succession(0.0).should_lead(0, 0.0, CHECK_S))

    def test_agents_of_a_large_group_do_not_take_the_lead_together(self):
        times = [first_lead(_succession.Succession(0.0), r, 30.0) for r in range(1, 70)]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreater(min(gaps), _succession.LEAD_STAGGER_S / 2)
