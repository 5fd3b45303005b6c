"""Attempts that wait for a first byte which may never come."""

import asyncio
import socket

REPORT_LAG_S = 1.0
MISSING_S = 1.0
SILENT_S = 2.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1


def open_probed_socket(address_info):
    """Return a socket that the system probes while it is idle.

    A dead host, or a connection that something between has forgotten, is so found
    within two seconds.

    :param tuple address_info: what :func:`socket.getaddrinfo` returned.
    :rtype: socket.socket
    """
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


class FirstBytes:
    """Ends waits for a first byte that the endpoint's reports show to be vain.

    A report that lacks an attempt says that its answer, if there was one, is lost
    on a silent connection. Reports lag, so it has to be lacking for a while. Where
    the endpoint answers no probe at all, attempts that may be repeated end, as
    another endpoint can be asked; the others wait, as nothing else could be had.

    .. code-block:: python

        wait = first_bytes.begin(order)
        async with asyncio.timeout(20.0) as wait.timer:
            response = await call
            first_bytes.end(wait)
    """

    def __init__(self):
        self._waits = set()
        self._heard_at = None
        self._has_counted = False

    def begin(self, order):
        """Let reports end the wait of an attempt.

        :param sequoiagap.wire.Execute order: the attempt.
        :returns: the wait; its timer is to be set.
        :rtype: Wait
        """
        wait = Wait(order, _now())
        self._waits.add(wait)
        return wait

    def end(self, wait):
        """Note that a wait is over.

        :param Wait wait: the wait; may be over already.
        """
        self._waits.discard(wait)

    def take_report(self, report, asked_at):
        """Compare a report with the attempts that wait.

        :param LoadReport report: what the endpoint says that it runs.
        :param float asked_at: when it was asked, on the clock of the event loop.
        """
        self._heard_at = _now()
        # One that never counted a request can't say that it runs none.
        self._has_counted |= report.in_flight > 0
        for wait in list(self._waits):
            is_lacking = self._has_counted and not report.may_run(wait.attempt_id)
            if not is_lacking or asked_at - wait.began < REPORT_LAG_S:
                wait.missing_since = None
            elif wait.missing_since is None:
                wait.missing_since = asked_at
            elif asked_at - wait.missing_since >= MISSING_S:
                wait.give_up("the endpoint does not run it and has sent no answer")

    def take_silence(self):
        """Note that the endpoint did not answer a probe."""
        if self._heard_at is None or _now() - self._heard_at < SILENT_S:
            return
        for wait in list(self._waits):
            if wait.repeatable and _now() - wait.began >= SILENT_S:
                wait.give_up(f"the endpoint answered no probe for {SILENT_S} s")


class Wait:
    """One attempt's wait for its first byte.

    :param sequoiagap.wire.Execute order: the attempt.
    :param float began: when it began, on the clock of the event loop.

    :ivar asyncio.Timeout timer: is made to expire if the wait is vain.
    :ivar missing_since: since when reports lack the attempt, or ``None``.
    :ivar str vain_: why the wait was ended, or empty.
    """

    def __init__(self, order, began):
        self.attempt_id = order.attempt_id
        self.repeatable = order.repeatable
        self.timer = None
        self.began = began
        self.missing_since = None
        self.vain_ = ""

    def give_up(self, reason):
        """End the wait.

        :param str reason: why it is vain.
        """
        self.vain_ = reason
        self.timer.reschedule(_now())


def _now():
    return asyncio.get_running_loop().time()
