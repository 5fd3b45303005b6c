"""Shared memory of buffered answers: reservations, growth, eviction."""

import asyncio
import unittest

from sequoiagap.gateway import _answer_memory
from tests import support

KB = 1024
SMALL = _answer_memory.SMALL_ANSWER_BYTES
SIZE = 32 * SMALL
SHARE = SIZE // 2  # of one endpoint


class AnswerMemoryTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.memory = _answer_memory.AnswerMemory(SIZE)

    def lease(self, endpoint_id="e1"):
        return self.memory.lease(endpoint_id)

    async def start(self, coroutine):
        """Run a coroutine until it waits or ends; return its task."""
        task = asyncio.ensure_future(coroutine)
        for _ in range(4):
            await asyncio.sleep(0)
        return task

    async def test_small_answers_never_wait(self):
        for number in range(100):
            lease = self.lease()
            if number % 2:
                await lease.reserve(SMALL)
            else:
                await lease.grow_to(SMALL)
        self.assertEqual(self.memory.used_, 100 * SMALL)

    async def test_announced_answer_waits_until_others_have_ended(self):
        held = [self.lease(name) for name in ("e1", "e2")]
        for lease in held:
            await lease.reserve(SHARE)
        task = await self.start(self.lease("e3").reserve(2 * SMALL))
        self.assertFalse(task.done())
        held[0].release()
        await asyncio.wait_for(task, 1.0)
        self.assertEqual(self.memory.used_, SHARE + 2 * SMALL)

    async def test_one_endpoint_leaves_half_to_the_others(self):
        await self.lease("faulty").reserve(SHARE)
        task = await self.start(self.lease("faulty").reserve(2 * SMALL))
        self.assertFalse(task.done())
        await asyncio.wait_for(self.lease("sound").reserve(SHARE), 1.0)
        task.cancel()

    async def test_largest_growing_answer_of_the_endpoint_fails(self):
        leases = [self.lease("faulty") for _ in range(40)]
        other = self.lease("sound")
        await other.grow_to(SHARE)
        failed = set()
        for size in range(SMALL, SHARE, SMALL):
            for number, lease in enumerate(leases):
                try:
                    if number not in failed:
                        await lease.grow_to(size)
                except _answer_memory.AnswerMemoryError:
                    failed.add(number)
                    lease.release()
                self.assertLessEqual(self.memory.used_, SIZE + 40 * SMALL)
        self.assertGreater(len(failed), 30)
        self.assertFalse(other.is_evicted_)

    async def test_announced_answer_evicts_a_larger_growing_one(self):
        growing, evicted = self.lease("e1"), []
        growing.on_evicted = lambda: evicted.append(growing)
        await growing.grow_to(SHARE)
        await self.lease("e2").reserve(SHARE - SMALL)
        await asyncio.wait_for(self.lease("e3").reserve(4 * SMALL), 1.0)
        self.assertEqual(evicted, [growing])
        with self.assertRaises(_answer_memory.AnswerMemoryError):
            await growing.grow_to(SHARE + SMALL)

    async def test_growing_answer_waits_for_announced_ones(self):
        held = [self.lease(name) for name in ("e1", "e2")]
        for lease in held:
            await lease.reserve(SHARE)
        task = await self.start(self.lease("e3").grow_to(2 * SMALL))
        self.assertFalse(task.done())
        held[1].release()
        await asyncio.wait_for(task, 1.0)

    async def test_complete_answer_is_not_evicted(self):
        complete = self.lease("e1")
        await complete.grow_to(SHARE)
        complete.keep()
        await self.lease("e2").reserve(SHARE)
        task = await self.start(self.lease("e3").reserve(2 * SMALL))
        self.assertFalse(task.done() or complete.is_evicted_)
        complete.release()
        await asyncio.wait_for(task, 1.0)

    async def test_release_twice_gives_back_once(self):
        lease = self.lease()
        await lease.reserve(3 * SMALL)
        lease.release()
        lease.release()
        self.assertEqual(self.memory.used_, 0)

    async def test_cancelled_wait_takes_nothing(self):
        held = [self.lease(name) for name in ("e1", "e2")]
        for lease in held:
            await lease.reserve(SHARE)
        task = await self.start(self.lease("e3").reserve(2 * SMALL))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for lease in held:
            lease.release()
        self.assertEqual(self.memory.used_, 0)


if __name__ == "__main__":
    unittest.main()
