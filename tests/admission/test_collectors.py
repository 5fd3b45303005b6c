"""Aggregation of usage by collectors in a fleet that is not fully connected."""

import random
import unittest

from simulations import usage_fleet

from sequoiagap import admission
from tests import support

ENTRIES = 36
ACCOUNTS = 50
MAX_COUNT = 8
SETTLE_S = 4.0
MAX_RELATIVE_ERROR = 0.1
MAX_IDLE_BYTES_S = 500


def fill(fleet, seed=2):
    """Give each entry random request counts for half the accounts."""
    random_state = random.Random(seed)
    for entry in fleet.by_id.values():
        for number in random_state.sample(range(ACCOUNTS), ACCOUNTS // 2):
            running = random_state.randint(1, MAX_COUNT)
            waiting = random_state.randint(0, MAX_COUNT)
            entry.count_by_account[f"account-{number}"] = admission.RequestCount(
                running, running + waiting
            )


class CollectorsTest(unittest.TestCase):
    def setUp(self):
        support.silence_logs()

    def make_fleet(self, loss=0.0):
        fleet = usage_fleet.UsageFleet(ENTRIES, seed=7, loss=loss)
        fill(fleet)
        return fleet

    def assert_counts_known(self, fleet, entries=None):
        """Assert that entries know the counts of their accounts at all others."""
        for entry in entries or fleet.by_id.values():
            if entry.node_id not in fleet.dead:
                self.assertLess(
                    max(fleet.errors(entry)), MAX_RELATIVE_ERROR, entry.node_id
                )
                self.assertEqual(
                    entry.collected.counted_entries_, ENTRIES - len(fleet.dead) - 1
                )

    def test_every_entry_learns_the_counts_at_all_others(self):
        for loss in (0.0, 0.02):
            with self.subTest(loss=loss):
                fleet = self.make_fleet(loss)
                fleet.run(SETTLE_S)
                fleet.loss = 0.0
                fleet.run(SETTLE_S)
                self.assert_counts_known(fleet)
                fill(fleet, seed=3)
                fleet.run(SETTLE_S)
                self.assert_counts_known(fleet)

    def test_counts_recover_within_seconds_after_collectors_are_lost(self):
        everywhere = ("north", "middle", "south")
        cases = {
            "first": (("north",), 0),
            "second": (("north",), 1),
            "first of each domain": (everywhere, 0),
        }
        for name, (domains, index) in cases.items():
            with self.subTest(name):
                fleet = self.make_fleet()
                fleet.run(2 * SETTLE_S)
                collectors = fleet.collectors_by_domain()
                for domain in domains:
                    fleet.kill(collectors[domain][index])
                fleet.run(support.FEW_SECONDS_S)
                for _ in range(20):
                    fleet.run(usage_fleet.TICK_S)
                    self.assert_counts_known(fleet)

    def test_a_partitioned_collector_does_not_affect_other_entries(self):
        fleet = self.make_fleet()
        fleet.run(2 * SETTLE_S)
        first = fleet.collectors_by_domain()["north"][0]
        kept = dict(fleet.by_id[first].count_by_account)
        fleet.by_id[first].count_by_account.clear()
        fleet.run(SETTLE_S)
        fleet.cut([first])
        rest = [e for e in fleet.by_id.values() if e.node_id != first]
        fleet.run(support.FEW_SECONDS_S)
        for _ in range(20):
            fleet.run(usage_fleet.TICK_S)
            for entry in rest:
                self.assertLess(
                    max(fleet.errors(entry)), MAX_RELATIVE_ERROR, entry.node_id
                )
        self.assertEqual(fleet.by_id[first].collected.remote_counts(fleet.now), {})
        fleet.cut([])
        fleet.by_id[first].count_by_account.update(kept)
        fleet.run(support.FEW_SECONDS_S)
        self.assert_counts_known(fleet)

    def test_unchanged_counts_cost_almost_no_traffic(self):
        fleet = self.make_fleet()
        fleet.run(3 * SETTLE_S)
        before = sum(fleet.bytes_sent.values())
        fleet.run(SETTLE_S)
        spent = sum(fleet.bytes_sent.values()) - before
        self.assertLess(spent / SETTLE_S / ENTRIES, MAX_IDLE_BYTES_S)
