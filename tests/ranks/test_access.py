"""Direct calls to engines by a leader that no agent answers, a few at a time."""

import asyncio
import unittest

from sequoiagap import ranks
from sequoiagap.ranks import _access, _own_rank

SIZE = 63
CALL_S = 0.01


class CountingEngine:
    """Engines that answer after a short delay.

    :ivar int calls: number of calls so far.
    :ivar int most_at_once: largest number of concurrent calls.
    """

    def __init__(self):
        self.calls = 0
        self.most_at_once = 0
        self._under_way = 0

    async def report(self, address):
        self.calls += 1
        self._under_way += 1
        self.most_at_once = max(self.most_at_once, self._under_way)
        await asyncio.sleep(CALL_S)
        self._under_way -= 1
        return ranks.EngineReport(group="g", rank=int(address), size=SIZE)


class DirectAccessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = CountingEngine()
        own = _own_rank.OwnRank(self.engine, "0")
        self.access = _access.GroupAccess(
            own, 0, {}, lambda: [str(rank) for rank in range(1, SIZE)]
        )

    async def poll_all(self):
        """Poll the engines of all other ranks concurrently, as a new leader does."""
        polls = (self.access.poll_engine(rank) for rank in range(1, SIZE))
        return await asyncio.gather(*polls)

    async def test_each_engine_is_found(self):
        states = await self.poll_all()
        found = [_own_rank.read_report(state).rank for state in states]
        self.assertEqual(found, list(range(1, SIZE)))

    async def test_calls_grow_with_the_ranks_and_not_with_their_square(self):
        await self.poll_all()
        self.assertLessEqual(self.engine.calls, 3 * SIZE)

    async def test_a_large_group_does_not_take_all_descriptors(self):
        await self.poll_all()
        self.assertLessEqual(self.engine.most_at_once, _access.MAX_DIRECT_CALLS + 1)
