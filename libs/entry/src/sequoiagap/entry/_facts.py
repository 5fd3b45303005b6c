"""Facts for harm checks: endpoints in use, and peak usage of client accounts."""

import asyncio
import time

from sequoiagap import config, wire
from sequoiagap.entry import _account_peaks

PEER_REPLY_TIMEOUT_S = 0.5


@wire.message(110)
class UsageRequest:
    """Request for an entry's peak usage of client accounts over the last day."""

    sequence: int


@wire.message(111)
class UsageReply:
    """Peak number of concurrent requests by client account."""

    sequence: int
    peak_by_account: dict


class FactCollector:
    """Collects the facts for the harm checks of a configuration patch.

    Peaks are the sum over this entry and the entries that it is connected to; other
    entries are not counted.

    :param AgentLinks links: links to the agents.
    :param PeerMesh mesh: connections to other entries.
    """

    def __init__(self, links, mesh):
        self.links = links
        self.mesh = mesh
        self.peaks_ = _account_peaks.PeakTracker()
        self._in_flight_by_account = {}
        self._replies_by_sequence = {}
        self._sequence = 0
        mesh.handlers_.add(UsageRequest, self._on_request)
        mesh.handlers_.add(UsageReply, self._on_reply)

    def enter(self, account):
        """Record the start of a request of an account.

        :param str account: the client account.
        """
        count = self._in_flight_by_account.get(account, 0) + 1
        self._in_flight_by_account[account] = count
        self.peaks_.record(account, count, time.monotonic())

    def exit(self, account):
        """Record the end of a request of an account.

        :param str account: the client account.
        """
        self._in_flight_by_account[account] -= 1

    async def collect(self):
        """Return the facts, including peaks that peers report in time.

        :rtype: sequoiagap.config.HarmFacts
        """
        endpoints = tuple(
            config.EndpointFact(
                host.host_id, host.failure_domain, frozenset(host.serves)
            )
            for host in self.links.working_hosts()
        )
        total = self.peaks_.peaks(time.monotonic())
        for peaks in await self._request_peer_peaks():
            for account, peak in peaks.items():
                total[account] = total.get(account, 0) + peak
        return config.HarmFacts(endpoints, total)

    async def _request_peer_peaks(self):
        self._sequence += 1
        sequence = self._sequence
        expected = {connection.peer.node_id for connection in self.mesh.connections_}
        if not expected:
            return []
        replies = self._replies_by_sequence[sequence] = {}
        await self.mesh.broadcast(UsageRequest(sequence))
        try:
            async with asyncio.timeout(PEER_REPLY_TIMEOUT_S):
                while expected - set(replies):  # noqa: ASYNC110 - several senders
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        return list(self._replies_by_sequence.pop(sequence).values())

    async def _on_request(self, connection, item):
        peaks = self.peaks_.peaks(time.monotonic())
        await connection.send(UsageReply(item.sequence, peaks))

    async def _on_reply(self, connection, item):
        replies = self._replies_by_sequence.get(item.sequence)
        if replies is None:
            return
        peaks = {
            account: peak
            for account, peak in item.peak_by_account.items()
            if isinstance(account, str) and type(peak) is int
        }
        replies[connection.peer.node_id] = peaks


class CountedDispatcher:
    """Wraps a dispatcher and counts the requests of each client account.

    :param Dispatcher dispatcher: executes requests.
    :param FactCollector facts: records the counts.
    """

    def __init__(self, dispatcher, facts):
        self.dispatcher = dispatcher
        self.facts = facts

    def __getattr__(self, name):
        """Return an attribute of the wrapped dispatcher."""
        return getattr(self.dispatcher, name)

    async def dispatch(self, request, sink):
        """Execute a request and count it while it runs.

        :param Request request: the request.
        :param sink: see :meth:`Dispatcher.dispatch`.
        :rtype: expression.Result[None, sequoiagap.base.Refusal]
        """
        self.facts.enter(request.account)
        try:
            return await self.dispatcher.dispatch(request, sink)
        finally:
            self.facts.exit(request.account)
