"""Role of the endpoint (prefill, decode or both) and its changes."""

import asyncio
import time

import aiohttp

from sequoiagap import admission, base

DRAIN_TIMEOUT_S = 10.0
DRAIN_POLL_INTERVAL_S = 0.02
ORDER_POLL_INTERVAL_S = 0.1


class RoleError(base.SequoiagapError):
    """The endpoint can't change its role now; no order was sent to it."""


class RoleManager:
    """Applies the role that the endpoint reports to its gate.

    The gate is closed while an order changes the role, and until the endpoint has
    reported its role after the change. A newly started agent accepts a reported role
    only once the endpoint runs no order, because that order may change the role.

    :param sequoiagap.admission.EndpointGate gate: limit on concurrent attempts.
    :param has_running_order: coroutine function that returns whether the endpoint
        is running an order.
    :param announce: coroutine function that sends the load to the entries.
    :param float drain_timeout_s: longest wait for attempts in flight to end before
        a change, in seconds.
    """

    def __init__(
        self, gate, has_running_order, announce, drain_timeout_s=DRAIN_TIMEOUT_S
    ):
        self.gate = gate
        self.has_running_order = has_running_order
        self.announce = announce
        self.drain_timeout_s = drain_timeout_s
        self._is_settled = False
        self._settled_at = 0.0
        self._tasks = base.TaskSet()

    def record_report(self, role, requested_at):
        """Record the role that the endpoint reports.

        :param str role: the role; empty if the endpoint reports none. Such an endpoint
            is assumed to serve every kind of request, and its role can't be changed.
        :param float requested_at: when the report was requested, monotonic seconds.
        """
        if not role:
            return
        if not self.gate.reports_role_:
            self.gate.set_role(admission.EndpointRole.CHANGING)
            self._start_settling()
        if self._is_settled and requested_at >= self._settled_at:
            self.gate.set_role(role)

    async def begin_change(self):
        """Close the gate and wait until the endpoint runs no attempts.

        :raises RoleError: if the endpoint reports no role, or if attempts still run
            after the timeout.
        """
        gate = self.gate
        if not gate.reports_role_:
            raise RoleError(
                "the endpoint does not report its role",
                "Restart it with the new role; a restarted agent could not detect it",
            )
        self._is_settled = False
        gate.set_role(admission.EndpointRole.CHANGING)
        await self.announce()
        try:
            async with asyncio.timeout(self.drain_timeout_s):
                while gate.in_flight_ + gate.inherited_:  # noqa: ASYNC110 - a counter
                    await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        except TimeoutError as error:
            running = gate.in_flight_ + gate.inherited_
            self.end_change()
            raise RoleError(
                f"{running} attempts are still running after {self.drain_timeout_s} s",
                "Send the order again once they have ended",
            ) from error

    def end_change(self):
        """Apply the role of the next report, once the endpoint runs no order."""
        self._start_settling()

    async def close(self):
        """Stop polling the endpoint."""
        await self._tasks.close()

    def _start_settling(self):
        self._tasks.start(self._settle(), "settle-role")

    async def _settle(self):
        while await self._may_have_running_order():  # noqa: ASYNC110 - polled over HTTP
            await asyncio.sleep(ORDER_POLL_INTERVAL_S)
        self._settled_at = time.monotonic()
        self._is_settled = True

    async def _may_have_running_order(self):
        try:
            return await self.has_running_order()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return True
