"""Requests of callers are served end to end by real processes."""

import json

from tests import support


class EndToEndTest(support.FleetCase):
    async def test_stream_and_service_answers_are_complete(self):
        status, text = await self.post_model(stream=True)
        self.assertEqual(status, 200)
        events = [line for line in text.splitlines() if line.startswith("data: ")]
        self.assertEqual(len(events), 9)
        self.assertEqual(events[-1], "data: [DONE]")
        status, document = await self.fleet.call(
            "entry-1", "POST", "/services/orders/file", {"n": 1}, key="caller-key"
        )
        self.assertEqual((status, document["path"]), (200, "/file"))
        self.assertEqual(json.loads(document["received"]), {"n": 1})

    async def test_unknown_keys_are_rejected(self):
        cases = [("/v1/models", "GET"), ("/config", "GET"), ("/state", "GET")]
        for path, method in cases:
            with self.subTest(path):
                status, document = await self.fleet.call(
                    "entry-0", method, path, key="unknown"
                )
                self.assertEqual(status, 401)
                self.assertEqual(document["error"]["type"], "unauthenticated")
        status, _ = await self.post_model(key="unknown")
        self.assertEqual(status, 401)

    async def test_domain_out_of_service_gets_no_requests(self):
        status, _ = await self.fleet.patch_config(
            {"failure_domains": {"north": {"state": "out"}}}
        )
        self.assertEqual(status, 200)
        await self.fleet.wait_until(self._is_in_force, support.FEW_SECONDS_S)
        for _ in range(20):
            status, _ = await self.post_model("entry-1")
            self.assertEqual(status, 200)
        _, counts = await self.fleet.call("north-model-0-target", "GET", "/executions")
        self.assertEqual(counts, {})

    async def _is_in_force(self):
        for name in self.fleet.endpoint_names():
            _, state = await self.fleet.call("entry-1", "GET", f"/state/{name}")
            if state["config_version"] < 2:
                return False
        return True
