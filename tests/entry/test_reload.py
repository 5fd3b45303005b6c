"""An entry reloads its keys on SIGHUP, and logs an unreachable agent once."""

import asyncio
import hashlib
import json
import signal

from sequoiagap import standins
from tests import support

OBSERVATION_S = 1.0


class ReloadTest(support.FleetCase):
    plan = standins.FleetPlan(domains=("north",), entries=1, services_per_domain=0)

    async def test_keys_are_reloaded_on_sighup(self):
        self.assertEqual(await self._status("old"), {"caller-key": 200, "new": 401})
        await self._reload(["caller-key", "new"], 1006)
        self.assertEqual(await self._status("both"), {"caller-key": 200, "new": 200})
        await self._reload(["new"], 1006)
        self.assertEqual(await self._status("new"), {"caller-key": 401, "new": 200})
        await self._reload(None, 1007)
        self.assertEqual(await self._status("kept"), {"caller-key": 401, "new": 200})

    async def test_unreachable_agent_is_logged_once(self):
        await self.fleet.process_by_name["north-model-0"].kill()

        async def is_logged():
            return self._count_events(1105) > 0

        await self.fleet.wait_until(is_logged, support.FEW_SECONDS_S)
        await asyncio.sleep(OBSERVATION_S)
        self.assertEqual(self._count_events(1105), 1)

    async def _status(self, phase):
        status_by_key = {}
        for key in ("caller-key", "new"):
            status_by_key[key], _ = await self.post_model(key=key)
        return status_by_key

    async def _reload(self, keys, expected_event):
        """Write a valid or malformed keys file, send SIGHUP and wait for the event."""
        path = self.fleet.folder / "keys.json"
        document = json.loads(path.read_text()) if keys else {}
        if keys:
            digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
            document["accounts"] = {"caller": digests}
        path.write_text(json.dumps(document))
        before = self._count_events(expected_event)
        self.fleet.process_by_name["entry-0"].send_signal(signal.SIGHUP)

        async def is_logged():
            return self._count_events(expected_event) > before

        await self.fleet.wait_until(is_logged, support.FEW_SECONDS_S)

    def _count_events(self, number):
        lines = (self.fleet.folder / "entry-0.log").read_text().splitlines()
        return sum(json.loads(line)["number"] == number for line in lines)
