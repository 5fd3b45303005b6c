"""Attempt ledger: no started or forgotten attempt is reported as never started."""

import unittest

from sequoiagap import outcome
from sequoiagap.outcome import _ledger

DEADLINE = 100.0
KEPT_UNTIL = DEADLINE + _ledger.FORGET_MARGIN_S


class LedgerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = outcome.Ledger("inc-1")

    def test_state_over_time(self):
        def revoked(ledger):
            ledger.revoke("a", "inc-1", DEADLINE, 1.0)

        def accepted(ledger):
            ledger.accept("a", DEADLINE, 1.0)

        def running(ledger):
            accepted(ledger)
            ledger.start("a", 2.0)

        def finished(ledger):
            running(ledger)
            ledger.finish("a", 3.0)

        def never_started(ledger):
            accepted(ledger)
            ledger.finish("a", 3.0)

        late = 10 * KEPT_UNTIL
        table = [
            (lambda ledger: None, "never_started", "unknown"),
            (revoked, "never_started", "unknown"),
            (never_started, "never_started", "unknown"),
            (running, "running", "running"),
            (finished, "finished", "unknown"),
        ]
        for prepare, soon, later in table:
            for now, expected in ((4.0, soon), (late, later)):
                with self.subTest(prepare.__name__, now=now):
                    ledger = outcome.Ledger("inc-1")
                    prepare(ledger)
                    ledger.forget(now)
                    self.assertEqual(ledger.state("a", DEADLINE, now), expected)
                    revoked_state = ledger.revoke("a", "inc-1", DEADLINE, now)
                    self.assertEqual(revoked_state, expected)

    def test_an_id_is_kept_past_its_deadline(self):
        self.ledger.accept("a", DEADLINE, 1.0)
        self.ledger.start("a", 1.0)
        self.ledger.finish("a", 2.0)
        for now in (DEADLINE - 1, DEADLINE + 1, KEPT_UNTIL - 1):
            self.ledger.forget(now)
            self.assertEqual(self.ledger.state("a", DEADLINE, now), "finished")

    def test_rejected_orders(self):
        self.ledger.revoke("revoked", "inc-1", DEADLINE, 1.0)
        self.ledger.accept("twice", DEADLINE, 1.0)
        table = {
            "revoked": (DEADLINE, 2.0),
            "twice": (DEADLINE, 2.0),
            "late": (DEADLINE, DEADLINE),
            "endless": (2.0 + 2 * outcome.MAX_DEADLINE_S, 2.0),
        }
        for attempt_id, (expires_at, now) in table.items():
            with self.subTest(attempt_id):
                self.assertFalse(self.ledger.accept(attempt_id, expires_at, now))

    def test_accepted_order_is_not_started_if_revoked_or_late(self):
        for name, now in (("revoked meanwhile", 2.0), ("past deadline", DEADLINE)):
            with self.subTest(name):
                ledger = outcome.Ledger("inc-1")
                ledger.accept("a", DEADLINE, 1.0)
                if now < DEADLINE:
                    ledger.revoke("a", "inc-1", DEADLINE, now)
                self.assertFalse(ledger.start("a", now))

    def test_state_of_another_incarnation_is_unknown(self):
        revoked_state = self.ledger.revoke("a", "inc-0", DEADLINE, 1.0)
        self.assertEqual(revoked_state, "unknown")

    def test_memory_is_bounded_by_time(self):
        for second in range(2000):
            attempt_id = f"a{second}"
            self.ledger.accept(attempt_id, second + 10.0, float(second))
            self.ledger.start(attempt_id, float(second))
            self.ledger.finish(attempt_id, float(second))
        self.assertLess(len(self.ledger.entry_by_id), 10 + 4 * _ledger.FORGET_MARGIN_S)
