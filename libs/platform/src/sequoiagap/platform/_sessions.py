"""Kept-alive HTTP connections that are given up together."""

import aiohttp

from sequoiagap import base

# Calls are bounded by asyncio.timeout: a timer of aiohttp that ends a request in
# the same turn of the event loop as a cancellation from outside swallows the latter.
UNTIMED = aiohttp.ClientTimeout(total=None)


class HttpSessions:
    """Lends a client session; after a failure a fresh one takes its place.

    What lost one kept-alive connection may have lost them all unseen, so none
    of them is used again. Calls under way over the old session go on.

    The sessions bound no call: whoever borrows one does, by ``asyncio.timeout``.

    :param dict options: arguments of each :class:`aiohttp.ClientSession` but its
        connector and timeout.
    :param socket_factory: function of an address information that opens sockets;
        the library's own by default.

    .. code-block:: python

        with sessions.borrow() as session:
            async with session.get(url) as response:
                ...
    """

    def __init__(self, options=None, socket_factory=None):
        self.options = options or {}
        self.socket_factory = socket_factory
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
                connector=connector, timeout=UNTIMED, **self.options
            )
        return _Loan(self, self._current)

    def renew(self, failed):
        """Use no open connection of a session again.

        :param aiohttp.ClientSession failed: the borrowed session that failed; it
            may have been replaced already.
        """
        if failed is self._current:
            self._current = None

    async def close(self):
        """Close every connection."""
        open_sessions = set(self._count_by_session)
        if self._current is not None:
            open_sessions.add(self._current)
        for session in open_sessions:
            await session.close()
        await self._closing.close()

    def _enter(self, session):
        self._count_by_session[session] = self._count_by_session.get(session, 0) + 1

    def _leave(self, session):
        self._count_by_session[session] -= 1
        if self._count_by_session[session]:
            return
        del self._count_by_session[session]
        if session is not self._current:
            self._closing.start(session.close(), "close-session")


class _Loan:
    def __init__(self, sessions, session):
        self.sessions = sessions
        self.session = session

    def __enter__(self):
        self.sessions._enter(self.session)
        return self.session

    def __exit__(self, *exc_info):
        self.sessions._leave(self.session)
