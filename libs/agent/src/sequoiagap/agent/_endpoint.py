"""HTTP calls from the agent to the endpoint beside it."""

import asyncio

import aiohttp

from sequoiagap import base, platform
from sequoiagap.agent import _first_bytes, _load_report, _observer

CHUNK_BYTES = 16384
PROBE_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
MAX_RESUMES = 5
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
    """The endpoint failed an attempt.

    :param str message: what happened.
    :param bool sent: whether the endpoint may have begun to run it.
    :param bool resumable: whether a new connection may go on with the answer.
    """

    def __init__(self, message, sent, resumable=True):
        super().__init__(message, "Look at the endpoint's own log")
        self.sent = sent
        self.resumable = resumable


class EndpointClient:
    """Calls one endpoint.

    Repeatable attempts share kept-alive connections; after a failure none of
    them is used again. Any other attempt has a connection of its own, as a
    kept-alive one may be dead unseen and the HTTP library sends some methods
    twice over such a connection.

    :param sequoiagap.settings.EndpointSettings settings: where it is and how
        long to wait for it.
    :param sequoiagap.admission.EndpointGate gate: is told how attempts end.
    """

    def __init__(self, settings, gate):
        self.settings = settings
        self.gate = gate
        self._sessions = platform.HttpSessions(
            _SESSION_OPTIONS, _first_bytes.open_probed_socket
        )
        self._single_use_session = None
        self._first_bytes = _first_bytes.FirstBytes()

    async def open(self):
        """Open the client sessions."""
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=True,
            socket_factory=_first_bytes.open_probed_socket,
        )
        self._single_use_session = aiohttp.ClientSession(
            connector=connector, timeout=platform.UNTIMED, **_SESSION_OPTIONS
        )

    async def close(self):
        """Close the client sessions."""
        await self._sessions.close()
        await self._single_use_session.close()

    async def report(self):
        """Return the endpoint's load report, or ``None`` if it gives none.

        :rtype: LoadReport | None
        """
        url = f"{self.settings.url}/load"
        asked_at = asyncio.get_running_loop().time()
        with self._sessions.borrow() as session:
            try:
                async with (
                    asyncio.timeout(PROBE_TIMEOUT_S),
                    session.get(url) as response,
                ):
                    report = _load_report.from_document(await response.json())
            except (aiohttp.ClientError, TimeoutError) as error:
                self._suspect(session, error)
                self._first_bytes.take_silence()
                return None
            except (ValueError, KeyError):
                return None
        self._first_bytes.take_report(report, asked_at)
        return report

    async def call(self, order, on_head, on_data):
        """Run one attempt and pass its answer on as it comes.

        Where the engine can resume, a cut or silent stream goes on at its offset
        over a new connection.

        :param sequoiagap.wire.Execute order: the attempt.
        :param on_head: coroutine function of status and headers.
        :param on_data: coroutine function of bytes.
        :raises EndpointError: if the answer is not whole.
        """
        answer = _Answer(on_head, on_data)
        try:
            await self._call_resuming(order, answer)
        except asyncio.CancelledError:
            await self._cancel_at_engine(order)
            raise

    async def _call_resuming(self, order, answer):
        for _ in range(MAX_RESUMES):
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
        raise EndpointError("the stream broke off too often", True)

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
            observer.done()
        except aiohttp.ClientConnectorError as error:
            observer.failed()
            raise EndpointError(
                f"endpoint can't be reached: {error}", answer.resuming
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            observer.failed()
            self._suspect(session, error, order.request_id, order.attempt_id)
            raise EndpointError(f"endpoint failed: {error!r}", True) from error

    async def _exchange(self, session, order, answer, observer):
        call = session.request(
            order.method,
            self.settings.url + order.path,
            data=order.body,
            headers=_headers(order, answer),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
        )
        bound_s = self._first_byte_timeout_s()
        wait = self._first_bytes.begin(order)
        try:
            async with asyncio.timeout(bound_s) as wait.timer:
                response = await call
                self._first_bytes.end(wait)
                await self._read_answer(response, order, answer, wait.timer, observer)
        except TimeoutError as error:
            raise TimeoutError(wait.vain_ or "no answer in time") from error
        finally:
            self._first_bytes.end(wait)

    async def _read_answer(self, response, order, answer, timer, observer):
        """Pass an answer on; the timer runs only while the endpoint is awaited."""
        loop = asyncio.get_running_loop()
        between_s = self.settings.between_bytes_timeout_s
        try:
            observer.head(response.status, response.headers)
            _check_echo(order, response)
            await answer.take_head(response)
            data = await response.content.readany()
            while data:
                timer.reschedule(None)
                observer.data()
                await answer.take_data(data)
                timer.reschedule(loop.time() + between_s)
                data = await response.content.readany()
        finally:
            # A connection whose answer was not read to its end is not used again.
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    def _first_byte_timeout_s(self):
        if self.settings.resumes:
            return self.settings.between_bytes_timeout_s
        return self.settings.first_byte_timeout_s

    def _suspect(self, session, error, request_id="", attempt_id=""):
        """Use no kept-alive connection again: what lost one may have lost all."""
        _log.emit(
            base.Event.CONNECTION_SUSPECT,
            request_id=request_id,
            attempt_id=attempt_id,
            error=repr(error),
        )
        self._sessions.renew(session)

    async def _cancel_at_engine(self, order):
        """Tell an engine that holds cut streams that this one is not wanted."""
        if not self.settings.resumes:
            return
        url = f"{self.settings.url}/streams/{order.attempt_id}"
        request = self._single_use_session.delete(url)
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S), request:
                return
        except (aiohttp.ClientError, TimeoutError):
            return


class _Answer:
    """Where the answer of an attempt goes, over one or several connections."""

    def __init__(self, on_head, on_data):
        self.on_head = on_head
        self.on_data = on_data
        self.resuming = False
        self.size = 0
        self._has_head = False

    async def take_head(self, response):
        if self.resuming and response.status >= ERROR_STATUS:
            raise EndpointError(
                f"the engine can't resume: status {response.status}",
                sent=True,
                resumable=False,
            )
        if not self._has_head:
            self._has_head = True
            await self.on_head(response.status, _forwarded(response.headers))

    async def take_data(self, data):
        for start in range(0, len(data), CHUNK_BYTES):
            piece = data[start : start + CHUNK_BYTES]
            self.size += len(piece)
            await self.on_data(piece)


def _headers(order, answer):
    headers = order.headers | {
        ATTEMPT_HEADER: order.attempt_id,
        KEY_HEADER: order.idempotency_key or order.request_id,
    }
    if answer.resuming:
        headers[RESUME_HEADER] = str(answer.size)
    return headers


def _check_echo(order, response):
    echoed = response.headers.get(ATTEMPT_HEADER, order.attempt_id)
    if echoed != order.attempt_id:
        raise EndpointError(f"endpoint answered {echoed} instead", True, False)


def _forwarded(headers):
    return {name: headers[name] for name in FORWARDED_HEADERS if name in headers}
