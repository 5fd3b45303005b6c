"""Agents' heartbeats at the entry, and what other entries say of them."""

import asyncio
import time

from sequoiagap import config, members

CHECK_INTERVAL_S = 0.25
PAUSE_S = 0.5
REMEMBER_S = 2.0
MILLISECONDS = 1000


class ReportDesk:
    """Notices agents whose reports stop and passes that on to other entries.

    :param sequoiagap.config.ConfigReplica replica: decides what a version that a
        report names is answered with.
    :param on_suspect: function of node id and incarnation that returns whether
        the agent was in use here.
    :param on_suspect_domain: function of a failure domain that went silent.

    :ivar int reports_: reports received so far.
    """

    def __init__(self, replica, on_suspect, on_suspect_domain):
        self.replica = replica
        self.on_suspect = on_suspect
        self.on_suspect_domain = on_suspect_domain
        self.reports_ = 0
        self._tracker = members.ReportTracker()
        self._incarnation_by_id = {}
        self._told_at_by_key = {}

    def attach(self, handlers):
        """Register the message handler of reports.

        :param sequoiagap.wire.HandlerTable handlers: table to fill.
        """
        handlers.add(members.MemberReport, self._on_report)

    def forget(self, node_id):
        """Expect no more reports of an agent whose connection is lost.

        :param str node_id: the agent.
        """
        self._tracker.forget(node_id)

    async def run(self, spread):
        """Look for overdue reports until cancelled.

        :param spread: coroutine function that sends a message to other entries.
        """
        expected_at = time.monotonic() + CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - expected_at > PAUSE_S:
                self._tracker.extend_deadlines(now - expected_at)
            expected_at = now + CHECK_INTERVAL_S
            for node_id in self._tracker.pop_overdue(now):
                incarnation = self._incarnation_by_id[node_id]
                await self.suspect(members.MemberSuspect(node_id, incarnation), spread)

    async def suspect(self, item, spread):
        """Act on a suspicion of an agent and pass it on, once in a while.

        :param sequoiagap.members.MemberSuspect item: the suspicion.
        :param spread: coroutine function that sends a message to other entries.
        """
        if self._is_told((item.node_id, item.incarnation)):
            return
        self.on_suspect(item.node_id, item.incarnation)
        await spread(item)

    async def suspect_domain(self, item, spread):
        """Act on a suspicion of a failure domain and pass it on, likewise.

        :param sequoiagap.members.DomainSuspect item: the suspicion.
        :param spread: coroutine function that sends a message to other entries.
        """
        if self._is_told((item.failure_domain, "")):
            return
        self.on_suspect_domain(item.failure_domain)
        await spread(item)

    def _is_told(self, key):
        """Return whether a suspicion was told of late; note that it is now."""
        now = time.monotonic()
        if now - self._told_at_by_key.get(key, -REMEMBER_S) < REMEMBER_S:
            return True
        self._forget_old(now)
        self._told_at_by_key[key] = now
        return False

    async def _on_report(self, connection, item):
        self.reports_ += 1
        node_id = connection.peer.node_id
        self._incarnation_by_id[node_id] = connection.peer.incarnation
        interval_s = item.interval_ms / MILLISECONDS
        self._tracker.record_report(node_id, interval_s, time.monotonic())
        reply = self.replica.on_offer(config.ConfigOffer(item.config_version))
        if reply is not None:
            await connection.send(reply)

    def _forget_old(self, now):
        told = self._told_at_by_key
        for key in [k for k, at in told.items() if now - at > REMEMBER_S]:
            del told[key]
