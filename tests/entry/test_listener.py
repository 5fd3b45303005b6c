"""The entry's HTTP listener: TLS, typed errors, API keys and slow senders."""

import asyncio
import hashlib
import json
import pathlib
import re
import ssl
import tempfile
import time
import unittest

import aiohttp

from sequoiagap import entry, settings
from tests import support, support_tls

HEADER_TIMEOUT_S = 0.5
OPEN_PATHS = ("/healthz", "/readyz")
CALLER_PATHS = (*OPEN_PATHS, "/v1/", "/services/")
PATHS_BY_KEY = {"": OPEN_PATHS, "wrong": OPEN_PATHS, "caller-key": CALLER_PATHS}
OPERATOR_DIGEST = hashlib.sha256(b"operator-key").hexdigest()
CALLER_DIGEST = hashlib.sha256(b"caller-key").hexdigest()


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.logs = support.silence_logs()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "secret").write_text("the-deployment-secret")
        keys = {
            "accounts": {"guild": [CALLER_DIGEST]},
            "operators": {"ann": [OPERATOR_DIGEST]},
        }
        (self.folder / "keys.json").write_text(json.dumps(keys))

    async def start(self, **changes):
        """Start an entry without a reachable platform and return its HTTP port."""
        document = {
            "role": "entry",
            "node_id": "e1",
            "deployment": "d",
            "region": "r",
            "failure_domain": "f",
            "address": "127.0.0.1",
            "port": 0,
            "http_port": 0,
            "platform": {"url": "http://127.0.0.1:1"},
            "secret_file": str(self.folder / "secret"),
            "keys_file": str(self.folder / "keys.json"),
            "header_timeout_s": HEADER_TIMEOUT_S,
            "drain_lag_s": 0.01,
            "drain_bound_s": 0.1,
        }
        path = self.folder / "entry.json"
        path.write_text(json.dumps(document | changes))
        process = entry.Entry(settings.load(str(path)))
        self.process = process
        await process.start()
        self.addAsyncCleanup(process.stop)
        return process.http_port_

    async def test_https(self):
        authority = support_tls.Authority(self.folder)
        files = authority.issue("entry")
        ca_file = files.pop("ca_file")
        port = await self.start(http_tls=files)
        context = ssl.create_default_context(cafile=ca_file)
        context.check_hostname = False
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"https://127.0.0.1:{port}/healthz", ssl=context) as response,
        ):
            self.assertEqual(response.status, 200)
        with self.assertRaises((aiohttp.ClientError, OSError)):
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://127.0.0.1:{port}/healthz"),
            ):
                pass

    async def test_bad_requests_get_typed_errors(self):
        port = await self.start(max_body_bytes=1000)
        long_body = json.dumps({"against": 0, "changes": {"x": "y" * 2000}})
        cases = {
            "no path": ("GET", "/nothing", "", 404, "not_found"),
            "no method": ("DELETE", "/config", "", 405, "bad_request"),
            "long body": ("POST", "/config", long_body, 413, "too_large"),
            "no JSON": ("POST", "/config", "{", 400, "bad_request"),
            "a failure": ("GET", "/state", "", 500, "internal_error"),
        }

        def fail():
            raise KeyError("marked-value")

        self.process.dump_state = fail
        async with aiohttp.ClientSession() as session:
            for name, (method, path, body, status, kind) in cases.items():
                url = f"http://127.0.0.1:{port}{path}"
                headers = {"Authorization": "Bearer operator-key"}
                request = session.request(method, url, data=body, headers=headers)
                with self.subTest(name):
                    async with request as response:
                        document = await response.json()
                        self.assertEqual(response.status, status)
                        self.assertEqual(document["error"]["type"], kind)
        log = self.logs.getvalue()
        self.assertIn('"number": 1010', log)
        self.assertNotIn("marked-value", log)

    async def test_each_path_requires_its_kind_of_key(self):
        port = await self.start()
        routes = list(self.process._runner.app.router.routes())
        self.assertGreater(len(routes), 15)
        async with aiohttp.ClientSession() as session:
            for route in routes:
                path = re.sub(r"{[^}]*}", "x", route.resource.canonical)
                method = "GET" if route.method == "*" else route.method
                for key, prefixes in PATHS_BY_KEY.items():
                    with self.subTest(path, method=method, key=key):
                        request = session.request(
                            method,
                            f"http://127.0.0.1:{port}{path}",
                            headers={"Authorization": f"Bearer {key}"},
                        )
                        async with request as response:
                            is_open = path.startswith(prefixes)
                            self.assertEqual(response.status != 401, is_open)

    async def test_slow_senders_are_disconnected(self):
        port = await self.start()
        cases = {"nothing": b"", "half a header": b"GET /healthz HTTP/1.1\r\nHost: "}
        for name, data in cases.items():
            with self.subTest(name):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(data)
                began = time.monotonic()
                async with asyncio.timeout(support.FEW_SECONDS_S):
                    await reader.read()
                self.assertLess(time.monotonic() - began, support.FEW_SECONDS_S)
                writer.close()
