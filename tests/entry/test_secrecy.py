"""Logs, dumps, explanations and metrics contain no prompt, answer, key or secret."""

import contextlib
import json
import signal

import aiohttp

from sequoiagap import standins
from tests import support

PROMPT = "marked-prompt-5f1c"
QUERY = "marked-query-77aa"


class SecrecyTest(support.FleetCase):
    plan = standins.FleetPlan(
        domains=("north", "south"), entries=1, accounts=("caller", "other")
    )

    async def test_outputs_contain_no_confidential_value(self):
        request_ids = await self._send_requests()
        texts = await self._collect_texts(request_ids)
        secret = (self.fleet.folder / "secret").read_text()
        confidential = (
            PROMPT,
            QUERY,
            "caller-key",
            "operator-key",
            "wrong-key",
            secret,
        )
        for name, text in texts.items():
            with self.subTest(name):
                for value in confidential:
                    self.assertNotIn(value, text)
        self._check_metrics(texts)
        logs = "".join(t for name, t in texts.items() if name.endswith(".log"))
        for request_id in request_ids:
            self.assertIn(request_id, logs)

    async def test_only_its_account_and_operators_can_read_a_request(self):
        path = (
            f"/v1/explain/{await self._send_completion({'model': 'desk-model'}, False)}"
        )
        cases = {"caller-key": 200, "other-key": 404, "operator-key": 200, "x": 401}
        for key, expected in cases.items():
            with self.subTest(key):
                status, _ = await self.fleet.call("entry-0", "GET", path, key=key)
                self.assertEqual(status, expected)
        _, explanation = await self.fleet.call("entry-0", "GET", path)
        steps = [decision["step"] for decision in explanation["decisions"]]
        self.assertNotIn("refused", steps)

    def _check_metrics(self, texts):
        """Check that the metrics of the entry and agents count the requests."""
        self.assertIn('admitted_total{account="caller"', texts["/metrics"])
        self.assertIn(
            'request_seconds_count{node="entry-0",target="orders"}', texts["/metrics"]
        )
        agents = "".join(texts[f"/metrics/{n}"] for n in self.fleet.endpoint_names())
        self.assertIn('result="answered"', agents)
        self.assertIn('result="endpoint_error"', agents)

    async def test_processes_dump_their_state_on_sigusr1(self):
        for name in ("entry-0", "north-model-0"):
            with self.subTest(name):
                self.fleet.process_by_name[name].send_signal(signal.SIGUSR1)
                await self.fleet.wait_until(
                    lambda name=name: self._has_dumped(name), support.FEW_SECONDS_S
                )

    async def _has_dumped(self, name):
        for line in (self.fleet.folder / f"{name}.log").read_text().splitlines():
            event = json.loads(line)
            if event["number"] == 1008 and event["state"]["node_id"] == name:
                return True
        return False

    async def _send_requests(self):
        """Send confidential values under each fault and return the request ids."""
        ids = []
        for faults in (
            {},
            {"refuse_next": 9},
            {"refuse_next": 0, "crossed": True},
            {"crossed": False, "cut_answers": 9},
            {"cut_answers": 0, "lose_answers": 9},
        ):
            for name in self.fleet.endpoint_names():
                await self.fleet.set_faults(f"{name}-target", **faults)
            for stream in (True, False):
                ids.append(await self._send_completion({"model": "desk-model"}, stream))
            ids.append(await self._send(f"/services/orders/file?q={QUERY}", PROMPT))
        await self._send_completion({"model": PROMPT}, False)
        await self._send("/v1/chat/completions", f'{{"{PROMPT}')
        await self._send("/v1/completions", PROMPT, key="wrong-key")
        return ids

    async def _send_completion(self, body, stream):
        messages = [{"role": "user", "content": PROMPT}]
        body = body | {"messages": messages, "stream": stream}
        return await self._send("/v1/chat/completions", json.dumps(body))

    async def _send(self, path, text, key="caller-key"):
        headers = {"Authorization": f"Bearer {key}"}
        url = self.fleet.url("entry-0") + path
        async with self.fleet.session_.post(url, data=text, headers=headers) as answer:
            with contextlib.suppress(aiohttp.ClientError):
                await answer.read()
            return answer.headers["X-Request-Id"]

    async def _collect_texts(self, request_ids):
        """Return the outputs and logs of all processes, by source."""
        paths = ["/state", "/metrics", "/config", "/config/history"]
        paths += [f"/v1/explain/{request_id}" for request_id in request_ids]
        for name in self.fleet.endpoint_names():
            paths += [f"/state/{name}", f"/metrics/{name}"]
        texts = {path: await self._get(path) for path in paths}
        for name in ["entry-0", *self.fleet.endpoint_names()]:
            self.fleet.process_by_name[name].send_signal(signal.SIGUSR1)
            await self.fleet.wait_until(
                lambda name=name: self._has_dumped(name), support.FEW_SECONDS_S
            )
            texts[f"{name}.log"] = (self.fleet.folder / f"{name}.log").read_text()
        return texts

    async def _get(self, path):
        headers = {"Authorization": "Bearer operator-key"}
        url = self.fleet.url("entry-0") + path
        async with self.fleet.session_.get(url, headers=headers) as answer:
            self.assertEqual(answer.status, 200, path)
            return await answer.text()
