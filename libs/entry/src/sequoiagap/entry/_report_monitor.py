"""Failure detection by missing agent reports, shared between entries."""

import asyncio
import time

from sequoiagap import config, members

CHECK_INTERVAL_S = 0.25
MAX_OVERSLEEP_S = 0.5  # a later wake-up means that this process was paused
REPEAT_INTERVAL_S = 2.0
MILLISECONDS = 1000


class ReportMonitor:
    """Detects agents whose reports stop and informs the other entries.

    :param sequoiagap.config.ConfigReplica replica: answers the configuration version
        that a report carries.
    :param on_suspect: function of node id and incarnation, called for a suspect
        agent; returns whether the agent was in use here.
    :param on_suspect_domain: function of a failure domain, called when the domain
        went silent.

    :ivar int reports_: number of reports received.
    """

    def __init__(self, replica, on_suspect, on_suspect_domain):
        self.replica = replica
        self.on_suspect = on_suspect
        self.on_suspect_domain = on_suspect_domain
        self.reports_ = 0
        self._tracker = members.ReportTracker()
        self._incarnation_by_id = {}
        self._broadcast_at_by_key = {}

    def attach(self, handlers):
        """Register the message handler of reports.

        :param sequoiagap.wire.HandlerTable handlers: handlers of a connection.
        """
        handlers.add(members.MemberReport, self._on_report)

    def forget(self, node_id):
        """Stop expecting reports from an agent whose connection is lost.

        :param str node_id: id of the agent.
        """
        self._tracker.forget(node_id)

    async def run(self, broadcast):
        """Check for overdue reports until cancelled.

        If this process itself was paused, all deadlines are extended by the pause.

        :param broadcast: coroutine function that sends a message to other entries.
        """
        expected_at = time.monotonic() + CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            if now - expected_at > MAX_OVERSLEEP_S:
                self._tracker.extend_deadlines(now - expected_at)
            expected_at = now + CHECK_INTERVAL_S
            for node_id in self._tracker.pop_overdue(now):
                incarnation = self._incarnation_by_id[node_id]
                await self.suspect(
                    members.MemberSuspect(node_id, incarnation), broadcast
                )

    async def suspect(self, item, broadcast):
        """Apply the suspicion of an agent and forward it to other entries.

        Repetitions within ``REPEAT_INTERVAL_S`` are ignored.

        :param sequoiagap.members.MemberSuspect item: the suspicion.
        :param broadcast: coroutine function that sends a message to other entries.
        """
        if self._is_repeated((item.node_id, item.incarnation)):
            return
        self.on_suspect(item.node_id, item.incarnation)
        await broadcast(item)

    async def suspect_domain(self, item, broadcast):
        """Apply the suspicion of a failure domain and forward it.

        Repetitions within ``REPEAT_INTERVAL_S`` are ignored.

        :param sequoiagap.members.DomainSuspect item: the suspicion.
        :param broadcast: coroutine function that sends a message to other entries.
        """
        if self._is_repeated((item.failure_domain, "")):
            return
        self.on_suspect_domain(item.failure_domain)
        await broadcast(item)

    def _is_repeated(self, key):
        """Return whether a suspicion was broadcast recently; record it if not."""
        now = time.monotonic()
        if (
            now - self._broadcast_at_by_key.get(key, -REPEAT_INTERVAL_S)
            < REPEAT_INTERVAL_S
        ):
            return True
        self._forget_old(now)
        self._broadcast_at_by_key[key] = now
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
        broadcast_at_by_key = self._broadcast_at_by_key
        for key in [
            k for k, at in broadcast_at_by_key.items() if now - at > REPEAT_INTERVAL_S
        ]:
            del broadcast_at_by_key[key]
