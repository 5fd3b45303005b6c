"""Bounds of calls to the platform, its own and those of whoever calls it."""

import asyncio
import time

from sequoiagap import base
from tests import support

CALL_TIMEOUT_S = 0.2
BOUND_S = 4 * CALL_TIMEOUT_S
STALL_S = 0.1
SILENCE_S = 2.0


class BoundsTest(support.PlatformCase):
    call_timeout_s = CALL_TIMEOUT_S

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.stand_in.faults_.set({"silent": True})

    async def call_again_and_again(self):
        while True:
            with self.assertRaises(base.PlatformError):
                await self.client.get("config")

    async def test_silent_platform_ends_the_call(self):
        with self.assertRaises(base.PlatformError):
            async with asyncio.timeout(SILENCE_S):
                await self.client.get("config")

    async def test_bound_of_the_caller_ends_calls_in_the_same_turn_of_the_loop(self):
        loop = asyncio.get_running_loop()
        # Both timers are due after the stall: that of the call and the caller's.
        loop.call_later(BOUND_S - STALL_S, time.sleep, 2 * STALL_S)
        caller = asyncio.create_task(self.call_again_and_again())
        loop.call_later(BOUND_S, caller.cancel)
        await asyncio.wait([caller], timeout=BOUND_S + SILENCE_S)
        self.assertTrue(caller.cancelled())
