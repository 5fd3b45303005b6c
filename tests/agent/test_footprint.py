"""Memory of the agent process and modules it imports."""

import re
import sys

from sequoiagap import standins
from tests import support

MAX_RESIDENT_BYTES = 64_000_000
REQUESTS = 200
FORBIDDEN = {
    "aiohttp.web",
    "numpy",
    "prometheus_client",
    "sequoiagap.entry",
    "sequoiagap.standins",
}
IMPORT_LINE = re.compile(r"import time:.*\|\s+([A-Za-z_][\w.]*)$", re.MULTILINE)


class FootprintTest(support.FleetCase):
    plan = standins.FleetPlan(domains=("north",), entries=1, services_per_domain=0)

    async def test_agent_memory_is_bounded(self):
        for _ in range(REQUESTS):
            status, _ = await self.post_model(max_tokens=1)
            self.assertEqual(status, 200)
        _, state = await self.fleet.call("entry-0", "GET", "/state/north-model-0")
        resident = state["metrics"]["gauges"]["process_resident_bytes"]
        self.assertLess(resident, MAX_RESIDENT_BYTES)

    async def test_agent_imports_no_server_modules(self):
        path = self.fleet.folder / "north-model-0.json"
        process = standins.Process(
            "agent",
            [sys.executable, "-X", "importtime", "-m", "sequoiagap.cli", "agent"]
            + [str(path)],
            self.fleet.folder / "imports.log",
        )
        await process.start()
        await process.kill()
        text = process.log_path.read_text()
        imported = set(IMPORT_LINE.findall(text))
        self.assertIn("sequoiagap.agent", imported)
        self.assertEqual(imported & FORBIDDEN, set())
