"""Heartbeats to some of the entries, and announcement to the seed entries."""

import asyncio
import dataclasses
import time

from sequoiagap import base, members, platform, wire

MAX_RECEIVERS = 3
HEARTBEAT_INTERVAL_S = 1.0
ANNOUNCE_DELAY_S = 1.0
SEND_TIMEOUT_S = 0.5


class HeartbeatSender:
    """Sends heartbeats to some of the connected entries.

    :param sequoiagap.settings.AgentSettings settings: validated settings.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param set connections: open connections of entries; shared with the agent.
    :param make_hello: function that returns this agent's hello.
    """

    def __init__(self, settings, holder, connections, make_hello):
        self.settings = settings
        self.holder = holder
        self.connections = connections
        self.make_hello = make_hello
        self._receivers = set()
        self._last_connected_at = time.monotonic()

    async def run(self, port):
        """Send heartbeats until cancelled.

        While no entry is connected, the agent announces itself to the seed entries.

        :param int port: port on which entries reach this agent.
        """
        while True:
            await self._send_reports()
            await self._announce_if_unconnected(port)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_first_report(self, connection):
        """Send a heartbeat over a new connection if its entry is a receiver.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        if connection in self.choose_receivers():
            self._receivers.add(connection)
            await _send(connection, self._make_report())

    def choose_receivers(self):
        """Return the connections that receive heartbeats.

        Entries of the agent's own failure domain are preferred.

        :rtype: list[sequoiagap.wire.Connection]
        """
        by_id = {c.peer.node_id: c for c in self.connections if not c.closed_}
        own = self.settings.failure_domain
        local_ids = [i for i, c in by_id.items() if c.peer.failure_domain == own]
        chosen = members.choose(
            self.settings.node_id, local_ids or by_id, MAX_RECEIVERS
        )
        return [by_id[node_id] for node_id in chosen]

    async def _send_reports(self):
        chosen = self.choose_receivers()
        dropped = self._receivers.difference(chosen) & self.connections
        self._receivers = set(chosen)
        final_report = members.MemberReport(0, self.holder.current_.number)
        await asyncio.gather(
            *(_send(connection, self._make_report()) for connection in chosen),
            *(_send(connection, final_report) for connection in dropped),
        )

    def _make_report(self):
        interval_ms = int(HEARTBEAT_INTERVAL_S * 1000)
        return members.MemberReport(interval_ms, self.holder.current_.number)

    async def _announce_if_unconnected(self, port):
        now = time.monotonic()
        if self.connections:
            self._last_connected_at = now
        if now - self._last_connected_at < ANNOUNCE_DELAY_S:
            return
        for seed in self.settings.seeds:
            await self._announce(seed, port)

    async def _announce(self, seed, port):
        try:
            connection = await wire.connect(
                str(seed.address), seed.port, self.make_hello()
            )
        except base.WireError:
            return
        host = platform.HostEntry(
            self.settings.node_id,
            "agent",
            str(self.settings.address),
            port,
            self.settings.failure_domain,
            serves=list(self.settings.endpoint.serves),
        )
        await _send(connection, members.MemberAnnounce(dataclasses.asdict(host)))
        await connection.close_gracefully("announced")


async def _send(connection, item):
    try:
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await connection.send(item)
    except (TimeoutError, base.WireError):
        return
