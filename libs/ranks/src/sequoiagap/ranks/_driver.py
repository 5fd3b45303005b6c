"""Execution of the change procedures, with notices to the leader's deputies."""

import asyncio
import time

from sequoiagap import base
from sequoiagap.ranks import _change, _succession


class ProcedureDriver:
    """Executes the procedures of :mod:`_change` through the access to the ranks.

    :param GroupAccess access: access to the ranks.

    :ivar float arming_duration_s_: time that the newest change took from the request to
        arm ranks to its end, in seconds; 0 before the first.
    """

    def __init__(self, access):
        self.access = access
        self.arming_duration_s_ = 0.0

    async def appoint_deputies(self):
        """Notify deputies that a change begins; return those that acknowledged it."""
        return await self.access.notify_deputies(self.access.choose_deputies())

    async def run(self, procedure, deputies):
        """Execute a procedure while notifying deputies that its leader is alive.

        If it is cancelled, the deputies are not notified of its end, so they settle it.

        :param procedure: a procedure of :mod:`_change`.
        :param list deputies: ranks of the deputies.
        :rtype: ChangeResult
        """
        notifier = asyncio.ensure_future(self._notify_forever(deputies))
        try:
            result = await self._execute(procedure)
        finally:
            await base.cancel_and_wait(notifier)
        await self.access.notify_deputies(deputies, is_changing=False)
        return result

    async def _notify_forever(self, deputies):
        while True:
            await asyncio.sleep(_succession.DEPUTY_NOTICE_INTERVAL_S)
            await self.access.notify_deputies(deputies)

    async def _execute(self, procedure):
        replies, armed_at = None, None
        while True:
            try:
                step = procedure.send(replies)
            except StopIteration as stop:
                if armed_at is not None:
                    self.arming_duration_s_ = time.monotonic() - armed_at
                return stop.value
            if isinstance(step, _change.KeeperQuery):
                if step.wants_arming:
                    armed_at = time.monotonic()
                replies = await self.access.query_keeper(step)
            else:
                replies = await self.access.execute(step)
