"""One rank's part in its group: joining, answering rounds, driving the engine."""

import asyncio
import dataclasses
import time

from sequoiagap import base, experts
from sequoiagap.agent import _rank_engine

CALM_POLL_S = 0.5
BUSY_POLL_S = 0.1
CALM_BLOCKED_S = 0.2  # a step that waits longer than this is no longer calm
STALLED_S = 1.0
HANDLERS = {
    experts.Join: "on_join",
    experts.Prepare: "on_prepare",
    experts.Arm: "on_arm",
    experts.Settle: "on_settle",
}

_log = base.get_logger("group")


class GroupMember:
    """The agent's side of the change protocol.

    Messages are handled one at a time: each reads the engine's state, decides,
    carries out the orders and only then answers.

    :param sequoiagap.settings.GroupSettings settings: the group and the rank.
    :param RankEngineClient engine: the engine of the rank.
    :param GroupLinks links: connections to the other ranks.
    :param MapLibrary maps: the maps that are known here.
    :param str incarnation: incarnation of the agent.

    :ivar sequoiagap.experts.RankState state_: decisions, once the engine is seen.
    :ivar EngineReport report_: last state of the engine.
    :ivar float heard_at_: when a lower rank last led, monotonic seconds.
    :ivar float prepared_at_: when a peer last opened a round, monotonic seconds.
    :ivar bool engine_answers_: whether the engine answered last.
    """

    def __init__(self, settings, engine, links, maps, incarnation):
        self.settings = settings
        self.maps = maps
        self.engine = engine
        self.links = links
        self.incarnation = incarnation
        self.state_ = None
        self.report_ = None
        self.heard_at_ = time.monotonic()
        self.prepared_at_ = 0.0
        self.engine_answers_ = False
        self._start_id = None
        self._begun = 0
        self._was_stalled = False
        self._was_joining = False
        self._lock = asyncio.Lock()

    @property
    def ranks(self):
        """Number of ranks."""
        return len(self.settings.peers)

    @property
    def is_stalled(self):
        """Whether the group can't step, so that requests would only wait."""
        if self.report_ is None or not self.engine_answers_:
            return True
        return self.report_.blocked_s > STALLED_S

    def attach(self, handlers):
        """Register the handlers of what peers ask.

        :param sequoiagap.wire.HandlerTable handlers: table of the peers' connections.
        """
        for kind in HANDLERS:
            handlers.add(kind, self._on_request)
        handlers.add(experts.ReportRequest, self._on_report_request)
        self.links.handlers_.add(experts.Joined, self._on_joined)

    async def run(self):
        """Follow the engine until cancelled."""
        while True:
            try:
                await self._follow()
            except base.SequoiagapError as error:
                self.engine_answers_ = False
                if self._start_id is not None:
                    _log.emit(base.Event.RANK_UNREACHABLE, error=error.message)
            self._note_stall()
            await asyncio.sleep(CALM_POLL_S if self._is_calm() else BUSY_POLL_S)

    async def handle(self, item):
        """Decide on a message and carry out what follows.

        :param item: a message of the change protocol.
        :returns: the answer, or ``None``.
        """
        async with self._lock:
            if self.state_ is None:
                return None
            try:
                return await self._handle(item)
            except base.SequoiagapError as error:
                _log.emit(base.Event.RANK_ORDER_FAILED, error=error.message)
                return None

    async def make_report(self):
        """Return what the rank did, or ``None`` if its engine does not answer.

        :rtype: sequoiagap.experts.RankReport | None
        """
        try:
            report = await self.engine.report(with_counts=True)
        except base.SequoiagapError:
            return None
        return experts.RankReport(
            self.settings.name,
            self.settings.rank,
            report.start_id,
            report.view.step,
            report.map_used,
            report.busy_s,
            list(report.counts),
        )

    def dump_state(self):
        """Return the part of the state dump about the group.

        :rtype: dict
        """
        if self.state_ is None:
            return {"name": self.settings.name, "engine": "not seen yet"}
        return {
            "name": self.settings.name,
            "rank": self.settings.rank,
            "joined": self.state_.joined_,
            "waits_for_ranks": sorted(
                set(range(self.ranks)) - self.state_.acknowledged_
            ),
            "promised_epoch": self.state_.promised_,
            "armed_epoch": self.state_.armed_epoch_,
            "map_version": self.state_.committed_.version,
            "map_digest": self.state_.committed_.digest,
            "at_step": self.state_.committed_.at_step,
            "step": self.report_.view.step,
            "stalled": self.is_stalled,
            "blocked_s": self.report_.blocked_s,
            "missing_weights": list(self.report_.missing),
            "messages_sent": self.links.messages_sent_,
            "bytes_sent": self.links.bytes_sent_,
        }

    async def _follow(self):
        async with self._lock:
            report = await self.engine.report()
            self.report_ = report
            self.engine_answers_ = True
            if report.start_id != self._start_id:
                self._begin(report)
            self.state_.view = report.view
        if not self.state_.joined_:
            self.links.mark_busy(True)
            self._ask_to_join()
        elif self._was_joining:
            self.links.mark_busy(False)
        self._was_joining = not self.state_.joined_
        if report.missing:
            self.maps.fetch(report.missing)

    def _is_calm(self):
        """Tell whether nothing waits for this rank."""
        if self.state_ is None or not self.engine_answers_:
            return False
        report = self.report_
        is_open = report.missing or report.blocked_s > CALM_BLOCKED_S
        return self.state_.joined_ and not is_open

    def _begin(self, report):
        """Start a fresh incarnation of the rank."""
        self._start_id = report.start_id
        self._begun += 1
        fence = max(self.engine.fence_, report.view.fence)
        self.engine.fence_ = fence
        self.state_ = experts.RankState(
            self.settings.name,
            self.settings.rank,
            self.ranks,
            f"{self.incarnation}/{self._begun}",
            dataclasses.replace(report.view, fence=fence),
        )
        _log.emit(
            base.Event.RANK_STARTED,
            group=self.settings.name,
            rank=self.settings.rank,
            map_version=report.view.committed.version,
        )

    def _ask_to_join(self):
        for rank in range(self.ranks):
            if rank not in self.state_.acknowledged_:
                item = self.state_.join(rank)
                self.links.start(self.links.send(rank, item), f"join-{rank}")

    async def _handle(self, item):
        report = await self.engine.report()
        if report.start_id != self._start_id:
            self._begin(report)
        self.report_ = report
        self.state_.view = report.view
        if isinstance(item, experts.Joined):
            effects = self.state_.on_joined(item)
            if effects.orders or self.state_.joined_:
                self._log_joined()
        else:
            effects = getattr(self.state_, HANDLERS[type(item)])(item)
        if self._must_hold(effects.reply):
            hold = experts.Order(experts.OrderKind.HOLD, item.epoch)
            await self.engine.order(hold)
            effects.reply.step = (await self.engine.report()).view.step
        return await self._carry_out(effects)

    async def _carry_out(self, effects):
        for order in effects.orders:
            try:
                await self.engine.order(order)
            except _rank_engine.EngineOrderError as error:
                _log.emit(base.Event.RANK_ORDER_FAILED, error=error.message)
                self._take_back(order)
                return _refusal(effects.reply)
            except _rank_engine.EngineUnavailableError:
                # Whether it took effect is unknown: start over from its state.
                self._start_id = None
                raise
            _log.emit(
                base.Event.MAP_ORDERED,
                group=self.settings.name,
                order=str(order.kind),
                epoch=order.epoch,
                map_version=order.target.version,
                at_step=order.target.at_step,
            )
            self.maps.forget_except(
                {self.state_.previous_.digest, self.state_.committed_.digest}
            )
        return effects.reply

    def _take_back(self, order):
        """Forget an order that the engine refused; start over if it was decided."""
        if order.kind == experts.OrderKind.ARM:
            self.state_.revert_order(order)
        else:
            self._start_id = None

    def _must_hold(self, reply):
        promise = isinstance(reply, experts.Promise) and reply.accepted
        return promise and self.engine.kind.holds_on_prepare

    async def _on_request(self, connection, item):
        if item.group != self.settings.name:
            return
        if isinstance(item, experts.Prepare):
            self.prepared_at_ = time.monotonic()
        reply = await self.handle(item)
        if reply is not None:
            await connection.send(reply)

    async def _on_joined(self, connection, item):
        await self.handle(item)

    async def _on_report_request(self, connection, item):
        if item.rank < self.settings.rank:
            self.heard_at_ = time.monotonic()
        report = await self.make_report()
        if report is not None:
            await connection.send(report)

    def _log_joined(self):
        _log.emit(
            base.Event.RANK_JOINED,
            group=self.settings.name,
            rank=self.settings.rank,
            joined=self.state_.joined_,
            map_version=self.state_.committed_.version,
        )

    def _note_stall(self):
        if self.is_stalled == self._was_stalled:
            return
        self._was_stalled = self.is_stalled
        event = base.Event.GROUP_STALLED if self.is_stalled else base.Event.GROUP_STEPS
        _log.emit(event, group=self.settings.name, rank=self.settings.rank)


def _refusal(reply):
    if reply is not None:
        reply.accepted = False
    return reply
