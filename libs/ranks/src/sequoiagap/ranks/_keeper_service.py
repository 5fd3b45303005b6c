"""Keeper of one rank: answers leaders and releases the holds that they abandon."""

import asyncio
import time

from sequoiagap import base
from sequoiagap.ranks import _change, _keeper, _messages, _ports, _succession

RELEASE_RETRY_S = 0.02
HOLD_ARRIVAL_TIMEOUT_S = 0.5  # by then an agreed hold is in place, or was lost

_log = base.get_logger("keeper")


class KeeperService:
    """Keeps holds at the rank beside this process.

    :param OwnRank own: the own rank.

    :ivar Keeper keeper: decides which requests are agreed to.
    """

    def __init__(self, own):
        self.own = own
        self.keeper = None
        self._leader = None
        self._heard_at = 0.0

    def start(self, report):
        """Create the keeper from the first report of the engine.

        :param EngineReport report: the report.
        """
        first_step = report.step + _change.STEP_GUARD
        self.keeper = _keeper.Keeper(report.epoch, first_step)

    def answer(self, request, is_leading):
        """Agree to a hold or to arming, unless this agent is itself the leader.

        Before the engine's first report it agrees to nothing, as it can't know what an
        earlier process of this agent agreed to.

        :param KeeperRequest request: the request.
        :param bool is_leading: whether this agent is the leader.
        :rtype: KeeperAnswer
        """
        change = _keeper.HeldChange(request.epoch, request.version, request.step)
        is_free = self.keeper is not None and not is_leading
        is_agreed = is_free and self.keeper.decide(change, request.wants_arming)
        if is_agreed:
            self._leader, self._heard_at = request.leader, time.monotonic()
        _log.emit(
            base.Event.KEEPER_ASKED,
            leader=request.leader,
            epoch=request.epoch,
            version=request.version,
            step=request.step,
            wants_arming=request.wants_arming,
            agreed=is_agreed,
        )
        return _messages.KeeperAnswer(request.number, is_agreed)

    def record_leader(self, leader, now):
        """Record that a leader was heard from.

        :param int leader: rank of the leader.
        :param float now: monotonic time in seconds.
        """
        if leader == self._leader:
            self._heard_at = now

    def has_abandoned_hold(self, leader, now):
        """Return whether a hold without arming has been abandoned here.

        :param int leader: rank of the leader that this agent heard from last.
        :param float now: monotonic time in seconds.
        :rtype: bool
        """
        if self.keeper is None or self.keeper.agreed_ is None:
            return False
        is_silent = now - self._heard_at > _succession.DEPUTY_TIMEOUT_S
        return is_silent or leader != self._leader

    async def release(self):
        """Release the abandoned hold; no rank is armed for it."""
        change = self.keeper.revoke_agreement()
        if change is None:
            return
        began = time.monotonic()
        is_released = False
        while time.monotonic() - began < HOLD_ARRIVAL_TIMEOUT_S:
            report = await self.own.engine.report(self.own.address)
            is_held = report is not None and report.held_step == change.step
            if is_released and not is_held:
                break
            if is_held and report.epoch == change.epoch:
                order = _ports.RankOrder(
                    _ports.OrderKind.RELEASE, change.epoch, step=change.step
                )
                await self.own.engine.order(self.own.address, order)
                is_released = True
                began = time.monotonic()
            await asyncio.sleep(RELEASE_RETRY_S)
        _log.emit(
            base.Event.HOLD_RESOLVED,
            rank=report.rank if report is not None else None,
            step=change.step,
            version=change.version,
            result="unarmed" if is_released else "never_held",
        )
