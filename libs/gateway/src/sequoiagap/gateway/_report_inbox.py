"""Receives the agents' load reports as datagrams.

Each of some tens of agents reports to every gateway several times per second. Reading
the datagrams in batches wakes the process no more often for a hundred agents than for
ten.
"""

import asyncio
import socket

from sequoiagap import base, wire
from sequoiagap.gateway import _messages

DRAIN_INTERVAL_S = 0.02
MAX_DRAINED = 512  # datagrams per batch, so that callers do not wait behind them
MAX_DATAGRAM_BYTES = 2048


class ReportInbox:
    """Reads the reports that have arrived, a few times each tenth of a second.

    :param handle_report: function that receives each :class:`EndpointReport`.
    """

    def __init__(self, handle_report):
        self.handle_report = handle_report
        self._socket = None

    def open(self, host, port):
        """Open the socket for datagrams.

        :param str host: IP address.
        :param int port: UDP port.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def close(self):
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()

    async def run(self):
        """Read reports until cancelled."""
        while True:
            self.drain()
            await asyncio.sleep(DRAIN_INTERVAL_S)

    def drain(self):
        """Read the reports that have arrived, up to a limit.

        :returns: number of datagrams read.
        :rtype: int
        """
        for count in range(MAX_DRAINED):
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return count  # the queue is empty
            self._handle_datagram(data)
        return MAX_DRAINED

    def _handle_datagram(self, data):
        try:
            item = wire.decode(data)
        except base.WireError:
            return  # a stray datagram, or one from another release
        if isinstance(item, _messages.EndpointReport):
            self.handle_report(item)
