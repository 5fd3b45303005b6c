"""Heartbeats of the agent to a few entries, and how it is found at first."""

import asyncio
import dataclasses
import time

from sequoiagap import base, members, platform, wire

FEW_ENTRIES = 3
REPORT_INTERVAL_S = 1.0
ANNOUNCE_AFTER_S = 1.0
SEND_TIMEOUT_S = 0.5


class Reporter:
    """Reports to a few of the entries that are connected.

    :param sequoiagap.settings.AgentSettings settings: checked settings.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
    :param set connections: open connections of entries; shared, not copied.
    :param make_hello: function that returns this agent's hello.
    """

    def __init__(self, settings, holder, connections, make_hello):
        self.settings = settings
        self.holder = holder
        self.connections = connections
        self.make_hello = make_hello
        self._chosen = set()
        self._connected_at = time.monotonic()

    async def run(self, port):
        """Report until cancelled; announce this process while nobody connects.

        :param int port: port that entries reach this process at.
        """
        while True:
            await self._report()
            await self._announce_if_alone(port)
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def greet(self, connection):
        """Report on a new connection at once if it is one of the few.

        :param sequoiagap.wire.Connection connection: the entry.
        """
        if connection in self.choose():
            self._chosen.add(connection)
            await _send(connection, self._make_report())

    def choose(self):
        """Return the connections to report on: few, of the own domain first.

        :rtype: list[sequoiagap.wire.Connection]
        """
        by_id = {c.peer.node_id: c for c in self.connections if not c.closed_}
        own = self.settings.failure_domain
        near = [i for i, c in by_id.items() if c.peer.failure_domain == own]
        chosen = members.choose(self.settings.node_id, near or by_id, FEW_ENTRIES)
        return [by_id[node_id] for node_id in chosen]

    async def _report(self):
        chosen = self.choose()
        left = self._chosen.difference(chosen) & self.connections
        self._chosen = set(chosen)
        last = members.MemberReport(0, self.holder.current_.number)
        await asyncio.gather(
            *(_send(connection, self._make_report()) for connection in chosen),
            *(_send(connection, last) for connection in left),
        )

    def _make_report(self):
        interval_ms = int(REPORT_INTERVAL_S * 1000)
        return members.MemberReport(interval_ms, self.holder.current_.number)

    async def _announce_if_alone(self, port):
        now = time.monotonic()
        if self.connections:
            self._connected_at = now
        if now - self._connected_at < ANNOUNCE_AFTER_S:
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
