"""HTTP sessions whose kept-alive connections are replaced together on failure."""

import functools

import aiohttp

from sequoiagap import base, wire

# Callers limit the time with asyncio.timeout instead: a timeout of aiohttp that fires
# in the same iteration of the event loop as a cancellation swallows the cancellation.
UNTIMED = aiohttp.ClientTimeout(total=None)


class HttpSessions:
    """Lends a shared client session and replaces it after a failure.

    The cause that broke one kept-alive connection may have broken all of them
    without notice, so none is reused. Calls in progress on the old session continue.

    Sessions have no timeout; callers limit their calls with ``asyncio.timeout``.

    :param dict options: arguments of each :class:`aiohttp.ClientSession`, except
        connector and timeout.
    :param socket_factory: function that opens a socket for an address info; that
        of aiohttp by default.
    :param int max_body_bytes: longest body of an answer, or ``None`` for no limit.

    .. code-block:: python

        with sessions.borrow() as session:
            async with session.get(url) as response:
                ...
    """

    def __init__(self, options=None, socket_factory=None, max_body_bytes=None):
        self.options = options or {}
        self.socket_factory = socket_factory
        self.max_body_bytes = max_body_bytes
        self._current = None
        self._count_by_session = {}
        self._closing = base.TaskSet()

    def borrow(self):
        """Return a context manager whose value is the session to use.

        :rtype: contextlib.AbstractContextManager
        """
        if self._current is None or self._current.closed:
            connector = aiohttp.TCPConnector(
                limit=0, socket_factory=self.socket_factory
            )
            self._current = aiohttp.ClientSession(
                connector=connector,
                timeout=UNTIMED,
                response_class=functools.partial(
                    wire.BoundedResponse, max_body_bytes=self.max_body_bytes
                ),
                **self.options,
            )
        return _BorrowedSession(self, self._current)

    def renew(self, failed):
        """Replace a session, so that none of its open connections is reused.

        :param aiohttp.ClientSession failed: borrowed session that failed; it may
            have been replaced already.
        """
        if failed is self._current:
            self._current = None

    async def close(self):
        """Close all connections of all sessions."""
        open_sessions = set(self._count_by_session)
        if self._current is not None:
            open_sessions.add(self._current)
        for session in open_sessions:
            await session.close()
        await self._closing.close()

    def _acquire(self, session):
        self._count_by_session[session] = self._count_by_session.get(session, 0) + 1

    def _release(self, session):
        self._count_by_session[session] -= 1
        if self._count_by_session[session]:
            return
        del self._count_by_session[session]
        if session is not self._current:
            self._closing.start(session.close(), "close-session")


class _BorrowedSession:
    """Context manager that counts the users of a session."""

    def __init__(self, sessions, session):
        self.sessions = sessions
        self.session = session

    def __enter__(self):
        self.sessions._acquire(self.session)
        return self.session

    def __exit__(self, *exc_info):
        self.sessions._release(self.session)
