"""Bounds of the decision journal, and access of accounts to their own requests."""

import unittest

from sequoiagap import outcome


class JournalTest(unittest.TestCase):
    def test_bounds(self):
        journal = outcome.Journal(capacity=50, max_decisions=4, max_total=60)
        for number in range(500):
            journal.open(f"req-{number}", "guild")
            for _ in range(9):
                journal.record(f"req-{number}", "attempt_sent", 1)
        self.assertLessEqual(journal.total_, 60)
        self.assertEqual(len(journal.explain("req-499")["decisions"]), 4)
        self.assertIsNone(journal.explain("req-400"))
        many = outcome.Journal(capacity=5)
        for number in range(50):
            many.open(f"req-{number}", "guild")
        self.assertIsNone(many.explain("req-44"))
        self.assertIsNotNone(many.explain("req-45"))

    def test_accounts_read_only_their_own_requests(self):
        journal = outcome.Journal()
        journal.open("req-1", "guild")
        self.assertIsNotNone(journal.explain("req-1", "guild"))
        self.assertIsNone(journal.explain("req-1", "carvers"))
        self.assertIsNotNone(journal.explain("req-1"))
