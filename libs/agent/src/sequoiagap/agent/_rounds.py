"""Runs rounds of a change of map: sends, takes answers, sends again."""

import asyncio
import time

from sequoiagap import base, experts

RESEND_S = 0.3
ROUND_TIMEOUT_S = 3.0
ANSWERS = {
    experts.Promise: "on_promise",
    experts.Armed: "on_armed",
    experts.Settled: "on_settled",
}

_log = base.get_logger("rounds")


class RoundRunner:
    """Runs one round at a time as its proposer.

    :param GroupMember member: the own rank.
    :param GroupLinks links: connections to the other ranks.

    :ivar int rounds_: rounds run so far.
    """

    def __init__(self, member, links):
        self.member = member
        self.links = links
        self.rounds_ = 0
        self._highest = 0
        self._round = None
        self._over = asyncio.Event()
        self._lock = asyncio.Lock()
        for kind in ANSWERS:
            links.handlers_.add(kind, self._on_answer)

    @property
    def is_running(self):
        """Whether a round runs now."""
        return self._lock.locked()

    async def run(self, wanted=""):
        """Run a round to its end or to a timeout; one at a time.

        :param str wanted: digest of the map to change to; empty to settle only.
        :returns: the round, or ``None`` if the rank does not take part yet.
        :rtype: sequoiagap.experts.Round | None
        """
        async with self._lock:
            self.links.mark_busy(True)
            try:
                return await self._run(wanted)
            finally:
                self.links.mark_busy(False)

    async def _run(self, wanted):
        state = self.member.state_
        membership = state.membership() if state is not None else ""
        if not membership:
            return None
        settings = self.member.settings
        kind = self.member.engine.kind
        highest = max(self._highest, state.promised_)
        self._round = experts.Round(
            settings.name,
            settings.rank,
            self.member.ranks,
            experts.next_epoch(highest, settings.rank, self.member.ranks),
            membership,
            wanted,
            kind.lead_steps,
            kind.holds_on_prepare,
        )
        self.rounds_ += 1
        await self._drive(self._round)
        self._highest = max(self._highest, self._round.highest_epoch_)
        self._log_end(self._round)
        return self._round

    async def _drive(self, current):
        self._over.clear()
        deadline = time.monotonic() + ROUND_TIMEOUT_S
        while not current.is_over and time.monotonic() < deadline:
            self._send_all(current.outstanding())
            try:
                async with asyncio.timeout(RESEND_S):
                    await self._over.wait()
            except TimeoutError:
                continue

    def _send_all(self, sends):
        for send in sends:
            self.links.start(self._deliver(send), f"round-{send.rank}")

    async def _deliver(self, send):
        if send.rank != self.member.settings.rank:
            await self.links.send(send.rank, send.message)
            return
        reply = await self.member.handle(send.message)
        if reply is not None:
            self._take(reply)

    async def _on_answer(self, connection, item):
        self._take(item)

    def _take(self, item):
        if self._round is None or item.group != self.member.settings.name:
            return
        try:
            sends = getattr(self._round, ANSWERS[type(item)])(item)
        except experts.MapConflictError as error:
            _log.emit(base.Event.RANK_ORDER_FAILED, error=str(error))
            return
        self._send_all(sends)
        if self._round.is_over:
            self._over.set()

    def _log_end(self, current):
        _log.emit(
            base.Event.ROUND_ENDED,
            group=self.member.settings.name,
            epoch=current.epoch,
            phase=str(current.phase_),
            committed=current.committed_,
            map_version=current.target_.version,
            at_step=current.target_.at_step,
        )
