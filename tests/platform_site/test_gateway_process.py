"""A gateway process against servers that leave, or want no requests for a time."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from tests import support
from tests.platform_site import test_store

HOST = "desk.example"
RUN = support.ROOT / "platform/run.py"
TEMPLATE = support.ROOT / "platform/gateway.json"
PLACEHOLDER = re.compile(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}")
SERVERS = 3
REQUEST_INTERVAL_S = 0.04
START_TIMEOUT_S = 15.0
PAUSE_S = 1.5
PLAY_S = 6.0
LEARN_S = 0.5  # after an answer; from then on few requests may arrive
ALLOWED = 2
ROUTE = {
    "Name": "lookup",
    "Host": HOST,
    "PathPrefix": "/lookup/",
    "Kind": "safe",
    "TimeoutMs": 1000,
    "MaxAttempts": 2,
    "Public": True,
    "Service": "desk",
}
CONFIGURATION = {
    "Version": 1,
    "Routes": [ROUTE],
    "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConnections": 100}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [],
}


@dataclasses.dataclass
class Server:
    """A server of the service, in the process of the test.

    :param str name: its id.
    :param bool is_leaving: whether its answers say that it leaves.
    :param float pause_s: time that it names as it turns requests away; 0 to serve them.

    :ivar list arrived_at: when each request arrived, monotonic seconds.
    :ivar list refused_at: when each of those that it turned away arrived.
    """

    name: str
    is_leaving: bool = False
    pause_s: float = 0.0
    arrived_at: list = dataclasses.field(default_factory=list)
    refused_at: list = dataclasses.field(default_factory=list)

    async def answer(self, request):
        """Answer one request."""
        self.arrived_at.append(time.monotonic())
        headers = {"Request-Id": request.headers["Request-Id"], "Server-Seal": "s"}
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if not self.pause_s:
            return web.Response(text="found", headers=headers)
        self.refused_at.append(self.arrived_at[-1])
        headers |= {"Not-Executed": "1", "Retry-After": f"{self.pause_s:g}"}
        return web.Response(status=503, headers=headers)

    def most_in_a_pause(self):
        """Return the most arrivals in the rest of a pause that an answer began."""
        return max(
            (
                sum(
                    at + LEARN_S < other < at + self.pause_s
                    for other in self.arrived_at
                )
                for at in self.refused_at
            ),
            default=0,
        )


async def listen(test, answer):
    """Serve HTTP until the test has ended; return the port."""
    runner = web.ServerRunner(web.Server(answer, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    test.addAsyncCleanup(runner.cleanup)
    return runner.addresses[0][1]


def render(fields):
    """Return the settings of a gateway, as the platform fills them in."""

    def fill(match):
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match[2] else str(value)

    text = PLACEHOLDER.sub(fill, TEMPLATE.read_text())
    return re.sub(r'"metrics_port": \d+', '"metrics_port": 0', text)


class GatewayProcessTest(support.AsyncCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers = [Server(f"i-{number}") for number in range(SERVERS)]
        self.store = test_store.StoreStandIn()
        self.store.by_kind["config"] = {
            "main": {"Metadata": {"Name": "main"}, "Spec": CONFIGURATION}
        }
        for server in self.servers:
            port = await listen(self, server.answer)
            self.store.by_kind["servers"][server.name] = {
                "Metadata": {"Name": server.name},
                "born": 1_790_000_000_000,
                "Spec": {
                    "Service": "desk",
                    "Address": f"127.0.0.1:{port}",
                    "Zone": "a",
                    "Slots": 6,
                    "State": "ready",
                },
            }
        self.front = f"127.0.0.1:{support.free_port()}"
        self.ready = f"127.0.0.1:{support.free_port()}"
        await self.start_gateway()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        async with asyncio.timeout(START_TIMEOUT_S):
            await self.wait_ready()

    async def start_gateway(self):
        """Start the process and end it after the test."""
        fields = {
            "Node": "front-1",
            "Region": "r",
            "Zone": "a",
            "Ip": "127.0.0.1",
            "InternalPorts": [support.free_port()],
            "Platform": {
                "Address": f"127.0.0.1:{await listen(self, self.store.answer)}"
            },
            "Listen": {"Front": self.front, "Ready": self.ready},
            "Bounds": {
                "RevokeMs": 5000,
                "GraceS": 8,
                "RetryBudgetRatio": 0.2,
                "RetryBudgetSlack": 88,
                "BudgetWindowS": 10,
                "ColdOvershoot": 1.5,
                "ColdSlack": 5,
            },
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "gateway.json"
        path.write_text(render(fields))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(RUN),
            env=os.environ | {"SEQUOIAGAP_CONFIG": str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(process.wait)
        self.addCleanup(process.kill)

    async def wait_ready(self):
        """Wait until the gateway answers readiness checks with 200."""
        status = 0
        while status != 200:
            await asyncio.sleep(0.05)
            with contextlib.suppress(aiohttp.ClientError):
                async with self.session.get(f"http://{self.ready}/") as response:
                    status = response.status

    async def call(self, number):
        """Send a request; return its status and the time to come back."""
        headers = {"Host": HOST, "Request-Id": f"r{number}", "Deadline-Ms": "1000"}
        url = f"http://{self.front}/lookup/{number}"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status, float(response.headers.get("Retry-After", 0.0))

    async def call_for(self, seconds):
        """Send requests at a steady rate; return their answers."""
        calls, began = [], time.monotonic()
        while time.monotonic() < began + seconds:
            calls.append(asyncio.create_task(self.call(len(calls))))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        return await asyncio.gather(*calls)

    async def test_server_that_leaves_gets_no_more(self):
        # Guards against requests to a server that the store still lists as ready.
        self.servers[0].is_leaving = True
        answers = await self.call_for(2.0)
        self.assertEqual({status for status, _ in answers}, {200})
        first, *later = self.servers[0].arrived_at
        self.assertFalse([at for at in later if at > first + LEARN_S])

    async def test_servers_that_want_no_requests_get_two_at_most(self):
        # Guards against callers that are carried to each server in such a time.
        for count in range(1, SERVERS + 1):
            with self.subTest(count=count):
                for server in self.servers[:count]:
                    server.pause_s = PAUSE_S
                await self.call_for(PLAY_S)
                for server in self.servers[:count]:
                    self.assertLessEqual(server.most_in_a_pause(), ALLOWED)

    async def test_callers_return_after_the_first_pause(self):
        for server in self.servers:
            server.pause_s = PAUSE_S
        answers = await self.call_for(PAUSE_S / 2)
        status, retry_after_s = answers[-1]
        self.assertEqual(status, 503)
        self.assertGreater(retry_after_s, PAUSE_S / 4)
        self.assertLess(retry_after_s, 2 * PAUSE_S)
