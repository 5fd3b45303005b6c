"""Checks over many seeds that a gateway reverts no decision, whatever a store loses."""

import unittest

from simulations import store_world, virtual

from tests import support

SEEDS = 60
DURATION_S = 30.0
MIN_COPIES = 2 * SEEDS


class StoreModelTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        support.silence_logs()

    def test_copies_outages_and_lost_answers(self):
        copies = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                copies += virtual.run(self.play(seed))
        self.assertGreater(copies, MIN_COPIES)

    async def play(self, seed):
        """Run one seed; return how often the store was restored from a copy."""
        world = store_world.StoreWorld(seed)
        await world.run(DURATION_S)
        return world.copies_


if __name__ == "__main__":
    unittest.main()
