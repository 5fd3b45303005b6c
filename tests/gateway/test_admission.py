"""Admission decisions, retry delays and the choice of an endpoint."""

import random
import unittest

from sequoiagap import gateway, routes
from sequoiagap.gateway import _admission, _loads

NOW = 100.0


def load(running=0, waiting=0, slots=6, group=None, **fields):
    """Return the load of an endpoint after a report."""
    endpoint = routes.Endpoint(
        fields.pop("name", "e"), "s", "10.0.0.1", 80, "a", "ready", slots
    )
    made = _loads.EndpointLoad(endpoint, group=group, **fields)
    made.record_sample(gateway.LoadSample(running, waiting, slots), NOW - 0.02)
    return made


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.admission = _admission.ServiceAdmission(random.Random(1))
        for _ in range(50):
            self.admission.record_answer(1.2)

    def test_admits_while_a_slot_is_free(self):
        loads = [load(6, 9), load(5, 0)]
        self.assertTrue(self.admission.decide(loads, 0.4, NOW).is_admitted)

    def test_admits_a_short_wait_and_refuses_a_long_one(self):
        self.assertTrue(self.admission.decide([load(6, 0)], 0.4, NOW).is_admitted)
        decision = self.admission.decide([load(6, 3), load(6, 2)], 0.4, NOW)
        self.assertFalse(decision.is_admitted)
        self.assertGreater(decision.retry_after_s, 0)

    def test_retry_delays_are_spread(self):
        times = {
            round(self.admission.decide([load(6, 5)], 0.4, NOW).retry_after_s, 2)
            for _ in range(20)
        }
        self.assertGreater(len(times), 5)

    def test_group_that_is_down_gets_no_requests(self):
        group = _loads.GroupState()
        group.update(3, False, NOW)
        silent = load(0, 0, group=group)
        silent.sampled_at = NOW - 9  # its agent is cut off and sends no report
        decision = self.admission.decide([load(0, 0, group=group), silent], 0.4, NOW)
        self.assertFalse(decision.is_admitted)
        self.assertGreater(decision.retry_after_s, 1.5)

    def test_group_is_used_again_once_reports_are_old(self):
        group = _loads.GroupState()
        group.update(3, False, NOW - 5)
        loads = [load(0, 0, group=group)]
        self.assertTrue(self.admission.decide(loads, 0.4, NOW).is_admitted)


class GroupStateTest(unittest.TestCase):
    def test_a_cut_off_rank_does_not_open_the_group(self):
        group = _loads.GroupState()
        group.update(2, True, NOW)
        group.update(2, False, NOW)
        group.update(2, True, NOW)
        self.assertTrue(group.is_closed(NOW))
        group.update(3, True, NOW)
        self.assertFalse(group.is_closed(NOW))
        group.update(2, False, NOW)
        self.assertFalse(group.is_closed(NOW))


class ChooserTest(unittest.TestCase):
    def setUp(self):
        self.chooser = _loads.EndpointChooser(random.Random(1))

    def test_least_load_for_its_slots(self):
        loads = [load(3, name="a"), load(2, name="b"), load(3, slots=12, name="c")]
        chosen = self.chooser.choose(loads, NOW)
        self.assertEqual(chosen.endpoint.endpoint_id, "c")

    def test_slow_endpoint_is_chosen_once_the_others_are_busier(self):
        slow = load(0, name="a")
        slow.slowness = 6.0
        self.assertIsNot(self.chooser.choose([slow, load(3, name="b")], NOW), slow)
        self.assertIs(self.chooser.choose([slow, load(6, 3, name="b")], NOW), slow)

    def test_own_requests_count_before_any_report_shows_them(self):
        busy = load(0, name="a")
        busy.sent_at_by_attempt = {"x": NOW, "y": NOW}
        self.assertEqual(busy.expected(NOW), 2)
        self.assertIsNot(self.chooser.choose([busy, load(1, name="b")], NOW), busy)

    def test_old_reports_are_ignored(self):
        known = load(6, 6)
        self.assertEqual(known.expected(NOW), 12)
        self.assertEqual(known.expected(NOW + _loads.MAX_REPORT_AGE_S + 1), 0)

    def test_failed_endpoint_is_chosen_last_for_a_while(self):
        failed, other = load(0, name="a"), load(5, name="b")
        failed.record_failure(NOW)
        self.assertIs(self.chooser.choose([failed, other], NOW), other)
        later = NOW + _loads.SUSPECT_S + 0.1
        self.assertIs(self.chooser.choose([failed, other], later), failed)

    def test_gateways_with_equal_reports_spread_their_requests(self):
        loads = [load(2, name=str(i)) for i in range(12)]
        chosen = {
            _loads.EndpointChooser(random.Random(seed)).choose(loads, NOW).endpoint
            for seed in range(40)
        }
        self.assertGreater(len(chosen), 6)

    def test_cold_endpoint_gets_its_rate_and_no_more(self):
        cold = load()
        granted = 0
        for tick in range(100):
            now = NOW + tick / 100
            if _loads.may_send_to_cold(cold, 9.0, now):
                cold.cold_sends.append(now)
                granted += 1
        self.assertEqual(granted, 9)
