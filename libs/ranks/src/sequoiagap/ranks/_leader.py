"""Leads a rank group: follows demand, plans maps and has them changed."""

import asyncio
import dataclasses
import random
import time

from sequoiagap import base, experts
from sequoiagap.ranks import (
    _access,
    _change,
    _counts,
    _demand,
    _driver,
    _follower,
    _holds,
    _map_book,
    _messages,
    _own_rank,
    _pacing,
    _planning,
)

POLL_INTERVAL_S = 0.2
URGENT_INTERVAL_S = 0.03  # until what a predecessor has left is settled
REST_S = 0.05  # after a change
ALONE_AFTER_S = 3.0  # by then the agents of other ranks are linked, if there are any
MIN_READINGS = 2
STATE_MAX_AGE_S = 1.0  # of what a rank said, for a change to begin
SENIOR_MARGIN_S = 0.1  # a senior leader heard this long after the lead was taken
POLLS_PER_S = 400  # questions to ranks that copy weights
LEAD_S = 0.08  # for holding, arming and releasing, before any of it was timed
ARMING_MARGIN = 1.5  # times the last change's time for that
LOSSY_LEAD_S = 0.35  # with time to give lost orders again
LOSSY_S = 4.0  # after an order without an answer more of them are expected
FOLLOWED_LOG_S = 2.0  # between two lines on what is known of the ranks
MILLISECONDS = 1000

_log = base.get_logger("leader")


class GroupLeader:
    """Leads the group of the rank beside this process.

    :param GroupAccess access: ways to the ranks.
    :param EngineReport report: report of the own rank, as leading begins.
    :param routes.EngineProfile terms: terms of the group's engines.
    :param base.Metrics metrics: metrics of the process.
    :param float longest_pause_s: longest pause between two events that callers bear,
        in seconds; 0 for none.
    :param int guarded_epoch: last epoch in which orders of a predecessor at this rank
        may still be on their way; that of the report if not given.
    :param random.Random random_state: makes versions that nobody else uses.
    :param int left_by: rank whose agent fell silent during a change, which is to be
        settled first; ``None`` where there is no such.
    :param float link_bytes_s: rate of the own link; 0 where it is not known.

    :ivar tuple senior_: a leader of lower rank that others have heard since, and when,
        monotonic seconds; ``None`` without one.
    """

    def __init__(
        self,
        access,
        report,
        terms,
        metrics,
        longest_pause_s=0.0,
        guarded_epoch=None,
        random_state=None,
        left_by=None,
        link_bytes_s=0.0,
    ):
        self.access = access
        self.guarded_epoch = report.epoch if guarded_epoch is None else guarded_epoch
        self.group = report.group
        self.size = report.size
        self.own_rank = report.rank
        self.terms = terms
        self.metrics = metrics
        self.random_state = random_state or random.Random()
        self.planner = _planning.MapPlanner(
            terms, report.size, longest_pause_s, metrics
        )
        self.senior_ = None
        self.holdings_ = None
        self.epoch_ = report.epoch
        self.changes_ = 0
        self.changes_in_epoch_ = 0
        self.copies_ = 0
        self._demand = _demand.GroupDemand(terms.layers, terms.experts, report.size)
        self._follower = _follower.GroupFollower(access, report.size, report.rank)
        self._budget = _follower.ReadingBudget(
            _pacing.READING_SHARE * link_bytes_s, terms.layers * terms.experts
        )
        self._driver = _driver.ProcedureDriver(access)
        self._maps = _map_book.MapBook(terms, report.size)
        self._settled_at = 0.0
        self._first_step = None
        self._last_step = 0
        self._rest_until = 0.0
        self._led_since = time.monotonic()
        self._lossy_until = 0.0
        self._holds = _holds.HoldWatch(report.rank)
        self._is_stopping = False
        self._changing = None
        self._refusals = 0
        self._waits_for = ""
        self._logged_at = 0.0
        self._is_urgent = left_by is not None
        if self._is_urgent:
            access.pass_over(left_by)
        self._reset(report.epoch)

    def stop(self):
        """End leading after the turn under way, which leaves nothing half done."""
        self._is_stopping = True
        if self._changing is not None:
            self._changing.is_abandoned_ = True

    async def run(self):
        """Lead until stopped."""
        heartbeats = asyncio.ensure_future(self._show_life_forever())
        try:
            while not self._is_stopping:
                began = time.monotonic()
                await self.turn()
                spent = time.monotonic() - began
                interval_s = URGENT_INTERVAL_S if self._is_urgent else POLL_INTERVAL_S
                await asyncio.sleep(max(interval_s - spent, 0.02))
        finally:
            await base.cancel_and_wait(heartbeats)
            self._follower.close()

    async def _show_life_forever(self):
        """Let the other agents know that this one leads, whatever a turn waits for."""
        while True:
            await self.access.show_life()
            await asyncio.sleep(_access.HEARTBEAT_INTERVAL_S)

    async def turn(self):
        """Ask the ranks once and do what is to be done."""
        states = await self._ask_ranks()
        known = self._reports(states)
        own = known.get(self.own_rank)
        if own is None or not own.is_open:
            return
        if own.epoch != self.epoch_:
            self._reset(own.epoch)
        if self._first_step is None:
            self._first_step = own.step
        if self._defers_to_senior(states):
            return
        newest = self._newest()
        self._learn_holdings(newest)
        if await self._resolve_orphans(known):
            return
        has_work = self._demand.take(self._readings(states), time.monotonic())
        self._note_followed(states)
        if has_work and self.holdings_ is not None and self._demand.newest_:
            self.planner.time_passes(
                self.holdings_, self._demand.newest_, newest, own.step
            )
        is_first = self.changes_in_epoch_ == 0 and self.epoch_ > self.guarded_epoch
        if has_work or is_first:
            self._note_waiting(self._find_obstacle(newest))
        await self._tell_map()
        if (has_work or is_first) and not self._waits_for:
            await self._improve(newest)

    def _reports(self, state_by_rank):
        return {
            rank: _own_rank.read_report(state)
            for rank, state in state_by_rank.items()
            if state.is_known
        }

    def _newest(self):
        """Return the newest report of each rank since the last change, by rank."""
        return self._reports(self._follower.newest(self._settled_at, STATE_MAX_AGE_S))

    def _readings(self, states):
        """Return what the ranks have chosen, of those that were asked for it."""
        found = {}
        for rank, state in states.items():
            if state.levels:
                self._budget.note_size(len(state.levels))
                found[rank] = _counts.CountsReading(
                    state.levels, state.scale, state.span_s
                )
        return found

    def _defers_to_senior(self, states):
        """Stop leading where ranks have heard a leader of lower rank since."""
        now = time.monotonic()
        for state in states.values():
            heard_at = now - state.leader_age_ms / MILLISECONDS
            is_senior = _messages.NOT_LEADING < state.leader < self.own_rank
            if is_senior and heard_at > self._led_since + SENIOR_MARGIN_S:
                self.senior_ = (state.leader, heard_at)
                self.stop()
                return True
        return False

    async def _tell_map(self):
        """Tell ranks the map in use, so that the next one takes few bytes."""
        if self.holdings_ is None:
            return
        layers = self.holdings_.layers
        lacking = [
            rank
            for rank in range(self.size)
            if rank != self.own_rank and self.access.lacks_map(rank, layers)
        ]
        await asyncio.gather(*(self.access.tell_map(rank, layers) for rank in lacking))

    def _note_waiting(self, obstacle):
        """Log why no change begins, once for each reason in a row."""
        if obstacle and obstacle != self._waits_for:
            _log.emit(
                base.Event.MAP_CHANGE_WAITS,
                group=self.group,
                epoch=self.epoch_,
                reason=obstacle,
                readings=self._demand.readings_,
            )
        self._waits_for = obstacle

    def _note_followed(self, states):
        """Log from time to time how many ranks answer, and what that costs."""
        now = time.monotonic()
        if now - self._logged_at < FOLLOWED_LOG_S:
            return
        self._logged_at = now
        links = self.access.link_by_rank.values()
        _log.emit(
            base.Event.GROUP_FOLLOWED,
            group=self.group,
            epoch=self.epoch_,
            answered=len(states),
            size=self.size,
            silent=sum(link.is_silent for link in links),
            late_answers=sum(link.late_answers_ for link in links),
            bytes=sum(link.bytes_ for link in links),
        )

    def _reset(self, epoch):
        """Forget what was true of the group before it formed anew.

        What its requests ask for is remembered: a group that forms anew has the
        first map again, and needs a better one before its next passes.
        """
        _log.emit(
            base.Event.GROUP_SEEN,
            group=self.group,
            epoch=epoch,
            size=self.size,
            rank=self.own_rank,
        )
        self.epoch_ = epoch
        self.holdings_ = None
        self._maps.forget()
        self._settled_at = time.monotonic()
        self.changes_in_epoch_ = 0
        self._first_step = None
        self._last_step = 0
        self._holds.clear()

    async def _ask_ranks(self):
        """Ask the ranks; return the answers that tell what stands now, by rank."""
        fitting = self._budget.ranks(self.size, POLL_INTERVAL_S)
        counts_of = set(self._demand.asked_in_order_[:fitting])
        heard = await self._follower.ask(counts_of, self._maps.unknown_ranks_)
        # An answer from before the last change may still show its hold.
        fresh_since = max(time.monotonic() - _follower.FRESH_S, self._settled_at)
        states = {r: h.state for r, h in heard.items() if h.asked_at >= fresh_since}
        await self._ask_silent(states)
        for rank, report in self._reports(states).items():
            state = states[rank]
            if state.experts and report.epoch == self.epoch_:
                self._maps.note_experts(rank, state.map_version, state.experts)
        return states

    async def _ask_silent(self, state_by_rank):
        """Ask the engines of ranks whose agents have been silent for a few turns.

        One of those agents may have been the leader, and have left a hold.
        """
        asked = self._follower.take_silent(self._is_urgent)
        wants_experts = bool(self._maps.unknown_ranks_)
        states = await asyncio.gather(
            *(self.access.poll_engine(rank, wants_experts) for rank in asked)
        )
        for rank, state in zip(asked, states, strict=True):
            if state is not None:
                state_by_rank[rank] = state
                self._follower.note_direct(rank, state)

    def _learn_holdings(self, known):
        """Take the map in use, once all ranks are known to use the same."""
        versions = {report.map_version for report in known.values()}
        epochs = {report.epoch for report in known.values()}
        if len(known) < self.size or len(versions) > 1 or epochs != {self.epoch_}:
            return
        layers = self._maps.find(*versions)
        if layers is None:
            self.holdings_ = None
        elif self.holdings_ is None or self.holdings_.layers is not layers:
            self.holdings_ = experts.Holdings(
                self.terms.experts, self.terms.slots_per_rank, layers
            )

    def _find_obstacle(self, known):
        """Return why no change may begin; empty if one may.

        :rtype: str
        """
        if self._is_stopping:
            return "another agent leads"
        if len(known) < self.size:
            return "some ranks have not said of late what they do"
        if self.holdings_ is None:
            return "the experts that the ranks hold are not known"
        if self._demand.readings_ < MIN_READINGS:
            return "the demand is not known"
        if time.monotonic() < self._rest_until:
            return "a change has just ended"
        has_predecessor = self.epoch_ <= self.guarded_epoch
        first_step = self._first_step if has_predecessor else None
        if _change.may_begin(known, self.size, self.own_rank, first_step):
            return ""
        return "the ranks are not known to be at rest with one map"

    async def _improve(self, known):
        found = await self.planner.plan(self.holdings_, self._demand.predict(), known)
        if found is None or self._is_stopping:
            return
        plan = self._make_plan(known, found.holdings.layers)
        _log.emit(
            base.Event.MAP_CHANGE_BEGAN,
            group=self.group,
            epoch=plan.epoch,
            version=plan.version,
            skew=round(found.skew, 3),
            planned_skew=round(found.planned_skew, 3),
            target_skew=round(found.target_skew, 3),
            slow_ranks=found.slow_ranks,
            copies=found.copies,
            planned_ms=round(found.took_s * MILLISECONDS),
            readings=self._demand.readings_,
        )
        await self._change(plan, found)

    def _make_plan(self, known, layers):
        timer = self.planner.timer
        lead_s = max(LEAD_S, ARMING_MARGIN * self._driver.arming_s_)
        return _change.ChangePlan(
            version=_change.make_version(
                known, self.own_rank, self.size, self.random_state
            ),
            layers=layers,
            old_layers=self.holdings_.layers,
            size=self.size,
            own_rank=self.own_rank,
            epoch=self.epoch_,
            after_step=self._last_step,
            is_lossy=time.monotonic() < self._lossy_until,
            lead_passes=timer.passes_ahead(lead_s, _change.LEAD_PASSES),
            lossy_lead_passes=timer.passes_ahead(
                max(LOSSY_LEAD_S, lead_s), _change.LOSSY_LEAD_PASSES
            ),
            poll_s=max(_change.POLL_S, self.size / POLLS_PER_S),
        )

    async def _change(self, plan, found):
        began = time.monotonic()
        deputies = await self._driver.appoint()
        change = _change.MapChange(
            dataclasses.replace(plan, keeper=self._choose_keeper(deputies))
        )
        result = None
        if deputies or self._is_alone():
            self._changing = change
            result = await self._driver.run(change.run(), deputies)
            self._changing = None
        # A keeper that refuses has just begun, or leads itself; another may agree.
        self._refusals += result == _change.ChangeResult.NOT_ALLOWED
        now = time.monotonic()
        self._settled_at = now
        self._last_step = max(self._last_step, change.step_)
        self._rest_until = now + REST_S
        self._maps.add(plan.version, plan.layers)
        if change.lost_orders_:
            self._lossy_until = now + LOSSY_S
        if result is None:
            change.detail_ = "no other agent would settle it"
        elif result == _change.ChangeResult.DONE:
            self.holdings_ = found.holdings
            self.changes_ += 1
            self.changes_in_epoch_ += 1
            self.copies_ += found.copies
            self.metrics.count("group_map_changes")
            self.metrics.set_gauge("group_map_version", plan.version)
        else:
            self.holdings_ = None
        _log.emit(
            base.Event.MAP_CHANGE_ENDED,
            group=self.group,
            epoch=plan.epoch,
            version=plan.version,
            step=change.step_,
            result=str(result or "not_begun"),
            detail=change.detail_,
            lost_orders=change.lost_orders_,
            took_ms=round((now - began) * MILLISECONDS),
        )

    async def _resolve_orphans(self, known):
        """Release a hold that has stood too long; return whether there is one."""
        now = time.monotonic()
        self._holds.note(known, now)
        orphan = self._holds.find_orphan(now, self._is_urgent)
        if orphan is not None:
            await self._resolve(*orphan, known)
            return True
        if len(known) == self.size:
            self._is_urgent = False
        return self._holds.is_any_

    async def _resolve(self, rank, step, known):
        if self.holdings_ is None:
            return  # the map in use is learnt first, with the next polls
        plan = self._make_plan(known, self.holdings_.layers)
        began = time.monotonic()
        _log.emit(
            base.Event.HOLD_FOUND,
            group=self.group,
            rank=rank,
            step=step,
            version=plan.version,
        )
        procedure = _change.resolve_hold(rank, step, plan)
        result = await self._driver.run(procedure, await self._driver.appoint())
        self._last_step = max(self._last_step, step)
        self._holds.clear()
        self.holdings_ = None
        self._settled_at = time.monotonic()
        _log.emit(
            base.Event.HOLD_RESOLVED,
            group=self.group,
            rank=rank,
            step=step,
            version=plan.version,
            result=str(result),
            took_ms=round((time.monotonic() - began) * MILLISECONDS),
        )

    def _choose_keeper(self, deputies):
        """Return the rank to be held; another one after each refusal."""
        places = deputies or [self.own_rank]
        return places[self._refusals % len(places)]

    def _is_alone(self):
        """Return whether there is no other agent that could settle a change."""
        if self.size == 1:
            return True
        has_waited = time.monotonic() - self._led_since > ALONE_AFTER_S
        return has_waited and not self.access.link_by_rank
