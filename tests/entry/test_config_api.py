"""HTTP endpoints and commands with which operators change the configuration."""

import asyncio
import contextlib
import io
import os
import unittest.mock

from sequoiagap import cli, standins
from tests import support

REQUESTS = 6


class ConfigApiTest(support.FleetCase):
    plan = standins.FleetPlan(
        entries=3,
        services_per_domain=0,
        config={"client_accounts": {"caller": {"max_in_flight": 50}}},
    )

    async def test_rejections_are_stored_and_override_is_recorded(self):
        calls = [
            self.post_model("entry-2", stream=True, max_tokens=60)
            for _ in range(REQUESTS)
        ]
        await asyncio.gather(*calls)
        limit_changes = {"client_accounts": {"caller": {"max_in_flight": REQUESTS - 1}}}
        cases = [
            ({"against": 1, "changes": limit_changes}, 422, "client_accounts.caller"),
            ({"against": 0, "changes": limit_changes}, 409, "against"),
            ({"against": 1, "changes": {"modles": {}}}, 400, "modles"),
            ({"against": 1, "changes": {"routing": {"policy": "x"}}}, 400, "routing"),
            ({"against": -1, "changes": {}}, 400, "against"),
            (None, 400, "body"),
        ]
        await self.fleet.wait_until(self._has_peers, support.FEW_SECONDS_S)
        for body, status, setting in cases:
            with self.subTest(body=body):
                actual_status, reply = await self.fleet.call(
                    "entry-0", "POST", "/config", body
                )
                self.assertEqual(actual_status, status, reply)
                self.assertTrue(reply["error"]["setting"].startswith(setting), reply)
                self.assertIn(setting, reply["error"]["message"])
        _, stored = await self.fleet.call("entry-0", "GET", "/config/refusals")
        self.assertEqual(len(stored["refusals"]), len(cases))
        self.assertEqual(stored["refusals"][0]["operator"], "operator")
        override_body = {
            "against": 1,
            "changes": limit_changes,
            "override": True,
            "patch_id": "p1",
        }
        for _ in range(2):
            reply = await self.fleet.call("entry-0", "POST", "/config", override_body)
            self.assertEqual(reply, (200, {"version": 2, "patch_id": "p1"}))
        _, history = await self.fleet.call("entry-1", "GET", "/config/history")
        entry = history["history"][-1]
        self.assertEqual((entry["operator"], entry["patch_id"]), ("operator", "p1"))
        self.assertTrue(entry["overridden"][0].startswith("cap_under_use"))

    async def test_commands_for_local_order_and_restored_platform(self):
        await self.fleet.call("platform", "POST", "/backup")
        status, _ = await self.fleet.patch_config({"models": {"later": {}}})
        self.assertEqual(status, 200)
        await self.fleet.call("platform", "POST", "/restore")
        cases = [
            (["domain", "out", "north", "--local"], "north is out here"),
            (["domain", "out", "nowhere", "--local"], "nowhere"),
            (["config", "restore"], "accepted as version 3"),
            (["config", "history"], "restore"),
        ]
        for arguments, expected in cases:
            with self.subTest(arguments):
                text = await asyncio.to_thread(self._run_command, arguments)
                self.assertIn(expected, text)

    def _run_command(self, arguments):
        """Run a command against an entry and return its output."""
        output = io.StringIO()
        environment = {"SEQUOIAGAP_OPERATOR_KEY": "operator-key"}
        with (
            unittest.mock.patch.dict(os.environ, environment),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            cli.main([*arguments, "--entry", self.fleet.url("entry-0")])
        return output.getvalue()

    async def _has_peers(self):
        _, state = await self.fleet.call("entry-0", "GET", "/state")
        return "entry-2" in state["peers"]
