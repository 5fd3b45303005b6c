"""A leader never polls a rank twice at once, and counts late answers by their age."""

import asyncio
import time
import unittest

from sequoiagap.ranks import _messages, _poller

SIZE = 3


class SlowAccess:
    """Access to ranks of which some answer late.

    :ivar dict delay_by_rank: seconds until an answer; ``None`` for no answer.
    """

    def __init__(self):
        self.delay_by_rank = dict.fromkeys(range(SIZE), 0.0)
        self.requests = []

    async def poll(self, rank, wants_counts, wants_experts, may_be_recent):
        self.requests.append((rank, wants_counts, wants_experts))
        delay_s = self.delay_by_rank[rank]
        await asyncio.sleep(delay_s or 0.0)
        if delay_s is None:
            return None
        return _messages.RankState(0, True, [])


class RankPollerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.access = SlowAccess()
        self.poller = _poller.RankPoller(self.access, SIZE, 0)

    async def poll(self, counts_of=()):
        return await self.poller.poll(set(counts_of), set())

    async def test_a_late_rank_delays_a_cycle_by_its_timeout_only(self):
        self.access.delay_by_rank[2] = 5.0
        began = time.monotonic()
        answers = await self.poll()
        self.assertLess(time.monotonic() - began, 2 * _poller.CYCLE_TIMEOUT_S)
        self.assertEqual(set(answers), {0, 1})
        self.assertEqual(self.poller.silent_ranks(), [])
        self.poller.close()

    async def test_a_rank_with_a_pending_poll_is_not_polled_again(self):
        self.access.delay_by_rank[2] = 5.0
        await self.poll()
        await self.poll()
        self.assertEqual([r for r, *_ in self.access.requests], [0, 1, 2, 0, 1])
        self.poller.close()

    async def test_a_late_answer_counts_with_its_age(self):
        self.access.delay_by_rank[2] = _poller.CYCLE_TIMEOUT_S + 0.05
        began = time.monotonic()
        await self.poll()
        answers = await self.poll()
        self.assertIn(2, answers)
        self.assertLess(answers[2].requested_at, began + _poller.CYCLE_TIMEOUT_S)
        self.assertNotIn(2, self.poller.newest(time.monotonic(), 1.0))
        self.assertIn(2, self.poller.newest(began, 1.0))

    async def test_a_rank_without_an_answer_is_silent(self):
        self.access.delay_by_rank[1] = None
        await self.poll()
        self.assertEqual(self.poller.silent_ranks(), [1])

    async def test_counts_are_requested_from_the_named_ranks(self):
        await self.poll(counts_of=[1])
        self.assertEqual([r for r, counts, _ in self.access.requests if counts], [1])


class BudgetTest(unittest.TestCase):
    def test_a_small_group_is_read_completely_in_each_cycle(self):
        budget = _poller.ReadingBudget(312_500, 4 * 72)
        self.assertEqual(budget.max_ranks(16, 0.2), 16)

    def test_at_least_one_rank_is_read_however_large_the_group(self):
        budget = _poller.ReadingBudget(125_000, 8 * 252)
        self.assertEqual(budget.max_ranks(1000, 0.2), 1)

    def test_small_answers_let_more_ranks_be_read(self):
        budget = _poller.ReadingBudget(125_000, 8 * 252)
        before = budget.max_ranks(63, 0.2)
        for _ in range(20):
            budget.record_size(200)
        self.assertGreater(budget.max_ranks(63, 0.2), before)
