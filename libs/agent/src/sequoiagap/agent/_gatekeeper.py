"""Keeps the gate in step with the endpoint: reports, restarts and orders."""

import asyncio
import time
import urllib.parse

from sequoiagap import base

PROBE_INTERVAL_S = 0.25
RECONNECT_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0

_log = base.get_logger("gatekeeper")


class GateKeeper:
    """Follows one endpoint and tells its gate what is seen.

    Beside the probes it holds one idle TCP connection to the endpoint. That
    ends with the endpoint's process, so that a restart is known at once and not
    only at the next probe.

    :param EndpointClient client: the endpoint.
    :param sequoiagap.admission.EndpointGate gate: what it bears.
    :param is_stalled: function that returns whether the endpoint's rank group
        can't step.
    :param is_out: function that returns whether operators took it out.
    :param announce: coroutine function, called when entries must know.
    :param pump: function of the time, called when slots may have become free.
    :param take_role: function of the role that the endpoint reports and of the
        time at which it was asked.
    """

    def __init__(self, client, gate, is_stalled, is_out, announce, pump, take_role):
        self.client = client
        self.gate = gate
        self.is_stalled = is_stalled
        self.is_out = is_out
        self.announce = announce
        self.pump = pump
        self.take_role = take_role
        self._wake = asyncio.Event()
        self._announced = None

    async def probe_forever(self):
        """Ask the endpoint for its report until cancelled."""
        while True:
            await self.probe()
            self._wake.clear()
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def probe(self):
        """Ask once, update the gate and announce what has changed."""
        asked_at = time.monotonic()
        report = await self.client.report()
        now = time.monotonic()
        if report is not None:
            self.take_role(report.role, asked_at)
            self.gate.record_report(
                report.start_id, now, report.cold, report.in_flight, asked_at
            )
        await self.follow_orders()

    async def follow_orders(self):
        """Apply the operators' orders and announce a change of state or limit."""
        now = time.monotonic()
        self.gate.set_drained(self.is_out(), now)
        self.gate.stalled_ = self.is_stalled()
        self.pump(now)
        seen = (self.gate.limit(now), self.gate.state, self.gate.role_)
        if seen != self._announced:
            self._announced = seen
            await self.announce()

    async def watch_connection(self):
        """Hold an idle connection; doubt the endpoint whenever it ends."""
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
        self._wake.set()
        try:
            await reader.read(1)
        except OSError:
            pass
        finally:
            writer.transport.abort()
        self.gate.revoke_trust(time.monotonic())
        self._wake.set()
        _log.emit(base.Event.ENDPOINT_DOUBTED)
        await self.announce()
        await asyncio.sleep(RECONNECT_DELAY_S)
