"""Deputies hear the end of a change only where it has ended."""

import asyncio
import unittest

from sequoiagap.ranks import _change, _driver

DEPUTIES = [1, 2]


class RecordingAccess:
    """Ways to ranks that carry out nothing until told.

    :ivar list notices: whether a change was under way, for each notice to deputies.
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
    """Give one step and end."""
    yield _change.Step({})
    return _change.ChangeResult.DONE


class DriverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.access = RecordingAccess()
        self.driver = _driver.ProcedureDriver(self.access)
        running = self.driver.run(procedure(), DEPUTIES)
        self.running = asyncio.ensure_future(running)
        await asyncio.sleep(0)

    async def test_deputies_hear_that_a_change_has_ended(self):
        self.access.may_proceed.set()
        self.assertEqual(await self.running, _change.ChangeResult.DONE)
        self.assertEqual(self.access.notices[-1], False)

    async def test_deputies_of_a_change_that_is_cut_short_are_left_to_settle_it(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        self.assertNotIn(False, self.access.notices)
