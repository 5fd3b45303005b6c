"""Shared helpers of the tests."""

import io
import pathlib
import tempfile
import unittest

from sequoiagap import base, standins

ROOT = pathlib.Path(__file__).resolve().parent.parent
FEW_SECONDS_S = 4.0


def silence_logs():
    """Send the logs of this process to memory and return the stream.

    :rtype: io.StringIO
    """
    stream = io.StringIO()
    base.configure_logs("info", stream)
    return stream


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Runs each test against a fleet of real processes.

    :cvar sequoiagap.standins.FleetPlan plan: what the fleet consists of.
    """

    plan = standins.FleetPlan()

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = await self.enterAsyncContext(
            standins.Fleet(self.plan, folder.name)
        )

    async def post_model(self, entry="entry-0", key="caller-key", **body):
        """Send one model request; return status and body text.

        :rtype: tuple[int, str]
        """
        url = f"{self.fleet.url(entry)}/v1/chat/completions"
        body = {"model": "desk-model", "messages": []} | body
        headers = {"Authorization": f"Bearer {key}"}
        async with self.fleet.session_.post(
            url, json=body, headers=headers
        ) as response:
            return response.status, await response.text()
