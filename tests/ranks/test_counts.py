"""Expert counts keep their proportions when they are sent to a leader."""

import unittest

from sequoiagap.ranks import _counts, _demand


def sample(before, after, span_s=0.5):
    """Return the reading between two counts."""
    sampler = _counts.CountsSampler()
    sampler.sample(before, 1.0)
    return sampler.sample(after, 1.0 + span_s)


class CountsTest(unittest.TestCase):
    def test_small_counts_are_exact(self):
        self.assertEqual(sample([5, 7, 0], [8, 7, 50]).rates(), [6.0, 0.0, 100.0])

    def test_large_counts_keep_their_proportions(self):
        counts = [0, 900, 45_000, 90_000]
        rates = sample([0] * 4, counts).rates()
        for count, rate in zip(counts, rates, strict=True):
            self.assertAlmostEqual(rate / rates[-1], count / counts[-1], delta=0.01)

    def test_a_restarted_engine_gives_no_reading(self):
        self.assertIsNone(sample([9, 9], [1, 1]))

    def test_counts_of_a_large_group_take_less_than_a_byte_each(self):
        counts = [(number * 37) % 97 for number in range(2016)]
        self.assertLess(len(sample([0] * 2016, counts).levels), 2016)


class DemandTest(unittest.TestCase):
    def setUp(self):
        self.demand = _demand.GroupDemand(layers=1, experts_per_layer=2, ranks=3)

    def update(self, now, **counts):
        readings = {int(k[1:]): sample([0, 0], v, 1.0) for k, v in counts.items()}
        return self.demand.update(readings, now)

    def test_ranks_without_counts_in_a_cycle_count_as_before(self):
        self.update(0.0, r0=[10, 0], r1=[10, 0], r2=[10, 0])
        self.update(0.2, r1=[0, 10])
        self.assertEqual(self.demand.newest_rates_, [[20.0, 10.0]])

    def test_ranks_that_are_silent_for_long_are_left_out(self):
        self.update(0.0, r0=[10, 0], r1=[10, 0], r2=[10, 0])
        later = 2 * _demand.MAX_AGE_S
        self.update(later, r0=[0, 10], r1=[0, 10])
        self.assertEqual(self.demand.newest_rates_, [[0.0, 20.0]])

    def test_a_few_ranks_give_no_reading_of_the_group(self):
        self.update(0.0, r0=[10, 0])
        self.assertEqual(self.demand.readings_, 0)

    def test_the_oldest_counts_are_requested_first(self):
        self.update(1.0, r0=[1, 0], r1=[1, 0])
        self.update(1.2, r0=[1, 0])
        self.assertEqual(self.demand.ranks_by_age_, [2, 1, 0])
