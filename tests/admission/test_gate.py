"""Endpoint gate: a cold endpoint never runs more attempts than its cold limit."""

import random
import unittest

from sequoiagap import admission
from tests import support

WARM = 16
COLD = 2
WARM_UP_S = 4.0
SETTLE_S = 0.5
BASELINE_S = 0.05


def make_gate(cold=False, in_flight=0):
    """Return a gate that has accepted ``start-1`` at time 1."""
    gate = admission.EndpointGate(WARM, COLD, WARM_UP_S, SETTLE_S)
    gate.record_report("start-1", 0.0, cold, in_flight)
    gate.record_report("start-1", 1.0, cold, in_flight)
    return gate


def acquire_all(gate, now):
    """Acquire all free slots and return their number."""
    acquired = 0
    while gate.try_acquire_slot(now):
        acquired += 1
    return acquired


def serve(gate, now, first_byte_s=BASELINE_S, count=1):
    """Run successful attempts one after the other."""
    for _ in range(count):
        if gate.try_acquire_slot(now):
            gate.record_answer(first_byte_s, now)
            gate.release_slot()


class GateTest(unittest.TestCase):
    def setUp(self):
        support.silence_logs()

    def test_new_gate_is_closed_until_the_endpoint_has_reported(self):
        gate = admission.EndpointGate(WARM, COLD, WARM_UP_S, SETTLE_S)
        self.assertEqual(acquire_all(gate, 0.0), 0)
        gate.record_report("start-1", 0.0, False, in_flight=9)
        self.assertEqual(acquire_all(gate, 0.1), 0)
        gate.record_report("start-1", SETTLE_S, False, in_flight=7)
        self.assertEqual(acquire_all(gate, SETTLE_S), WARM - 9)

    def test_inherited_attempts_are_counted_until_they_end(self):
        gate = make_gate(in_flight=WARM)
        self.assertEqual(acquire_all(gate, 1.0), 0)
        for now, reported in ((1.3, 10), (1.6, 4), (1.9, 12), (2.2, 0)):
            gate.record_report("start-1", now, False, reported)
        self.assertEqual(gate.inherited_, 0)
        self.assertEqual(acquire_all(gate, 2.3), WARM)

    def test_every_sign_of_a_cold_endpoint_lowers_the_limit_at_once(self):
        signs = {
            "new start id in a report": lambda g: g.record_report(
                "start-2", 50.0, True
            ),
            "report without cold flag": lambda g: g.record_report(
                "start-2", 50.0, False
            ),
            "start id on an answer": lambda g: g.check_start_id("start-2", 50.0),
            "cold again, same start": lambda g: g.record_report("start-1", 50.0, True),
            "connection ended": lambda g: g.revoke_trust(50.0),
            "errors in a row": lambda g: [g.record_error(50.0) for _ in range(2)],
            "slow first bytes": lambda g: [
                g.record_answer(BASELINE_S * 4, 50.0) for _ in range(5)
            ],
        }
        for name, give in signs.items():
            with self.subTest(name):
                gate = make_gate()
                serve(gate, 2.0, count=20)
                self.assertEqual(gate.limit(49.0), WARM)
                give(gate)
                self.assertLessEqual(gate.limit(50.0), COLD)

    def test_trust_returns_only_with_a_report_requested_afterwards(self):
        gate = make_gate()
        gate.revoke_trust(10.0)
        gate.record_report("start-1", 10.1, False, requested_at=9.9)
        self.assertEqual(gate.limit(10.1), COLD)
        gate.record_report("start-1", 10.2, False, requested_at=10.1)
        self.assertEqual(gate.limit(10.2), WARM)

    def test_ramp_needs_both_time_and_successful_answers(self):
        gate = make_gate(cold=True)
        self.assertEqual(gate.limit(100.0), COLD)
        gate.record_report("start-1", 100.0, False)
        self.assertEqual(gate.limit(100.0 + WARM_UP_S), COLD)
        serve(gate, 100.0 + WARM_UP_S / 2, count=WARM)
        self.assertEqual(gate.limit(100.0 + WARM_UP_S / 2), COLD + (WARM - COLD) // 2)
        self.assertEqual(gate.limit(100.0 + WARM_UP_S), WARM)

    def test_flapping_endpoint_ramps_more_slowly_each_time(self):
        gate = make_gate()
        times = []
        now = 10.0
        for number in range(2, 6):
            gate.record_report(f"start-{number}", now, False)
            gate.record_report(f"start-{number}", now + 0.1, False)
            began = now
            while gate.limit(now) < WARM:
                now += 0.1
                serve(gate, now)
            times.append(now - began)
        self.assertEqual(times, sorted(times))
        self.assertGreater(times[-1], 2 * times[0])

    def test_a_role_that_cannot_serve_closes_the_gate(self):
        gate = make_gate()
        for role, expected in (("prefill", 0), ("changing", 0), ("both", WARM)):
            with self.subTest(role):
                gate.set_role(role)
                self.assertEqual(gate.limit(10.0), expected)
        gate.revoke_trust(20.0)
        self.assertEqual(gate.limit(20.0), COLD)
        gate.set_role("prefill")
        self.assertEqual(gate.limit(20.0), 0)

    def test_return_from_draining_begins_at_the_cold_limit(self):
        gate = make_gate()
        gate.set_drained(True, 5.0)
        self.assertEqual(gate.limit(5.0), 0)
        gate.set_drained(False, 9.0)
        self.assertEqual(gate.limit(9.0), COLD)
        fresh = admission.EndpointGate(WARM, COLD, WARM_UP_S, SETTLE_S)
        fresh.set_drained(True, 0.0)
        fresh.set_drained(False, 1.0)
        self.assertEqual(fresh.limit(1.0), 0)


class HealthTest(unittest.TestCase):
    def test_ordinary_variation_is_not_suspected(self):
        """One answer in five takes ten times as long and one in 50 fails."""
        random_state = random.Random(5)
        health = admission.EndpointHealth()
        suspicions = 0
        for _ in range(2000):
            if random_state.random() < 0.02:
                suspicions += health.record_error()
            long_prompt = random_state.random() < 0.2
            seconds = random_state.lognormvariate(-3.0, 0.3)
            suspicions += health.record_answer(seconds * (10 if long_prompt else 1))
        self.assertLessEqual(suspicions, 2)

    def test_lasting_change_resets_the_baseline(self):
        health = admission.EndpointHealth()
        for _ in range(20):
            health.record_answer(0.05)
        self.assertTrue([health.record_answer(0.5) for _ in range(5)][-1])
        health.reset_after_suspicion(0.0)
        health.advance(59.0)
        self.assertTrue(health.is_slow(0.5))
        health.advance(61.0)
        self.assertFalse(health.is_slow(0.5))
