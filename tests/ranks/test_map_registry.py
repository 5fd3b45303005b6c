"""A leader assembles the map in use from what each rank holds."""

import unittest

from sequoiagap.ranks import _map_registry
from tests.ranks import group_stand_in

HELD = [[[0, 1]], [[2, 3]], [[4, 5]]]


class MapRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = _map_registry.MapRegistry(group_stand_in.PROFILE, size=3)

    def record(self, ranks, version=7):
        for rank in ranks:
            self.registry.record_experts(rank, version, HELD[rank])

    def test_ranks_may_report_in_different_cycles(self):
        self.record([0, 2])
        self.assertIsNone(self.registry.find(7))
        self.assertEqual(self.registry.missing_ranks_, {1})
        self.record([1])
        self.assertEqual(self.registry.find(7), group_stand_in.LAYERS)
        self.assertEqual(self.registry.missing_ranks_, set())

    def test_ranks_that_reported_another_version_are_polled_again(self):
        self.record([0, 1, 2], version=6)
        self.assertIsNone(self.registry.find(7))
        self.assertEqual(self.registry.missing_ranks_, {0, 1, 2})

    def test_a_map_that_the_leader_sent_is_known(self):
        self.registry.add(8, group_stand_in.LAYERS)
        self.assertIs(self.registry.find(8), group_stand_in.LAYERS)

    def test_map_of_a_re_formed_group_is_determined_again(self):
        self.record([0, 1, 2])
        self.registry.find(7)
        self.registry.clear()
        self.assertEqual(self.registry.missing_ranks_, {0, 1, 2})
