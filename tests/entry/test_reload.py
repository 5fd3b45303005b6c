"""What an entry does on SIGHUP, and what it logs of a lost agent."""

import asyncio
import hashlib
import json
import signal

from sequoiagap import standins
from tests import support

RETRIES_S = 1.0


class ReloadTest(support.FleetCase):
    plan = standins.FleetPlan(domains=("north",), entries=1, services_per_domain=0)

    async def test_keys_are_replaced(self):
        self.assertEqual(await self._status("old"), {"caller-key": 200, "new": 401})
        await self._reload(["caller-key", "new"], 1006)
        self.assertEqual(await self._status("both"), {"caller-key": 200, "new": 200})
        await self._reload(["new"], 1006)
        self.assertEqual(await self._status("new"), {"caller-key": 401, "new": 200})
        await self._reload(None, 1007)
        self.assertEqual(await self._status("kept"), {"caller-key": 401, "new": 200})

    async def test_unreachable_agent_is_told_once(self):
        await self.fleet.process_by_name["north-model-0"].kill()

        async def logged():
            return self._count(1105) > 0

        await self.fleet.wait_until(logged, support.FEW_SECONDS_S)
        await asyncio.sleep(RETRIES_S)
        self.assertEqual(self._count(1105), 1)

    async def _status(self, phase):
        found = {}
        for key in ("caller-key", "new"):
            found[key], _ = await self.post_model(key=key)
        return found

    async def _reload(self, keys, expected_event):
        """Write the keys file, or a broken one, and wait for the event."""
        path = self.fleet.folder / "keys.json"
        document = json.loads(path.read_text()) if keys else {}
        if keys:
            digests = [hashlib.sha256(key.encode()).hexdigest() for key in keys]
            document["accounts"] = {"caller": digests}
        path.write_text(json.dumps(document))
        before = self._count(expected_event)
        self.fleet.process_by_name["entry-0"].send_signal(signal.SIGHUP)

        async def logged():
            return self._count(expected_event) > before

        await self.fleet.wait_until(logged, support.FEW_SECONDS_S)

    def _count(self, number):
        lines = (self.fleet.folder / "entry-0.log").read_text().splitlines()
        return sum(json.loads(line)["number"] == number for line in lines)
