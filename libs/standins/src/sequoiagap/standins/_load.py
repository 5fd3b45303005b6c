"""Load generator that sends model requests and records their results."""

import asyncio
import dataclasses
import json
import time

import aiohttp

from sequoiagap import base
from sequoiagap.standins import _report

DONE_MARKER = b"data: [DONE]"
TAIL_BYTES = 64
DEFAULT_TIMEOUT_S = 30.0
CHARACTERS_PER_KB = 1024


@dataclasses.dataclass(frozen=True)
class AccountLoad:
    """Describes the load of one client account.

    :param str name: client account; also its label in reports.
    :param float rate: mean rate of a Poisson process, in requests per second.
    :param str key: key of the account; ``NAME-key`` by default, as in fleets.
    :param str model: model to request.
    :param bool stream: whether to request streams.
    :param int max_tokens: requested tokens; 0 for the engine's default.
    :param float prompt_kb: length of the prompt, in units of 1024 characters.
    :param int prefixes: number of different prompts; 0 for no prompt.

    >>> AccountLoad("guild", rate=5.0).bearer
    'guild-key'
    """

    name: str
    rate: float
    key: str = ""
    model: str = "desk-model"
    stream: bool = True
    max_tokens: int = 0
    prompt_kb: float = 0.0
    prefixes: int = 0

    @property
    def bearer(self):
        """Key sent with its requests."""
        return self.key or f"{self.name}-key"

    def make_body(self, random_state):
        """Return the JSON body of one request.

        :param random.Random random_state: source of randomness for the prompt.
        :rtype: dict
        """
        body = {"model": self.model, "stream": self.stream, "messages": []}
        if self.max_tokens:
            body["max_tokens"] = self.max_tokens
        if self.prefixes:
            number = random_state.randrange(self.prefixes)
            text = f"{self.name} prompt {number} "
            length = int(self.prompt_kb * CHARACTERS_PER_KB)
            content = (text * (length // len(text) + 1))[:length]
            body["messages"] = [{"role": "user", "content": content}]
        return body


class LoadGenerator:
    """Sends the requests of several client accounts concurrently, in an open loop.

    :param list[str] urls: URLs of entries; one is drawn for each request.
    :param list[AccountLoad] loads: load of each account.
    :param random.Random random_state: source of randomness.
    :param float timeout_s: timeout of a request, in seconds.

    :ivar LoadReports reports_: results by phase and account.
    :ivar str phase_: phase of the requests that are sent from now on.
    """

    def __init__(self, urls, loads, random_state, timeout_s=DEFAULT_TIMEOUT_S):
        self.urls = urls
        self.loads = loads
        self.random_state = random_state
        self.timeout_s = timeout_s
        self.reports_ = _report.LoadReports()
        self.phase_ = "all"

    async def run(self, duration_s):
        """Send requests for a time and wait until all have ended.

        :param float duration_s: time for which requests are sent, in seconds.
        :rtype: LoadReports
        """
        end = time.monotonic() + duration_s
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            asyncio.TaskGroup() as group,
        ):
            for load in self.loads:
                group.create_task(self._send_for_account(session, group, load, end))
        return self.reports_

    async def _send_for_account(self, session, group, load, end):
        send_at = time.monotonic()
        while send_at < end:
            send_at += self.random_state.expovariate(load.rate)
            await asyncio.sleep(max(send_at - time.monotonic(), 0))
            url = self.random_state.choice(self.urls)
            report = self.reports_.get(self.phase_, load.name)
            body = load.make_body(self.random_state)
            group.create_task(send_one(session, url, load.bearer, report, body))


async def run_load(urls, duration_s, rate, random_state, key="caller-key", stream=True):
    """Send model requests of one account as a Poisson process.

    :param list[str] urls: URLs of entries.
    :param float duration_s: time for which requests are sent, in seconds.
    :param float rate: mean rate, in requests per second.
    :param random.Random random_state: source of randomness.
    :param str key: key of the client account.
    :param bool stream: whether to request streams.
    :rtype: LoadReport
    """
    load = AccountLoad("caller", rate, key=key, stream=stream)
    reports = await LoadGenerator(urls, [load], random_state).run(duration_s)
    return reports.total()


async def send_one(session, url, key, report, body):
    """Send one model request and record its result.

    :param aiohttp.ClientSession session: session that sends it.
    :param str url: URL of the entry.
    :param str key: key of the client account.
    :param LoadReport report: report that receives the result.
    :param dict body: JSON body of the request.
    """
    started_at = time.monotonic()
    headers = {"Authorization": f"Bearer {key}"}
    path = f"{url}/v1/chat/completions"
    try:
        async with session.post(path, json=body, headers=headers) as response:
            result = await _read(response, report, started_at, body["stream"])
    except (aiohttp.ClientError, TimeoutError):
        result = "connection_lost"
    report.metrics.observe("total_seconds", time.monotonic() - started_at)
    report.add(result)


async def _read(response, report, started_at, stream):
    if response.status != 200:
        return _read_rejection(response, report, await response.read())
    tail = b""
    first = True
    async for data in response.content.iter_any():
        if first:
            report.metrics.observe("first_byte_seconds", time.monotonic() - started_at)
            first = False
        tail = (tail + data)[-TAIL_BYTES:]
    if stream and DONE_MARKER not in tail:
        return "cut"
    return "answered"


def _read_rejection(response, report, text):
    try:
        error = json.loads(text)["error"]
    except (ValueError, KeyError):
        return f"status_{response.status}"
    if "Retry-After" in response.headers:
        report.retry_after_s.append(float(error["retry_after_s"]))
    if error["outcome"] != base.Outcome.NOT_RUN:
        report.unknown += 1
    return error["type"]
