"""Expert maps, the lower bound of rank times, and the load and speed estimators."""

import random
import unittest

from sequoiagap import experts

SHAPE = experts.MapShape(layers=2, ranks=4, experts=6, slots=2)


class ExpertMapTest(unittest.TestCase):
    def test_invalid_maps_are_refused(self):
        good = experts.initial_map(SHAPE).rows
        cases = {
            "lacks expert": ((0, 1, 2, 3, 4, 0, 1, 2), good[1]),
            "twice on rank": ((0, 0, 1, 2, 3, 4, 5, 1), good[1]),
            "does not exist": ((0, 1, 2, 3, 4, 5, 6, 1), good[1]),
            "slots": ((0, 1, 2, 3, 4, 5), good[1]),
            "layers": good[:1],
        }
        for message, rows in cases.items():
            with (
                self.subTest(message),
                self.assertRaisesRegex(experts.ExpertMapError, message),
            ):
                experts.ExpertMap(SHAPE, rows)

    def test_map_survives_conversion_to_bytes(self):
        placement = experts.initial_map(SHAPE)
        content = placement.to_bytes()
        again = experts.ExpertMap.from_bytes(SHAPE, content)
        self.assertEqual(again, placement)
        self.assertEqual(again.digest, placement.digest)
        with self.assertRaises(experts.ExpertMapError):
            experts.ExpertMap.from_bytes(SHAPE, content[:-2])

    def test_initial_maps_are_valid_for_many_shapes(self):
        for ranks, count, slots in ((1, 4, 4), (3, 7, 4), (12, 64, 6), (32, 64, 3)):
            with self.subTest(ranks=ranks, experts=count, slots=slots):
                experts.initial_map(experts.MapShape(1, ranks, count, slots))

    def test_moves_count_only_new_experts_of_a_rank(self):
        old = experts.initial_map(SHAPE)
        row = list(old.rows[0])
        row[0], row[1] = row[1], row[0]
        reordered = experts.ExpertMap(SHAPE, (tuple(row), old.rows[1]))
        self.assertEqual(experts.moves_between(old, reordered), [])


class BoundTest(unittest.TestCase):
    def test_no_placement_beats_the_bound(self):
        source = random.Random(7)
        shape = experts.MapShape(1, 3, 4, 2)
        for _ in range(20):
            loads = [source.expovariate(1) for _ in range(4)]
            speeds = [source.uniform(0.5, 1) for _ in range(3)]
            bound = experts.layer_bound(loads, speeds, 2)
            best = min(
                max(experts.rank_times(row, loads, speeds, 2))
                for row in _all_rows(shape)
            )
            self.assertLessEqual(bound, best * (1 + 1e-9))


class EstimatorTest(unittest.TestCase):
    def test_missing_layers_keep_their_estimate(self):
        loads = experts.LoadEstimator(2, 2)
        loads.update({0: [3, 1], 1: [1, 3]})
        loads.update({0: [1, 3]})
        loads.update({1: [0, 0]})
        self.assertGreater(loads.predict()[0][1], 0.5)
        self.assertEqual(loads.predict()[1], [0.25, 0.75])

    def test_oscillation_is_averaged(self):
        loads = experts.LoadEstimator(1, 2)
        for turn in range(20):
            loads.update({0: [9, 1] if turn % 2 else [1, 9]})
        self.assertAlmostEqual(loads.predict()[0][0], 0.5, delta=0.1)

    def test_shift_is_followed_at_once(self):
        source = random.Random(5)
        loads = experts.LoadEstimator(1, 2)
        for _ in range(30):
            loads.update({0: [source.gauss(50, 1), source.gauss(50, 1)]})
        loads.update({0: [90, 10]})
        self.assertGreater(loads.predict()[0][0], 0.8)

    def test_slow_rank_is_detected(self):
        speeds = experts.SpeedEstimator(4)
        for _ in range(20):
            speeds.update([2.0, 1.0, 1.0, 1.0], [2.0, 1.0, 1.0, 2.0])
        self.assertEqual(speeds.speeds_[:3], [1.0, 1.0, 1.0])
        self.assertAlmostEqual(speeds.speeds_[3], 0.5, delta=0.05)


def _all_rows(shape):
    """Return every valid row of a small shape."""
    pairs = [(a, b) for a in range(4) for b in range(a + 1, 4)]
    for first in pairs:
        for second in pairs:
            for third in pairs:
                row = first + second + third
                if len(set(row)) == shape.experts:
                    yield row
