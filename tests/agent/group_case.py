"""Base class of tests with one rank group."""

import tempfile

from sequoiagap import standins
from tests import support

RECOVERY_TIMEOUT_S = 3 * support.FEW_SECONDS_S
SETTINGS = {"policy": "full_replan"}
ENGINE = {"trace": "oscillation", "checks_fencing": False}


class GroupCase(support.AsyncCase):
    """Starts one group of agents with its engines."""

    plan = standins.RankFleetPlan(group=SETTINGS, engine=ENGINE)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = await self.enterAsyncContext(
            standins.RankFleet(self.plan, folder.name)
        )

    async def wait_for_change(self):
        """Wait until the group has changed its map and continues to step."""
        before = await self.fleet.group()

        def has_changed(state):
            return (
                state["versions_used"][-1:] > before["versions_used"][-1:]
                and state["step"] > before["step"]
            )

        return await self.fleet.wait_until(has_changed, RECOVERY_TIMEOUT_S)

    async def check(self):
        """Check that the group recovers and used one map in each step."""
        state = await self.wait_for_change()
        self.assertEqual(state["violations"], 0)
