"""What harm checks rest on: endpoints in use, and accounts' use at all entries."""

import asyncio
import time

from sequoiagap import config, wire
from sequoiagap.entry import _usage

ASK_BOUND_S = 0.5


@wire.message(110)
class UsageRequest:
    """Ask an entry for the last day's peaks of client accounts."""

    sequence: int


@wire.message(111)
class UsageReply:
    """Peaks of requests at once by client account."""

    sequence: int
    peak_by_account: dict


class FactFinder:
    """Gathers the facts for the harm checks of one patch.

    Peaks are this entry's own and those of the entries that it is connected to,
    added up; what entries further away see is not counted.

    :param AgentLinks links: links to the agents.
    :param PeerMesh mesh: connections to other entries.
    """

    def __init__(self, links, mesh):
        self.links = links
        self.mesh = mesh
        self.peaks_ = _usage.PeakTracker()
        self._in_flight_by_account = {}
        self._answers_by_sequence = {}
        self._sequence = 0
        mesh.handlers_.add(UsageRequest, self._on_request)
        mesh.handlers_.add(UsageReply, self._on_reply)

    def enter(self, account):
        """Note that a request of an account begins.

        :param str account: the client account.
        """
        count = self._in_flight_by_account.get(account, 0) + 1
        self._in_flight_by_account[account] = count
        self.peaks_.record(account, count, time.monotonic())

    def exit(self, account):
        """Note that a request of an account has ended.

        :param str account: the client account.
        """
        self._in_flight_by_account[account] -= 1

    async def find(self):
        """Return the facts, with what connected entries answer in time.

        :rtype: sequoiagap.config.HarmFacts
        """
        endpoints = tuple(
            config.EndpointFact(
                host.host_id, host.failure_domain, frozenset(host.serves)
            )
            for host in self.links.working_hosts()
        )
        total = self.peaks_.peaks(time.monotonic())
        for peaks in await self._ask_peers():
            for account, peak in peaks.items():
                total[account] = total.get(account, 0) + peak
        return config.HarmFacts(endpoints, total)

    async def _ask_peers(self):
        self._sequence += 1
        sequence = self._sequence
        expected = {connection.peer.node_id for connection in self.mesh.connections_}
        if not expected:
            return []
        answers = self._answers_by_sequence[sequence] = {}
        await self.mesh.broadcast(UsageRequest(sequence))
        try:
            async with asyncio.timeout(ASK_BOUND_S):
                while expected - set(answers):  # noqa: ASYNC110 - several senders
                    await asyncio.sleep(0.01)
        except TimeoutError:
            pass
        return list(self._answers_by_sequence.pop(sequence).values())

    async def _on_request(self, connection, item):
        peaks = self.peaks_.peaks(time.monotonic())
        await connection.send(UsageReply(item.sequence, peaks))

    async def _on_reply(self, connection, item):
        answers = self._answers_by_sequence.get(item.sequence)
        if answers is None:
            return
        peaks = {
            account: peak
            for account, peak in item.peak_by_account.items()
            if isinstance(account, str) and type(peak) is int
        }
        answers[connection.peer.node_id] = peaks


class CountedDispatcher:
    """Counts the requests of each client account around a dispatcher.

    :param Dispatcher dispatcher: runs requests.
    :param FactFinder facts: keeps the counts.
    """

    def __init__(self, dispatcher, facts):
        self.dispatcher = dispatcher
        self.facts = facts

    def __getattr__(self, name):
        """Leave everything but :meth:`dispatch` to the dispatcher itself."""
        return getattr(self.dispatcher, name)

    async def dispatch(self, request, sink):
        """Run a request and count it while it runs.

        :param Request request: the request.
        :param sink: takes the answer.
        :rtype: expression.Result[None, sequoiagap.base.Refusal]
        """
        self.facts.enter(request.account)
        try:
            return await self.dispatcher.dispatch(request, sink)
        finally:
            self.facts.exit(request.account)
