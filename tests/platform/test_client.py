"""Timeouts of calls to the platform, its own and those of its callers."""

import asyncio
import time

from sequoiagap import base
from tests import support

CALL_TIMEOUT_S = 0.2
CALLER_TIMEOUT_S = 4 * CALL_TIMEOUT_S
STALL_S = 0.1
SILENCE_S = 2.0


class TimeoutsTest(support.PlatformCase):
    call_timeout_s = CALL_TIMEOUT_S

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.stand_in.faults_.set({"silent": True})

    async def call_repeatedly(self):
        while True:
            with self.assertRaises(base.PlatformError):
                await self.client.get("config")

    async def test_call_to_a_silent_platform_times_out(self):
        with self.assertRaises(base.PlatformError):
            async with asyncio.timeout(SILENCE_S):
                await self.client.get("config")

    async def test_cancellation_that_coincides_with_the_timeout_of_a_call(self):
        loop = asyncio.get_running_loop()
        # The stall makes both timers fire in one iteration of the event loop: the
        # timeout of the call and its caller's cancellation, which must not be lost.
        loop.call_later(CALLER_TIMEOUT_S - STALL_S, time.sleep, 2 * STALL_S)
        caller = asyncio.create_task(self.call_repeatedly())
        loop.call_later(CALLER_TIMEOUT_S, caller.cancel)
        await asyncio.wait([caller], timeout=CALLER_TIMEOUT_S + SILENCE_S)
        self.assertTrue(caller.cancelled())
