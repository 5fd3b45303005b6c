"""HTTP client of the endpoint that the agent serves."""

import asyncio

import aiohttp

from sequoiagap import base, platform, wire
from sequoiagap.agent import _first_bytes, _load_report, _observer

CHUNK_BYTES = 16384
MAX_REPORT_BYTES = 64 * 1024
PROBE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_CALLS_PER_ATTEMPT = 5
ERROR_STATUS = 400
FORWARDED_HEADERS = (
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
    "retry-after",
)
SKIPPED_HEADERS = ("Accept-Encoding", "User-Agent")
ATTEMPT_HEADER = "X-Request-Id"
KEY_HEADER = "X-Sequoiagap-Request"
RESUME_HEADER = "X-Resume-Offset"

_SESSION_OPTIONS = {"auto_decompress": False}

_log = base.get_logger("endpoint")


class EndpointError(base.SequoiagapError):
    """An attempt ended without a complete answer of the endpoint.

    :param str message: what happened.
    :param bool sent: whether the endpoint may have started to run the attempt.
    :param bool resumable: whether the rest of the answer may be requested over a
        new connection.
    """

    def __init__(self, message, sent, resumable=True):
        super().__init__(message, "Check the endpoint's own log")
        self.sent = sent
        self.resumable = resumable


class EndpointClient:
    """Sends attempts and load probes to one endpoint.

    Repeatable attempts share a pool of kept-alive connections; after a failure the
    whole pool is replaced. Every other attempt uses a new connection: a kept-alive
    one may be broken without notice.

    :param sequoiagap.settings.EndpointSettings settings: URL and timeouts of the
        endpoint.
    :param sequoiagap.admission.EndpointGate gate: records the result of each
        attempt.
    """

    def __init__(self, settings, gate):
        self.settings = settings
        self.gate = gate
        self._sessions = platform.HttpSessions(
            _SESSION_OPTIONS, _first_bytes.open_probed_socket
        )
        self._single_use_session = None
        self._watchdog = _first_bytes.FirstByteWatchdog()

    async def open(self):
        """Open the client sessions."""
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=True,
            socket_factory=_first_bytes.open_probed_socket,
        )
        self._single_use_session = aiohttp.ClientSession(
            connector=connector,
            timeout=platform.UNTIMED,
            response_class=wire.BoundedResponse,
            **_SESSION_OPTIONS,
        )

    async def close(self):
        """Close the client sessions."""
        await self._sessions.close()
        await self._single_use_session.close()

    async def fetch_report(self):
        """Return the endpoint's load report, or ``None`` if it gives no usable one.

        :rtype: LoadReport | None
        """
        url = f"{self.settings.url}/load"
        requested_at = asyncio.get_running_loop().time()
        with self._sessions.borrow() as session:
            try:
                async with (
                    asyncio.timeout(PROBE_TIMEOUT_S),
                    session.get(url) as response,
                ):
                    response.limit_body(MAX_REPORT_BYTES)
                    report = _load_report.from_document(await response.json())
            except (aiohttp.ClientError, TimeoutError) as error:
                self._discard_connections(session, error)
                self._watchdog.record_probe_failure()
                return None
            except (ValueError, KeyError):
                return None
        self._watchdog.record_report(report, requested_at)
        return report

    async def call(self, order, on_head, on_data):
        """Run one attempt and forward its answer as it arrives.

        If the engine can resume streams, an answer whose connection breaks or stalls
        continues over a new connection, from the number of bytes received.

        :param sequoiagap.wire.Execute order: the attempt.
        :param on_head: coroutine function of status and headers.
        :param on_data: coroutine function of bytes.
        :raises EndpointError: if the answer is incomplete.
        """
        answer = _AnswerRelay(on_head, on_data)
        try:
            await self._call_resuming(order, answer)
        except asyncio.CancelledError:
            await self._cancel_at_engine(order)
            raise

    async def _call_resuming(self, order, answer):
        for _ in range(MAX_CALLS_PER_ATTEMPT):
            try:
                await self._call_once(order, answer)
                return
            except EndpointError as error:
                if not (self.settings.resumes and error.sent and error.resumable):
                    raise
                answer.resuming = True
                _log.emit(
                    base.Event.STREAM_RESUMED,
                    request_id=order.request_id,
                    attempt_id=order.attempt_id,
                    offset=answer.size,
                    error=error.message,
                )
        raise EndpointError("the stream was interrupted too often", True)

    async def _call_once(self, order, answer):
        if not order.repeatable:
            await self._call_over(self._single_use_session, order, answer)
            return
        with self._sessions.borrow() as session:
            await self._call_over(session, order, answer)

    async def _call_over(self, session, order, answer):
        observer = _observer.AttemptObserver(self.gate)
        try:
            await self._exchange(session, order, answer, observer)
            observer.record_complete()
        except aiohttp.ClientConnectorError as error:
            observer.record_failure()
            raise EndpointError(
                f"endpoint can't be reached: {error}", answer.resuming
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            observer.record_failure()
            self._discard_connections(
                session, error, order.request_id, order.attempt_id
            )
            raise EndpointError(f"endpoint failed: {error!r}", True) from error

    async def _exchange(self, session, order, answer, observer):
        call = session.request(
            order.method,
            self.settings.url + order.path,
            data=order.body,
            headers=_make_headers(order, answer),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
            middlewares=(wire.send_once,),
        )
        timeout_s = self._first_byte_timeout_s()
        wait = self._watchdog.begin(order)
        try:
            async with asyncio.timeout(timeout_s) as wait.timer:
                response = await call
                self._watchdog.end(wait)
                await self._read_answer(response, order, answer, wait.timer, observer)
        except TimeoutError as error:
            raise TimeoutError(
                wait.end_reason_ or "no answer within the timeout"
            ) from error
        finally:
            self._watchdog.end(wait)

    async def _read_answer(self, response, order, answer, timer, observer):
        """Forward the answer of the endpoint.

        The timer runs only while the client waits for the endpoint, not while the
        receiver of the answer is slow.
        """
        loop = asyncio.get_running_loop()
        between_bytes_s = self.settings.between_bytes_timeout_s
        try:
            observer.record_head(response.status, response.headers)
            _check_echoed_id(order, response)
            await answer.relay_head(response)
            data = await response.content.readany()
            while data:
                timer.reschedule(None)
                observer.record_data()
                await answer.relay_data(data)
                timer.reschedule(loop.time() + between_bytes_s)
                data = await response.content.readany()
        finally:
            # A connection is reused only if its answer was read to the end.
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    def _first_byte_timeout_s(self):
        if self.settings.resumes:
            return self.settings.between_bytes_timeout_s
        return self.settings.first_byte_timeout_s

    def _discard_connections(self, session, error, request_id="", attempt_id=""):
        """Replace all kept-alive connections after a failure.

        The cause of one broken connection may have broken the others too.
        """
        _log.emit(
            base.Event.CONNECTION_SUSPECT,
            request_id=request_id,
            attempt_id=attempt_id,
            error=repr(error),
        )
        self._sessions.renew(session)

    async def _cancel_at_engine(self, order):
        """Cancel a stream that a resuming engine would otherwise keep."""
        if not self.settings.resumes:
            return
        url = f"{self.settings.url}/streams/{order.attempt_id}"
        request = self._single_use_session.delete(url)
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S), request:
                return
        except (aiohttp.ClientError, TimeoutError):
            return


class _AnswerRelay:
    """Forwards the answer of an attempt, over one or several connections."""

    def __init__(self, on_head, on_data):
        self.on_head = on_head
        self.on_data = on_data
        self.resuming = False
        self.size = 0
        self._has_head = False

    async def relay_head(self, response):
        if self.resuming and response.status >= ERROR_STATUS:
            raise EndpointError(
                f"the engine can't resume: status {response.status}",
                sent=True,
                resumable=False,
            )
        if not self._has_head:
            self._has_head = True
            await self.on_head(
                response.status, _select_forwarded_headers(response.headers)
            )

    async def relay_data(self, data):
        for start in range(0, len(data), CHUNK_BYTES):
            piece = data[start : start + CHUNK_BYTES]
            self.size += len(piece)
            await self.on_data(piece)


def _make_headers(order, answer):
    headers = order.headers | {
        ATTEMPT_HEADER: order.attempt_id,
        KEY_HEADER: order.idempotency_key or order.request_id,
    }
    if answer.resuming:
        headers[RESUME_HEADER] = str(answer.size)
    return headers


def _check_echoed_id(order, response):
    echoed = response.headers.get(ATTEMPT_HEADER, order.attempt_id)
    if echoed != order.attempt_id:
        raise EndpointError(
            f"endpoint returned the answer of attempt {echoed}", True, False
        )


def _select_forwarded_headers(headers):
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
