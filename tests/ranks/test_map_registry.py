"""A leader puts the map in use together from what each rank holds."""

import unittest

from sequoiagap.ranks import _map_registry
from tests.ranks import group_stand_in

HELD = [[[0, 1]], [[2, 3]], [[4, 5]]]


class MapRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = _map_registry.MapRegistry(group_stand_in.TERMS, size=3)

    def note(self, ranks, version=7):
        for rank in ranks:
            self.registry.record_experts(rank, version, HELD[rank])

    def test_ranks_may_say_in_different_turns_what_they_hold(self):
        self.note([0, 2])
        self.assertIsNone(self.registry.find(7))
        self.assertEqual(self.registry.missing_ranks_, {1})
        self.note([1])
        self.assertEqual(self.registry.find(7), group_stand_in.LAYERS)
        self.assertEqual(self.registry.missing_ranks_, set())

    def test_ranks_that_spoke_of_another_version_are_asked_again(self):
        self.note([0, 1, 2], version=6)
        self.assertIsNone(self.registry.find(7))
        self.assertEqual(self.registry.missing_ranks_, {0, 1, 2})

    def test_a_map_that_the_leader_gave_need_not_be_learnt(self):
        self.registry.add(8, group_stand_in.LAYERS)
        self.assertIs(self.registry.find(8), group_stand_in.LAYERS)

    def test_a_group_that_formed_anew_is_learnt_anew(self):
        self.note([0, 1, 2])
        self.registry.find(7)
        self.registry.clear()
        self.assertEqual(self.registry.missing_ranks_, {0, 1, 2})
