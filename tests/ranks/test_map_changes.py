"""Maps are sent to other agents as changes to maps that they have."""

import unittest

from sequoiagap.ranks import _map_changes

FIRST = (((0, 1), (2, 3), ()), ((1,), (0, 2), (3,)))
SECOND = (((0, 1), (2,), (3,)), ((1, 3), (0, 2), (3,)))
THIRD = (((1,), (2,), (0, 3)), ((1, 3), (0, 2), (3,)))


class MapChangesTest(unittest.TestCase):
    def setUp(self):
        self.sender = _map_changes.MapSender()
        self.receiver = _map_changes.MapCache()

    def send(self, layers):
        base, changes, map_digest = self.sender.encode(1, layers)
        built = self.receiver.build(base, changes, map_digest)
        if built is not None:
            self.sender.record_received(1, layers)
        return built, len(changes)

    def test_maps_arrive_as_they_were(self):
        for layers in (FIRST, SECOND, THIRD, FIRST):
            self.assertEqual(self.send(layers)[0], layers)

    def test_a_map_that_changes_little_takes_few_bytes(self):
        large = tuple(
            tuple(tuple(range(r, 252, 63)) for r in range(63)) for _ in range(8)
        )
        changed = ((large[0][1], *large[0][1:]), *large[1:])
        self.assertGreater(self.send(large)[1], 300)
        self.assertLess(self.send(changed)[1], 50)

    def test_a_restarted_receiver_reports_that_it_lacks_the_base(self):
        self.send(FIRST)
        self.receiver = _map_changes.MapCache()
        self.assertIsNone(self.send(SECOND)[0])
        self.sender.forget(1)
        self.assertEqual(self.send(SECOND)[0], SECOND)

    def test_the_same_experts_in_another_order_are_the_same_map(self):
        turned = tuple(tuple(tuple(reversed(r)) for r in layer) for layer in FIRST)
        self.send(FIRST)
        self.assertTrue(self.sender.has_map(1, turned))

    def test_a_map_that_does_not_match_its_digest_is_rejected(self):
        base, changes, _ = self.sender.encode(1, FIRST)
        other = _map_changes.digest(SECOND)
        self.assertIsNone(self.receiver.build(base, changes, other))

    def test_few_maps_are_kept(self):
        for number in range(3 * _map_changes.MAX_MAPS):
            self.receiver.add((((number,),),))
        self.assertIsNone(self.receiver.get(_map_changes.digest((((0,),),))))
