"""Monitors the endpoint and updates the gate with its state."""

import asyncio
import time
import urllib.parse

from sequoiagap import base

PROBE_INTERVAL_S = 0.25
RECONNECT_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0

_log = base.get_logger("gatekeeper")


class EndpointMonitor:
    """Probes one endpoint and updates its gate.

    Besides probing, the monitor keeps one idle TCP connection to the endpoint open.
    The connection ends together with the endpoint's process, so a restart is
    detected at once instead of at the next probe.

    :param EndpointClient client: client of the endpoint.
    :param sequoiagap.admission.EndpointGate gate: limit on concurrent attempts.
    :param is_stalled: function that returns whether the endpoint's rank group
        can't step.
    :param is_drained: function that returns whether operators drained the endpoint.
    :param announce: coroutine function that sends the load to the entries.
    :param grant_slots: function of the time, called when slots may have become
        free.
    :param record_role: function of the role that the endpoint reports and of the
        time at which the report was requested.
    """

    def __init__(
        self, client, gate, is_stalled, is_drained, announce, grant_slots, record_role
    ):
        self.client = client
        self.gate = gate
        self.is_stalled = is_stalled
        self.is_drained = is_drained
        self.announce = announce
        self.grant_slots = grant_slots
        self.record_role = record_role
        self._probe_now = asyncio.Event()
        self._last_announced = None

    async def probe_forever(self):
        """Probe the endpoint at regular intervals until cancelled."""
        while True:
            await self.probe()
            self._probe_now.clear()
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._probe_now.wait()
            except TimeoutError:
                continue

    async def probe(self):
        """Request one report, update the gate and announce changes."""
        requested_at = time.monotonic()
        report = await self.client.fetch_report()
        now = time.monotonic()
        if report is not None:
            self.record_role(report.role, requested_at)
            self.gate.record_report(
                report.start_id, now, report.cold, report.in_flight, requested_at
            )
        await self.update_gate()

    async def update_gate(self):
        """Apply drain settings and group stalls to the gate.

        A changed state, limit or role is announced to the entries.
        """
        now = time.monotonic()
        self.gate.set_drained(self.is_drained(), now)
        self.gate.stalled_ = self.is_stalled()
        self.grant_slots(now)
        current = (self.gate.limit(now), self.gate.state, self.gate.role_)
        if current != self._last_announced:
            self._last_announced = current
            await self.announce()

    async def watch_connection(self):
        """Keep an idle connection open; revoke trust in the endpoint when it ends."""
        parts = urllib.parse.urlsplit(self.client.settings.url)
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        parts.hostname, parts.port or 80
                    )
            except (OSError, TimeoutError):
                self.gate.revoke_trust(time.monotonic())
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            await self._wait_for_end(reader, writer)

    async def _wait_for_end(self, reader, writer):
        self._probe_now.set()
        try:
            await reader.read(1)
        except OSError:
            pass
        finally:
            writer.transport.abort()
        self.gate.revoke_trust(time.monotonic())
        self._probe_now.set()
        _log.emit(base.Event.ENDPOINT_DOUBTED)
        await self.announce()
        await asyncio.sleep(RECONNECT_DELAY_S)
