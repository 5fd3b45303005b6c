"""Keeps work from an endpoint whose role can't serve it, also while it changes."""

import asyncio
import time

import aiohttp

from sequoiagap import admission, base

DRAIN_BOUND_S = 10.0
POLL_S = 0.02
ASK_AGAIN_S = 0.1


class RoleError(base.SequoiagapError):
    """An endpoint may not change its role now; nothing was sent to it."""


class RoleKeeper:
    """Follows the role of the endpoint and sets it at its gate.

    The endpoint's report says which role it has. While an order changes it, and
    until the endpoint has said afterwards what it is, the gate is shut. A fresh
    agent takes no role for settled before the endpoint has no order at work.

    :param sequoiagap.admission.EndpointGate gate: what the endpoint bears.
    :param is_at_work: coroutine function that returns whether the endpoint has
        an order at work.
    :param announce: coroutine function, called when entries must know.
    :param float drain_bound_s: longest wait for attempts in flight to end before
        a change, in seconds.
    """

    def __init__(self, gate, is_at_work, announce, drain_bound_s=DRAIN_BOUND_S):
        self.gate = gate
        self.is_at_work = is_at_work
        self.announce = announce
        self.drain_bound_s = drain_bound_s
        self._is_settled = False
        self._settled_at = 0.0
        self._tasks = base.TaskSet()

    def take_report(self, role, asked_at):
        """Take the role that the endpoint reports.

        :param str role: the role, or empty if the endpoint reports none; it is
            then taken for one that does everything, and can't be changed.
        :param float asked_at: when it was asked, monotonic time in seconds.
        """
        if not role:
            return
        if not self.gate.reports_role_:
            self.gate.set_role(admission.EndpointRole.CHANGING)
            self._start_settling()
        if self._is_settled and asked_at >= self._settled_at:
            self.gate.set_role(role)

    async def prepare(self):
        """Shut the gate and wait until nothing runs at the endpoint.

        :raises RoleError: if the endpoint reports no role, or if something still
            runs after the bound.
        """
        gate = self.gate
        if not gate.reports_role_:
            raise RoleError(
                "the endpoint does not report its role",
                "Start it anew with the role; a fresh agent could not learn it",
            )
        self._is_settled = False
        gate.set_role(admission.EndpointRole.CHANGING)
        await self.announce()
        try:
            async with asyncio.timeout(self.drain_bound_s):
                while gate.in_flight_ + gate.inherited_:  # noqa: ASYNC110 - counted
                    await asyncio.sleep(POLL_S)
        except TimeoutError as error:
            running = gate.in_flight_ + gate.inherited_
            self.finish()
            raise RoleError(
                f"{running} attempts still run after {self.drain_bound_s} s",
                "Send the order again once they have ended",
            ) from error

    def finish(self):
        """Take the role from the next report, once no order is at work."""
        self._start_settling()

    async def close(self):
        """Stop asking the endpoint."""
        await self._tasks.close()

    def _start_settling(self):
        self._tasks.start(self._settle(), "settle-role")

    async def _settle(self):
        while await self._may_be_at_work():  # noqa: ASYNC110 - asked over HTTP
            await asyncio.sleep(ASK_AGAIN_S)
        self._settled_at = time.monotonic()
        self._is_settled = True

    async def _may_be_at_work(self):
        try:
            return await self.is_at_work()
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return True
