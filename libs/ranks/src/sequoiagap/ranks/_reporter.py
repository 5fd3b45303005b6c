"""Reports of the own endpoint's load to all gateways, by datagram.

The load that it answers: each report goes to every gateway, so what an agent sends
grows with them. Only what a gateway decides by is told, and only when it changes;
otherwise a report tells from time to time that the endpoint lives.
"""

import asyncio
import socket

from sequoiagap import gateway, wire

READING_INTERVAL_S = 0.1
BUSY_INTERVAL_S = 0.05  # where each request more or less matters to a choice
BUSY_SHARE = 0.5  # of the requests that the engine runs at once
GROUP_READINGS_PER_S = 400  # among many endpoints one matters less to a choice
MAX_INTERVAL_S = 0.16  # so that an endpoint is heard of before it counts as silent
UNCHANGED_REPORT_INTERVAL_S = 0.25  # an unchanged report is sent again after this long


def reading_interval(report, slots):
    """Return when to read an engine's load again.

    :param EngineReport report: the newest one, or ``None`` without an answer.
    :param int slots: requests that the engine runs at once.
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
    """Tells gateways what the own endpoint's engine reports.

    :param str endpoint: ``address:port`` of the endpoint.
    :param str incarnation: fresh id of this run of the agent.
    :param list_gateways: function that returns the registered gateways'
        :class:`gateway.Node`.
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
        """Open the socket to send from.

        :param str host: IP address.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, local_addr=(host, 0), family=socket.AF_INET
        )

    def close(self):
        """Send no more."""
        if self._transport is not None:
            self._transport.close()

    def publish(self, report, slots, now):
        """Tell the gateways, if they don't know it or have not heard for a while.

        :param EngineReport report: what the engine says.
        :param int slots: requests that it runs at once.
        :param float now: monotonic time in seconds.
        """
        values = (
            report.running,
            report.waiting,
            report.is_open,
            report.epoch,
            report.slowness,
            report.started_ms,
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
        )

    def _send(self, message):
        payload = wire.encode(message)
        for node in self.list_gateways():
            self._transport.sendto(payload, (node.address, node.port))
