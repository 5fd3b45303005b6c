"""Fair shares of client accounts, bounded waits and randomized retry delays."""

import random
import unittest

from sequoiagap import admission

SLOTS = 10
SERVICE_S = 0.1


class Entries:
    """Entries with equal slots that exchange usage, in virtual time.

    :param int count: number of entries.
    :param dict weight_by_account: weight of each client account.
    """

    def __init__(self, count, weight_by_account):
        self.weights = weight_by_account
        self.queues = [admission.FairQueue(1.0, random.Random(i)) for i in range(count)]
        for queue in self.queues:
            queue.service_time_s_ = SERVICE_S
        self.tables = [admission.UsageTable(f"entry-{i}", "inc") for i in range(count)]
        self.served = [dict.fromkeys(weight_by_account, 0) for _ in range(count)]
        self.shed = []

    def run(self, seconds, demand, cut_off=()):
        """Serve ``SLOTS`` requests per step at each entry.

        :param float seconds: virtual time to run, in seconds.
        :param dict demand: requests per step by ``(entry, account)``.
        :param tuple cut_off: entries that exchange no usage.
        """
        for step in range(round(seconds / SERVICE_S)):
            for (entry, account), count in demand.items():
                for _ in range(count):
                    self._offer(entry, account)
            for entry, queue in enumerate(self.queues):
                self._serve(entry, queue)
            if step % 5 == 4:
                self._exchange(step * SERVICE_S, cut_off)

    def share(self, account, entries=None):
        """Return the share of an account in the served requests."""
        served = [self.served[i] for i in entries or range(len(self.queues))]
        total = sum(sum(counts.values()) for counts in served)
        return sum(counts[account] for counts in served) / total

    def reset(self):
        """Reset the counts of served requests."""
        for counts in self.served:
            counts.update(dict.fromkeys(counts, 0))

    def _offer(self, entry, account):
        weight = self.weights[account]
        shed = self.queues[entry].offer(account, object(), weight, SLOTS)
        if shed is not None:
            self.shed.append((account, shed))

    def _serve(self, entry, queue):
        for _ in range(SLOTS):
            popped = queue.pop()
            if popped is None:
                return
            self.served[entry][popped[0]] += 1
            self.tables[entry].record_arrival(popped[0])
            self.tables[entry].record_end(popped[0], SERVICE_S)

    def _exchange(self, now, cut_off):
        reports = [table.make_report() for table in self.tables]
        for entry, table in enumerate(self.tables):
            for sender, report in enumerate(reports):
                if sender == entry or {sender, entry} & set(cut_off):
                    continue
                for account, used_s in table.record_report(report, now).items():
                    self.queues[entry].record_remote_usage(
                        account, used_s, self.weights[account], SLOTS
                    )
            table.expire(now)


class FairQueueTest(unittest.TestCase):
    def test_shares_follow_weights_while_one_account_floods(self):
        entries = Entries(1, {"large": 1, "small": 1, "double": 2})
        entries.run(20, {(0, "large"): 100, (0, "small"): 3, (0, "double"): 100})
        self.assertAlmostEqual(entries.share("small"), 0.25, delta=0.02)
        self.assertAlmostEqual(entries.share("double"), 0.5, delta=0.02)

    def test_account_below_its_share_is_served_in_full(self):
        entries = Entries(1, {"large": 1, "small": 1})
        entries.run(20, {(0, "large"): 100, (0, "small"): 2})
        self.assertAlmostEqual(entries.share("small"), 0.2, delta=0.01)
        self.assertEqual([name for name, _ in entries.shed if name == "small"], [])

    def test_usage_at_other_entries_counts(self):
        """Account ``wide`` floods both entries, ``narrow`` only the first."""
        entries = Entries(2, {"wide": 1, "narrow": 1})
        demand = {(0, "wide"): 50, (1, "wide"): 50, (0, "narrow"): 50}
        entries.run(20, demand)
        self.assertAlmostEqual(entries.share("narrow"), 0.5, delta=0.05)

    def test_lost_and_returning_entry_moves_shares_for_seconds_only(self):
        entries = Entries(3, {"a": 1, "b": 1})
        demand = {(i, name): 50 for i in range(3) for name in ("a", "b")}
        demand[(2, "b")] = 0
        entries.run(10, demand)
        for cut_off in ((2,), ()):
            entries.run(4, demand, cut_off)
            entries.reset()
            entries.run(6, demand, cut_off)
            with self.subTest(cut_off=cut_off):
                wanted = 0.5 if cut_off else 0.25
                self.assertAlmostEqual(
                    entries.share("a", entries=(0, 1)), wanted, delta=0.06
                )

    def test_usage_at_lost_entries_expires_after_seconds(self):
        """Account ``a`` floods four entries and competes with ``b`` at the first."""
        entries = Entries(4, {"a": 1, "b": 1})
        demand = {(i, "a"): 50 for i in range(4)} | {(0, "b"): 50}
        entries.run(30, demand)
        entries.run(4, demand, cut_off=(0,))
        entries.reset()
        entries.run(6, demand, cut_off=(0,))
        self.assertAlmostEqual(entries.share("a", entries=(0,)), 0.5, delta=0.06)

    def test_idle_account_has_a_burst_and_no_more(self):
        queue = admission.FairQueue(100.0, random.Random(0), burst_s=1.0)
        queue.service_time_s_ = SERVICE_S
        for _ in range(500):
            queue.offer("busy", object(), 1.0, SLOTS)
        for _ in range(200):
            queue.pop()
        for _ in range(100):
            queue.offer("idle", object(), 1.0, SLOTS)
        first = [queue.pop()[0] for _ in range(40)]
        burst = first.index("busy") if "busy" in first else 40
        self.assertLessEqual(burst, 1.0 / SERVICE_S + 1)
        self.assertGreaterEqual(first.count("idle"), 20)

    def test_wait_is_bounded_and_retry_delays_are_spread(self):
        queue = admission.FairQueue(1.0, random.Random(0))
        queue.service_time_s_ = SERVICE_S
        results = [queue.offer("large", i, 1.0, SLOTS) for i in range(300)]
        shed = [result for result in results if result is not None]
        self.assertLessEqual(queue.size_ * SERVICE_S / SLOTS, 1.0)
        self.assertEqual(len(shed), 300 - queue.size_)
        times = [round(item.retry_after_s, 3) for item in shed]
        self.assertGreater(len(set(times)), len(times) * 0.8)
        self.assertTrue(all(item.predicted_wait_s > 1.0 for item in shed))
        self.assertIsNone(queue.offer("small", "x", 1.0, SLOTS))

    def test_priority_doubles_a_share_and_starves_nobody(self):
        weights = {
            "usual": admission.effective_weight(1, 0),
            "high": admission.effective_weight(1, 2),
        }
        entries = Entries(1, weights)
        entries.run(20, {(0, "usual"): 50, (0, "high"): 50})
        self.assertAlmostEqual(entries.share("usual"), 0.2, delta=0.02)


class UsageTest(unittest.TestCase):
    def test_silent_entry_expires(self):
        table = admission.UsageTable("entry-0", "inc", expiry_s=3.0)
        report = admission.AccountUsage("entry-1", "inc-1", {"a": 1.0}, {"a": 7})
        table.record_report(report, now=0.0)
        self.assertEqual(table.expire(2.9), [])
        self.assertEqual(table.remote_in_flight("a"), 7)
        self.assertEqual(table.expire(3.1), ["entry-1"])
        self.assertEqual(table.remote_in_flight("a"), 0)


class NextInTurnTest(unittest.TestCase):
    def test_account_below_its_share_is_not_shed_because_of_others(self):
        queue = admission.FairQueue(1.0, random.Random(0))
        queue.service_time_s_ = 0.6
        for _ in range(3):
            queue.charge_start("large", 1.0)
        queue.offer("large", "first", 1.0, slots=1)
        self.assertIsNone(queue.offer("small", "own", 1.0, slots=1))
        self.assertEqual(queue.pop(), ("small", "own"))

    def test_account_above_its_share_is_shed(self):
        queue = admission.FairQueue(1.0, random.Random(0))
        queue.service_time_s_ = 0.6
        for _ in range(9):
            queue.charge_start("large", 1.0)
        queue.offer("small", "own", 1.0, slots=1)
        self.assertIsNotNone(queue.offer("large", "next", 1.0, slots=1))
