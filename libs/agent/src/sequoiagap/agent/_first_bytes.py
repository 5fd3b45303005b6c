"""Detects attempts whose first byte will never arrive."""

import asyncio
import socket

REPORT_LAG_S = 1.0
MISSING_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 2.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 1


def open_probed_socket(address_info):
    """Return a socket with TCP keepalive probes.

    A dead host, or a connection dropped by a device in between, is thereby detected
    within two seconds.

    :param tuple address_info: result of :func:`socket.getaddrinfo`.
    :rtype: socket.socket
    """
    family, kind, protocol, *_ = address_info
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return sock


class FirstByteWatchdog:
    """Ends waits for a first byte that load reports show to be futile.

    If a report does not contain an attempt, the endpoint does not run it, and its
    answer, if there was one, was lost on a broken connection. Reports lag, so the
    attempt has to be missing for some time. If the endpoint answers no probes at all,
    waits of repeatable attempts end, because another endpoint can run the request;
    other attempts keep waiting, because they have no alternative.

    .. code-block:: python

        wait = first_bytes.begin(order)
        async with asyncio.timeout(20.0) as wait.timer:
            response = await call
            first_bytes.end(wait)
    """

    def __init__(self):
        self._waits = set()
        self._last_report_at = None
        self._reports_requests = False

    def begin(self, order):
        """Start to watch the wait of an attempt.

        :param sequoiagap.wire.Execute order: the attempt.
        :returns: the wait; the caller sets its timer.
        :rtype: FirstByteWait
        """
        wait = FirstByteWait(order, _now())
        self._waits.add(wait)
        return wait

    def end(self, wait):
        """Stop watching a wait.

        :param FirstByteWait wait: the wait; may have ended already.
        """
        self._waits.discard(wait)

    def record_report(self, report, requested_at):
        """Compare a load report with the waiting attempts.

        :param LoadReport report: the endpoint's report.
        :param float requested_at: when the report was requested, on the event loop's
            clock, in seconds.
        """
        self._last_report_at = _now()
        # A report of 0 requests proves nothing if the endpoint has never counted any.
        self._reports_requests |= report.in_flight > 0
        for wait in list(self._waits):
            is_missing = self._reports_requests and not report.may_run(wait.attempt_id)
            if not is_missing or requested_at - wait.began < REPORT_LAG_S:
                wait.missing_since = None
            elif wait.missing_since is None:
                wait.missing_since = requested_at
            elif requested_at - wait.missing_since >= MISSING_TIMEOUT_S:
                wait.expire(
                    "the endpoint does not run the attempt and has sent no answer"
                )

    def record_probe_failure(self):
        """Record that the endpoint did not answer a probe."""
        if (
            self._last_report_at is None
            or _now() - self._last_report_at < SILENCE_TIMEOUT_S
        ):
            return
        for wait in list(self._waits):
            if wait.repeatable and _now() - wait.began >= SILENCE_TIMEOUT_S:
                wait.expire(f"the endpoint answered no probe for {SILENCE_TIMEOUT_S} s")


class FirstByteWait:
    """Wait of one attempt for its first byte.

    :param sequoiagap.wire.Execute order: the attempt.
    :param float began: start of the wait, on the event loop's clock, in seconds.

    :ivar asyncio.Timeout timer: timer that is expired if the wait is futile.
    :ivar missing_since: time since which reports lack the attempt, or ``None``.
    :ivar str end_reason_: why the wait was ended early; empty otherwise.
    """

    def __init__(self, order, began):
        self.attempt_id = order.attempt_id
        self.repeatable = order.repeatable
        self.timer = None
        self.began = began
        self.missing_since = None
        self.end_reason_ = ""

    def expire(self, reason):
        """End the wait early.

        :param str reason: why it is futile.
        """
        self.end_reason_ = reason
        self.timer.reschedule(_now())


def _now():
    return asyncio.get_running_loop().time()
