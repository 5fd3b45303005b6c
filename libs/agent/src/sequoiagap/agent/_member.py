"""Member of a rank group: joins, answers rounds and orders its engine."""

import asyncio
import dataclasses
import time

from sequoiagap import base, experts
from sequoiagap.agent import _rank_engine

IDLE_POLL_INTERVAL_S = 0.5
BUSY_POLL_INTERVAL_S = 0.1
IDLE_MAX_BLOCKED_S = 0.2  # a step that waits longer is polled at the busy interval
STALLED_AFTER_S = 1.0
METHOD_BY_REQUEST = {
    experts.Join: "on_join",
    experts.Prepare: "on_prepare",
    experts.Arm: "on_arm",
    experts.Settle: "on_settle",
}

_log = base.get_logger("group")


class GroupMember:
    """Participant of the map change protocol for one rank.

    Messages are handled one at a time: the member reads the engine's state, decides,
    executes the orders that follow, and only then answers.

    :param sequoiagap.settings.GroupSettings settings: the group and the rank.
    :param RankEngineClient engine: client of the rank's engine.
    :param GroupLinks links: connections to the other ranks.
    :param MapStore maps: maps known to this agent.
    :param str incarnation: incarnation of the agent.

    :ivar sequoiagap.experts.RankState state_: protocol state; ``None`` until the
        engine has answered once.
    :ivar EngineReport report_: last report of the engine.
    :ivar float leader_heard_at_: when a lower rank last acted as leader, monotonic
        seconds.
    :ivar float round_opened_at_: when a peer last opened a round, monotonic seconds.
    :ivar bool is_engine_reachable_: whether the engine answered the last call.
    """

    def __init__(self, settings, engine, links, maps, incarnation):
        self.settings = settings
        self.maps = maps
        self.engine = engine
        self.links = links
        self.incarnation = incarnation
        self.state_ = None
        self.report_ = None
        self.leader_heard_at_ = time.monotonic()
        self.round_opened_at_ = 0.0
        self.is_engine_reachable_ = False
        self._start_id = None
        self._start_count = 0
        self._was_stalled = False
        self._was_joining = False
        self._lock = asyncio.Lock()

    @property
    def ranks(self):
        """Number of ranks in the group."""
        return len(self.settings.peers)

    @property
    def is_stalled(self):
        """Whether the group can't step, so that requests would only wait."""
        if self.report_ is None or not self.is_engine_reachable_:
            return True
        return self.report_.blocked_s > STALLED_AFTER_S

    def attach(self, handlers):
        """Register the handlers of the peers' requests.

        :param sequoiagap.wire.HandlerTable handlers: table of the peers' connections.
        """
        for kind in METHOD_BY_REQUEST:
            handlers.add(kind, self._on_request)
        handlers.add(experts.ReportRequest, self._on_report_request)
        self.links.handlers_.add(experts.Joined, self._on_joined)

    async def run(self):
        """Poll the engine until cancelled."""
        while True:
            try:
                await self._poll_engine()
            except base.SequoiagapError as error:
                self.is_engine_reachable_ = False
                if self._start_id is not None:
                    _log.emit(base.Event.RANK_UNREACHABLE, error=error.message)
            self._log_stall_change()
            await asyncio.sleep(
                IDLE_POLL_INTERVAL_S if self._is_idle() else BUSY_POLL_INTERVAL_S
            )

    async def handle(self, item):
        """Decide on a message and execute the resulting orders.

        :param item: a message of the map change protocol.
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
        """Return the counters of the rank, or ``None`` if its engine does not answer.

        :rtype: sequoiagap.experts.RankReport | None
        """
        try:
            report = await self.engine.fetch_report(with_counts=True)
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
        """Return the member's part of the state dump.

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

    async def _poll_engine(self):
        async with self._lock:
            report = await self.engine.fetch_report()
            self.report_ = report
            self.is_engine_reachable_ = True
            if report.start_id != self._start_id:
                self._start_incarnation(report)
            self.state_.view = report.view
        if not self.state_.joined_:
            self.links.mark_busy(True)
            self._send_joins()
        elif self._was_joining:
            self.links.mark_busy(False)
        self._was_joining = not self.state_.joined_
        if report.missing:
            self.maps.load_missing(report.missing)

    def _is_idle(self):
        """Return whether no decision or weights are pending at this rank."""
        if self.state_ is None or not self.is_engine_reachable_:
            return False
        report = self.report_
        is_pending = report.missing or report.blocked_s > IDLE_MAX_BLOCKED_S
        return self.state_.joined_ and not is_pending

    def _start_incarnation(self, report):
        """Start a new incarnation of the rank after a restart of its engine."""
        self._start_id = report.start_id
        self._start_count += 1
        fence = max(self.engine.fence_, report.view.fence)
        self.engine.fence_ = fence
        self.state_ = experts.RankState(
            self.settings.name,
            self.settings.rank,
            self.ranks,
            f"{self.incarnation}/{self._start_count}",
            dataclasses.replace(report.view, fence=fence),
        )
        _log.emit(
            base.Event.RANK_STARTED,
            group=self.settings.name,
            rank=self.settings.rank,
            map_version=report.view.committed.version,
        )

    def _send_joins(self):
        for rank in range(self.ranks):
            if rank not in self.state_.acknowledged_:
                item = self.state_.join(rank)
                self.links.start(self.links.send(rank, item), f"join-{rank}")

    async def _handle(self, item):
        report = await self.engine.fetch_report()
        if report.start_id != self._start_id:
            self._start_incarnation(report)
        self.report_ = report
        self.state_.view = report.view
        if isinstance(item, experts.Joined):
            effects = self.state_.on_joined(item)
            if effects.orders or self.state_.joined_:
                self._log_joined()
        else:
            effects = getattr(self.state_, METHOD_BY_REQUEST[type(item)])(item)
        if self._must_hold(effects.reply):
            hold = experts.Order(experts.OrderKind.HOLD, item.epoch)
            await self.engine.send_order(hold)
            effects.reply.step = (await self.engine.fetch_report()).view.step
        return await self._execute(effects)

    async def _execute(self, effects):
        for order in effects.orders:
            try:
                await self.engine.send_order(order)
            except _rank_engine.EngineOrderError as error:
                _log.emit(base.Event.RANK_ORDER_FAILED, error=error.message)
                self._undo(order)
                return _mark_rejected(effects.reply)
            except _rank_engine.EngineUnavailableError:
                # It is unknown whether the order took effect: start over from the
                # engine's state.
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
            self.maps.retain(
                {self.state_.previous_.digest, self.state_.committed_.digest}
            )
        return effects.reply

    def _undo(self, order):
        """Revert an order that the engine rejected; start over if it was decided."""
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
            self.round_opened_at_ = time.monotonic()
        reply = await self.handle(item)
        if reply is not None:
            await connection.send(reply)

    async def _on_joined(self, connection, item):
        await self.handle(item)

    async def _on_report_request(self, connection, item):
        if item.rank < self.settings.rank:
            self.leader_heard_at_ = time.monotonic()
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

    def _log_stall_change(self):
        if self.is_stalled == self._was_stalled:
            return
        self._was_stalled = self.is_stalled
        event = base.Event.GROUP_STALLED if self.is_stalled else base.Event.GROUP_STEPS
        _log.emit(event, group=self.settings.name, rank=self.settings.rank)


def _mark_rejected(reply):
    if reply is not None:
        reply.accepted = False
    return reply
