"""Deputies are notified of the end of a change only if it has ended."""

import asyncio
import unittest

from sequoiagap.ranks import _change, _driver

DEPUTIES = [1, 2]


class RecordingAccess:
    """Access to ranks that executes nothing until it may proceed.

    :ivar list notices: whether a change was in progress, for each notice to deputies.
    """

    def __init__(self):
        self.notices = []
        self.may_proceed = asyncio.Event()

    async def notify_deputies(self, deputies, is_changing=True):
        self.notices.append(is_changing)
        return deputies

    async def execute(self, step):
        await self.may_proceed.wait()
        return {}


def procedure():
    """Yield one step and end."""
    yield _change.Step({})
    return _change.ChangeResult.DONE


class DriverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.access = RecordingAccess()
        self.driver = _driver.ProcedureDriver(self.access)
        running = self.driver.run(procedure(), DEPUTIES)
        self.running = asyncio.ensure_future(running)
        await asyncio.sleep(0)

    async def test_deputies_are_notified_of_the_end_of_a_change(self):
        self.access.may_proceed.set()
        self.assertEqual(await self.running, _change.ChangeResult.DONE)
        self.assertEqual(self.access.notices[-1], False)

    async def test_deputies_of_a_cancelled_change_are_left_to_settle_it(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.assertNotIn(False, self.access.notices)
