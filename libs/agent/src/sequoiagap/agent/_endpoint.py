"""HTTP calls from the agent to the endpoint beside it."""

import dataclasses

import aiohttp

from sequoiagap import base
from sequoiagap.agent import _observer

CHUNK_BYTES = 65536
PROBE_TIMEOUT_S = 1.0
FORWARDED_HEADERS = ("content-type",)
ATTEMPT_HEADER = "X-Request-Id"
KEY_HEADER = "X-Sequoiagap-Request"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an endpoint says of itself; it lags.

    :param str start_id: changes whenever the endpoint starts anew.
    :param bool cold: whether it calls itself cold.
    :param int in_flight: requests that run there.
    """

    start_id: str
    cold: bool
    in_flight: int


class EndpointError(base.SequoiagapError):
    """The endpoint failed an attempt.

    :param str message: what happened.
    :param bool sent: whether the endpoint may have begun to run it.
    """

    def __init__(self, message, sent):
        super().__init__(message, "Look at the endpoint's own log")
        self.sent = sent


class EndpointClient:
    """Calls one endpoint.

    :param sequoiagap.settings.EndpointSettings settings: where it is and how
        long to wait for it.
    :param sequoiagap.admission.EndpointGate gate: is told how attempts end.
    """

    def __init__(self, settings, gate):
        self.settings = settings
        self.gate = gate
        self._session = None

    async def open(self):
        """Open the client session."""
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def close(self):
        """Close the client session."""
        await self._session.close()

    async def report(self):
        """Return the endpoint's load report, or ``None`` if it gives none.

        :rtype: LoadReport | None
        """
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        url = f"{self.settings.url}/load"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                document = await response.json()
                return LoadReport(
                    document["start_id"], document["cold"], document["in_flight"]
                )
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            return None

    async def call(self, order, on_head, on_data):
        """Run one attempt and pass its answer on as it comes.

        :param sequoiagap.wire.Execute order: the attempt.
        :param on_head: coroutine function of status and headers.
        :param on_data: coroutine function of bytes.
        :raises EndpointError: if the answer is not whole.
        """
        timeout = aiohttp.ClientTimeout(
            total=order.deadline_ms / 1000,
            sock_connect=PROBE_TIMEOUT_S,
            sock_read=self.settings.first_byte_timeout_s,
        )
        headers = order.headers | {
            ATTEMPT_HEADER: order.attempt_id,
            KEY_HEADER: order.idempotency_key or order.request_id,
        }
        call = self._session.request(
            order.method,
            self.settings.url + order.path,
            data=order.body,
            headers=headers,
            timeout=timeout,
        )
        observer = _observer.AttemptObserver(self.gate)
        try:
            async with call as response:
                observer.head(response.status, response.headers)
                self._check_echo(order, response)
                await on_head(response.status, _forwarded(response.headers))
                async for data in response.content.iter_chunked(CHUNK_BYTES):
                    observer.data()
                    await on_data(data)
            observer.done()
        except aiohttp.ClientConnectorError as error:
            observer.failed(error)
            raise EndpointError(f"endpoint can't be reached: {error}", False) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            observer.failed(error)
            raise EndpointError(f"endpoint failed: {error!r}", True) from error

    def _check_echo(self, order, response):
        echoed = response.headers.get(ATTEMPT_HEADER, order.attempt_id)
        if echoed != order.attempt_id:
            raise EndpointError(f"endpoint answered {echoed} instead", True)


def _forwarded(headers):
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
