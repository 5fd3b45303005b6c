"""Load on a fleet: callers that send requests and note what became of them."""

import asyncio
import dataclasses
import json
import time

import aiohttp

from sequoiagap import base
from sequoiagap.standins import _report

DONE_MARKER = b"data: [DONE]"
KEPT_TAIL_BYTES = 64
DEFAULT_TIMEOUT_S = 30.0
CHARACTERS_PER_KB = 1024


@dataclasses.dataclass(frozen=True)
class AccountLoad:
    """Requests of one client account.

    :param str name: client account; also the label in reports.
    :param float rate: requests a second, at random moments.
    :param str key: its key; ``NAME-key`` by default, as fleets have it.
    :param str model: model to ask for.
    :param bool stream: whether to ask for streams.
    :param int max_tokens: tokens to ask for; 0 leaves it to the engine.
    :param float prompt_kb: length of the prompt, in 1024 characters.
    :param int prefixes: how many different prompts there are; 0 for no prompt.

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
        """Key that its requests show."""
        return self.key or f"{self.name}-key"

    def make_body(self, random_state):
        """Return the JSON body of one request.

        :param random.Random random_state: draws the prompt.
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
    """Sends the requests of several client accounts at once, open loop.

    :param list[str] urls: entries, drawn at random for each request.
    :param list[AccountLoad] loads: what each account sends.
    :param random.Random random_state: source of randomness.
    :param float timeout_s: how long a caller waits, in seconds.

    :ivar LoadBook book_: what became of the requests, by phase and account.
    :ivar str phase_: phase that requests sent from now on belong to.
    """

    def __init__(self, urls, loads, random_state, timeout_s=DEFAULT_TIMEOUT_S):
        self.urls = urls
        self.loads = loads
        self.random_state = random_state
        self.timeout_s = timeout_s
        self.book_ = _report.LoadBook()
        self.phase_ = "all"

    async def run(self, duration_s):
        """Send for a while and wait for the answers.

        :param float duration_s: how long to send, in seconds.
        :rtype: LoadBook
        """
        end = time.monotonic() + duration_s
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=self.timeout_s)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
            asyncio.TaskGroup() as group,
        ):
            for load in self.loads:
                group.create_task(self._send_all(session, group, load, end))
        return self.book_

    async def _send_all(self, session, group, load, end):
        due = time.monotonic()
        while due < end:
            due += self.random_state.expovariate(load.rate)
            await asyncio.sleep(max(due - time.monotonic(), 0))
            url = self.random_state.choice(self.urls)
            report = self.book_.get(self.phase_, load.name)
            body = load.make_body(self.random_state)
            group.create_task(send_one(session, url, load.bearer, report, body))


async def run_load(urls, duration_s, rate, random_state, key="caller-key", stream=True):
    """Send model requests of one account at a mean rate, at random moments.

    :param list[str] urls: entries to send to.
    :param float duration_s: how long, in seconds.
    :param float rate: requests a second.
    :param random.Random random_state: source of randomness.
    :param str key: key of the client account.
    :param bool stream: whether to ask for streams.
    :rtype: LoadReport
    """
    load = AccountLoad("caller", rate, key=key, stream=stream)
    book = await LoadGenerator(urls, [load], random_state).run(duration_s)
    return book.total()


async def send_one(session, url, key, report, body):
    """Send one model request and note what became of it.

    :param aiohttp.ClientSession session: where to send it from.
    :param str url: the entry.
    :param str key: key of the client account.
    :param LoadReport report: where to note it.
    :param dict body: JSON body of the request.
    """
    began = time.monotonic()
    headers = {"Authorization": f"Bearer {key}"}
    path = f"{url}/v1/chat/completions"
    try:
        async with session.post(path, json=body, headers=headers) as response:
            result = await _read(response, report, began, body["stream"])
    except (aiohttp.ClientError, TimeoutError):
        result = "connection_lost"
    report.metrics.observe("total_seconds", time.monotonic() - began)
    report.add(result)


async def _read(response, report, began, stream):
    if response.status != 200:
        return _read_refusal(response, report, await response.read())
    tail = b""
    first = True
    async for data in response.content.iter_any():
        if first:
            report.metrics.observe("first_byte_seconds", time.monotonic() - began)
            first = False
        tail = (tail + data)[-KEPT_TAIL_BYTES:]
    if stream and DONE_MARKER not in tail:
        return "cut"
    return "answered"


def _read_refusal(response, report, text):
    try:
        error = json.loads(text)["error"]
    except (ValueError, KeyError):
        return f"status_{response.status}"
    if "Retry-After" in response.headers:
        report.retry_after_s.append(float(error["retry_after_s"]))
    if error["outcome"] != base.Outcome.NOT_RUN:
        report.unknown += 1
    return error["type"]
