"""Load on a fleet: callers that send requests and note what became of them."""

import asyncio
import dataclasses
import time

import aiohttp

from sequoiagap import base

DONE_MARKER = b"data: [DONE]"


@dataclasses.dataclass
class LoadReport:
    """What became of the requests of one run.

    :param sequoiagap.base.Metrics metrics: ``first_byte_seconds`` and
        ``total_seconds``.
    :param dict count_by_result: how many ended as ``answered``, ``cut`` or with
        a kind of refusal.
    """

    metrics: base.Metrics = dataclasses.field(default_factory=base.Metrics)
    count_by_result: dict = dataclasses.field(default_factory=dict)

    def add(self, result):
        """Count one result.

        :param str result: name of the result.
        """
        self.count_by_result[result] = self.count_by_result.get(result, 0) + 1

    @property
    def sent(self):
        """Requests sent."""
        return sum(self.count_by_result.values())


async def run_load(urls, duration_s, rate, random_state, key="caller-key", stream=True):
    """Send model requests at a mean rate, at random moments.

    :param list[str] urls: entries to send to.
    :param float duration_s: how long, in seconds.
    :param float rate: requests a second.
    :param random.Random random_state: source of randomness.
    :param str key: key of the client account.
    :param bool stream: whether to ask for streams.
    :rtype: LoadReport
    """
    report = LoadReport()
    end = time.monotonic() + duration_s
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        asyncio.TaskGroup() as group,
    ):
        while time.monotonic() < end:
            url = random_state.choice(urls)
            group.create_task(send_one(session, url, key, report, stream))
            await asyncio.sleep(random_state.expovariate(rate))
    return report


async def send_one(session, url, key, report, stream=True):
    """Send one model request and note what became of it.

    :param aiohttp.ClientSession session: where to send it from.
    :param str url: the entry.
    :param str key: key of the client account.
    :param LoadReport report: where to note it.
    :param bool stream: whether to ask for a stream.
    """
    began = time.monotonic()
    body = {"model": "desk-model", "stream": stream, "messages": []}
    headers = {"Authorization": f"Bearer {key}"}
    path = f"{url}/v1/chat/completions"
    try:
        async with session.post(path, json=body, headers=headers) as response:
            result = await _read(response, report, began, stream)
    except (aiohttp.ClientError, TimeoutError):
        result = "connection_lost"
    report.metrics.observe("total_seconds", time.monotonic() - began)
    report.add(result)


async def _read(response, report, began, stream):
    if response.status != 200:
        document = await response.json()
        return document["error"]["type"]
    tail = b""
    first = True
    async for data in response.content.iter_any():
        if first:
            report.metrics.observe("first_byte_seconds", time.monotonic() - began)
            first = False
        tail = (tail + data)[-64:]
    if stream and DONE_MARKER not in tail:
        return "cut"
    return "answered"
