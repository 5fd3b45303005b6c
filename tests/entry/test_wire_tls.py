"""A fleet whose processes authenticate by TLS certificates serves requests."""

import tempfile
import unittest

from sequoiagap import base, standins, wire
from tests import support_tls


class WireTlsTest(unittest.IsolatedAsyncioTestCase):
    async def test_fleet_serves_over_tls(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        files = support_tls.Authority(folder.name).issue("node")
        plan = standins.FleetPlan(domains=("north",), entries=1, node={"tls": files})
        fleet = await self.enterAsyncContext(standins.Fleet(plan, folder.name))
        body = {"model": "desk-model", "messages": []}
        status, _ = await fleet.call(
            "entry-0", "POST", "/v1/chat/completions", body, key="caller-key"
        )
        self.assertEqual(status, 200)
        port = fleet.process_by_name["north-model-0"].ready_["port"]
        secret = (fleet.folder / "secret").read_text()
        hello = wire.Hello("entry-9", "entry", "inc", secret=secret)
        with self.assertRaises(base.WireError):
            await wire.connect("127.0.0.1", port, hello)
