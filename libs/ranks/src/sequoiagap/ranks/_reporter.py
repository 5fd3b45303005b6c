"""Load reports of the own endpoint to all gateways, sent as datagrams.

Each report goes to every gateway, so the traffic of an agent grows with their number. A
report is therefore sent only when a value that gateways use for routing changes;
otherwise reports are repeated at a long interval to show that the endpoint is alive.
"""

import asyncio
import socket

from sequoiagap import gateway, wire

READING_INTERVAL_S = 0.1
BUSY_INTERVAL_S = 0.05  # each request then matters to the choice of an endpoint
BUSY_SHARE = 0.5  # of the requests that the engine runs concurrently
GROUP_READINGS_PER_S = 400  # in a large group, one endpoint matters less to the choice
MAX_INTERVAL_S = 0.16  # short enough that gateways do not consider the endpoint silent
UNCHANGED_REPORT_INTERVAL_S = 0.25


def reading_interval(report, slots):
    """Return the time until an engine's load is read again.

    :param EngineReport report: newest report, or ``None`` if the engine did not answer.
    :param int slots: number of requests that the engine runs concurrently.
    :returns: time in seconds.
    :rtype: float
    """
    if report is None:
        return BUSY_INTERVAL_S
    is_busy = report.running + report.waiting > BUSY_SHARE * slots
    is_urgent = is_busy or not report.is_open
    interval_s = BUSY_INTERVAL_S if is_urgent else READING_INTERVAL_S
    group_interval_s = min(report.size / GROUP_READINGS_PER_S, MAX_INTERVAL_S)
    return max(interval_s, group_interval_s)


class LoadReporter:
    """Sends the load of the own endpoint's engine to the gateways.

    :param str endpoint: ``address:port`` of the endpoint.
    :param str incarnation: unique id of this run of the agent.
    :param list_gateways: function that returns the :class:`gateway.Node` of each
        registered gateway.
    """

    def __init__(self, endpoint, incarnation, list_gateways):
        self.endpoint = endpoint
        self.incarnation = incarnation
        self.list_gateways = list_gateways
        self._sequence = 0
        self._last_values = None
        self._sent_at = 0.0
        self._transport = None

    async def open(self, host):
        """Open the socket that reports are sent from.

        :param str host: IP address to bind to.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(host, 0), family=socket.AF_INET
        )

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def publish(self, report, slots, now):
        """Send a report to the gateways if its values changed or the last one is old.

        :param EngineReport report: report of the engine.
        :param int slots: number of requests that the engine runs concurrently.
        :param float now: monotonic time in seconds.
        """
        values = (
            report.running,
            report.waiting,
            report.is_open,
            report.epoch,
            report.slowness,
            report.started_ms,
            report.max_requests_s,
            report.is_leaving,
        )
        if (
            values == self._last_values
            and now - self._sent_at < UNCHANGED_REPORT_INTERVAL_S
        ):
            return
        self._last_values, self._sent_at = values, now
        self._sequence += 1
        self._send(self._make_message(report, slots))

    def _make_message(self, report, slots):
        return gateway.EndpointReport(
            endpoint=self.endpoint,
            incarnation=self.incarnation,
            sequence=self._sequence,
            running=report.running,
            waiting=report.waiting,
            slots=slots,
            is_open=report.is_open,
            group=report.group,
            epoch=report.epoch,
            slowness=report.slowness,
            started_ms=report.started_ms,
            max_requests_s=report.max_requests_s,
            is_leaving=report.is_leaving,
        )

    def _send(self, message):
        payload = wire.encode(message)
        for node in self.list_gateways():
            self._transport.sendto(payload, (node.address, node.port))
