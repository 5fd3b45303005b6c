"""Leader of a rank group: tracks demand, plans expert maps and has them changed."""

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
    _holds,
    _map_registry,
    _messages,
    _own_rank,
    _pacing,
    _planning,
    _poller,
)

POLL_INTERVAL_S = 0.2
URGENT_INTERVAL_S = 0.03  # until an abandoned change is settled
CHANGE_COOLDOWN_S = 0.05  # after a change
PEER_DISCOVERY_S = 3.0  # by then any agents of other ranks are linked
MIN_READINGS = 2
STATE_MAX_AGE_S = 1.0  # of a rank's state, for a change to begin
SENIOR_MARGIN_S = 0.1  # time after taking the lead until a senior counts
POLLS_PER_S = 400  # to ranks that are copying weights, all together
MIN_LEAD_S = 0.08  # to hold, arm and release, until a change was timed
ARMING_MARGIN = 1.5  # factor on the time that the last change took for this
LOSSY_LEAD_S = 0.35  # leaves time to resend lost orders
LOSSY_PERIOD_S = 4.0  # after a lost order, during which more are expected
POLL_LOG_INTERVAL_S = 2.0
MILLISECONDS = 1000

_log = base.get_logger("leader")


class GroupLeader:
    """Leads the group of the rank beside this process.

    :param GroupAccess access: access to the ranks.
    :param EngineReport report: report of the own rank when leading starts.
    :param routes.EngineProfile profile: profile of the group's engines.
    :param base.Metrics metrics: metrics of the process.
    :param float longest_pause_s: longest pause between two events that callers
        tolerate, in seconds; 0 for no limit.
    :param int guarded_epoch: last epoch in which orders of a predecessor at this rank
        may still be in flight; that of the report if not given.
    :param random.Random random_state: source of randomness for unique versions.
    :param int failed_leader: rank whose agent fell silent during a change, which is
        settled first; ``None`` if there is none.
    :param float link_bytes_s: rate of the own link, in bytes per second; 0 if unknown.

    :ivar tuple senior_: rank of a lower-ranked leader that others have heard from
        since, and when, in monotonic seconds; ``None`` if there is none.
    """

    def __init__(
        self,
        access,
        report,
        profile,
        metrics,
        longest_pause_s=0.0,
        guarded_epoch=None,
        random_state=None,
        failed_leader=None,
        link_bytes_s=0.0,
    ):
        self.access = access
        self.guarded_epoch = report.epoch if guarded_epoch is None else guarded_epoch
        self.group = report.group
        self.size = report.size
        self.own_rank = report.rank
        self.profile = profile
        self.metrics = metrics
        self.random_state = random_state or random.Random()
        self.planner = _planning.MapPlanner(
            profile, report.size, longest_pause_s, metrics
        )
        self.senior_ = None
        self.holdings_ = None
        self.epoch_ = report.epoch
        self.changes_ = 0
        self.changes_in_epoch_ = 0
        self.copies_ = 0
        self._demand = _demand.GroupDemand(profile.layers, profile.experts, report.size)
        self._poller = _poller.RankPoller(access, report.size, report.rank)
        self._budget = _poller.ReadingBudget(
            _pacing.READING_SHARE * link_bytes_s, profile.layers * profile.experts
        )
        self._driver = _driver.ProcedureDriver(access)
        self._maps = _map_registry.MapRegistry(profile, report.size)
        self._settled_at = 0.0
        self._first_step = None
        self._last_step = 0
        self._cooldown_until = 0.0
        self._led_since = time.monotonic()
        self._lossy_until = 0.0
        self._holds = _holds.HoldTracker(report.rank)
        self._is_stopping = False
        self._active_change = None
        self._refusals = 0
        self._obstacle = ""
        self._logged_at = 0.0
        self._is_urgent = failed_leader is not None
        if self._is_urgent:
            access.bypass_agent(failed_leader)
        self._reset(report.epoch)

    def stop(self):
        """Stop leading after the current cycle, so that no change is left half made."""
        self._is_stopping = True
        if self._active_change is not None:
            self._active_change.is_abandoned_ = True

    async def run(self):
        """Lead until stopped."""
        heartbeats = asyncio.ensure_future(self._send_heartbeats_forever())
        try:
            while not self._is_stopping:
                began = time.monotonic()
                await self.run_cycle()
                spent = time.monotonic() - began
                interval_s = URGENT_INTERVAL_S if self._is_urgent else POLL_INTERVAL_S
                await asyncio.sleep(max(interval_s - spent, 0.02))
        finally:
            await base.cancel_and_wait(heartbeats)
            self._poller.close()

    async def _send_heartbeats_forever(self):
        """Send heartbeats to the other agents, whatever a cycle waits for."""
        while True:
            await self.access.send_heartbeats()
            await asyncio.sleep(_access.HEARTBEAT_INTERVAL_S)

    async def run_cycle(self):
        """Poll the ranks once and act on their state."""
        state_by_rank = await self._poll_ranks()
        report_by_rank = self._read_reports(state_by_rank)
        own = report_by_rank.get(self.own_rank)
        if own is None or not own.is_open:
            return
        if own.epoch != self.epoch_:
            self._reset(own.epoch)
        if self._first_step is None:
            self._first_step = own.step
        if self._defers_to_senior(state_by_rank):
            return
        newest = self._newest_reports()
        self._update_holdings(newest)
        if await self._resolve_orphans(report_by_rank):
            return
        has_work = self._demand.update(self._readings(state_by_rank), time.monotonic())
        self._log_polling(state_by_rank)
        if has_work and self.holdings_ is not None and self._demand.newest_rates_:
            self.planner.time_passes(
                self.holdings_, self._demand.newest_rates_, newest, own.step
            )
        is_first = self.changes_in_epoch_ == 0 and self.epoch_ > self.guarded_epoch
        if has_work or is_first:
            self._log_obstacle(self._find_obstacle(newest))
        await self._send_map()
        if (has_work or is_first) and not self._obstacle:
            await self._plan_change(newest)

    def _read_reports(self, state_by_rank):
        return {
            rank: _own_rank.read_report(state)
            for rank, state in state_by_rank.items()
            if state.is_known
        }

    def _newest_reports(self):
        """Return the newest report of each rank since the last change, by rank."""
        return self._read_reports(
            self._poller.newest(self._settled_at, STATE_MAX_AGE_S)
        )

    def _readings(self, state_by_rank):
        """Return the count samples of the ranks that were polled for them."""
        found = {}
        for rank, state in state_by_rank.items():
            if state.levels:
                self._budget.record_size(len(state.levels))
                found[rank] = _counts.CountsReading(
                    state.levels, state.scale, state.span_s
                )
        return found

    def _defers_to_senior(self, state_by_rank):
        """Stop leading if ranks have since heard from a leader of lower rank."""
        now = time.monotonic()
        for state in state_by_rank.values():
            heard_at = now - state.leader_age_ms / MILLISECONDS
            is_senior = _messages.NOT_LEADING < state.leader < self.own_rank
            if is_senior and heard_at > self._led_since + SENIOR_MARGIN_S:
                self.senior_ = (state.leader, heard_at)
                self.stop()
                return True
        return False

    async def _send_map(self):
        """Send ranks the map in use, so that the next one takes few bytes."""
        if self.holdings_ is None:
            return
        layers = self.holdings_.layers
        lacking = [
            rank
            for rank in range(self.size)
            if rank != self.own_rank and self.access.lacks_map(rank, layers)
        ]
        await asyncio.gather(*(self.access.send_map(rank, layers) for rank in lacking))

    def _log_obstacle(self, obstacle):
        """Log why no change can begin, once per reason in a row."""
        if obstacle and obstacle != self._obstacle:
            _log.emit(
                base.Event.MAP_CHANGE_WAITS,
                group=self.group,
                epoch=self.epoch_,
                reason=obstacle,
                readings=self._demand.readings_,
            )
        self._obstacle = obstacle

    def _log_polling(self, state_by_rank):
        """Log periodically how many ranks answer, and the cost of polling them."""
        now = time.monotonic()
        if now - self._logged_at < POLL_LOG_INTERVAL_S:
            return
        self._logged_at = now
        links = self.access.link_by_rank.values()
        _log.emit(
            base.Event.GROUP_FOLLOWED,
            group=self.group,
            epoch=self.epoch_,
            answered=len(state_by_rank),
            size=self.size,
            silent=sum(link.is_silent for link in links),
            late_answers=sum(link.late_answers_ for link in links),
            bytes=sum(link.bytes_ for link in links),
        )

    def _reset(self, epoch):
        """Discard the state of the group from before it re-formed.

        The demand is kept: a group that re-forms starts with the first map again, and
        needs a better one before its next passes.
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
        self._maps.clear()
        self._settled_at = time.monotonic()
        self.changes_in_epoch_ = 0
        self._first_step = None
        self._last_step = 0
        self._holds.clear()

    async def _poll_ranks(self):
        """Poll the ranks and return the answers that show the current state."""
        fitting = self._budget.max_ranks(self.size, POLL_INTERVAL_S)
        counts_of = set(self._demand.ranks_by_age_[:fitting])
        answer_by_rank = await self._poller.poll(counts_of, self._maps.missing_ranks_)
        # An answer sent before the end of the last change may still show its hold.
        fresh_since = max(time.monotonic() - _poller.MAX_FRESH_AGE_S, self._settled_at)
        state_by_rank = {
            r: answer.state
            for r, answer in answer_by_rank.items()
            if answer.requested_at >= fresh_since
        }
        await self._poll_silent_engines(state_by_rank)
        for rank, report in self._read_reports(state_by_rank).items():
            state = state_by_rank[rank]
            if state.experts and report.epoch == self.epoch_:
                self._maps.record_experts(rank, state.map_version, state.experts)
        return state_by_rank

    async def _poll_silent_engines(self, state_by_rank):
        """Poll the engines of ranks whose agents have been silent for a few cycles.

        One of those agents may have been the leader, and may have abandoned a hold.
        """
        silent_ranks = self._poller.select_silent(self._is_urgent)
        wants_experts = bool(self._maps.missing_ranks_)
        states = await asyncio.gather(
            *(self.access.poll_engine(rank, wants_experts) for rank in silent_ranks)
        )
        for rank, state in zip(silent_ranks, states, strict=True):
            if state is not None:
                state_by_rank[rank] = state
                self._poller.record_direct(rank, state)

    def _update_holdings(self, report_by_rank):
        """Adopt the map in use once all ranks are known to use the same one."""
        versions = {report.map_version for report in report_by_rank.values()}
        epochs = {report.epoch for report in report_by_rank.values()}
        if (
            len(report_by_rank) < self.size
            or len(versions) > 1
            or epochs != {self.epoch_}
        ):
            return
        layers = self._maps.find(*versions)
        if layers is None:
            self.holdings_ = None
        elif self.holdings_ is None or self.holdings_.layers is not layers:
            self.holdings_ = experts.Holdings(
                self.profile.experts, self.profile.slots_per_rank, layers
            )

    def _find_obstacle(self, report_by_rank):
        """Return why no change may begin; empty if one may.

        :rtype: str
        """
        if self._is_stopping:
            return "another agent leads"
        if len(report_by_rank) < self.size:
            return "some ranks have not reported their state recently"
        if self.holdings_ is None:
            return "the experts that the ranks hold are unknown"
        if self._demand.readings_ < MIN_READINGS:
            return "the demand is unknown"
        if time.monotonic() < self._cooldown_until:
            return "a change has just ended"
        has_predecessor = self.epoch_ <= self.guarded_epoch
        first_step = self._first_step if has_predecessor else None
        if _change.may_begin(report_by_rank, self.size, self.own_rank, first_step):
            return ""
        return "the ranks are not known to share one map without a change in progress"

    async def _plan_change(self, report_by_rank):
        found = await self.planner.plan(
            self.holdings_, self._demand.predict(), report_by_rank
        )
        if found is None or self._is_stopping:
            return
        plan = self._make_plan(report_by_rank, found.holdings.layers)
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
        await self._run_change(plan, found)

    def _make_plan(self, report_by_rank, layers):
        timer = self.planner.timer
        lead_s = max(MIN_LEAD_S, ARMING_MARGIN * self._driver.arming_duration_s_)
        return _change.ChangePlan(
            version=_change.make_version(
                report_by_rank, self.own_rank, self.size, self.random_state
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
            poll_s=max(_change.COPY_POLL_INTERVAL_S, self.size / POLLS_PER_S),
        )

    async def _run_change(self, plan, found):
        began = time.monotonic()
        deputies = await self._driver.appoint_deputies()
        change = _change.MapChange(
            dataclasses.replace(plan, keeper=self._choose_keeper(deputies))
        )
        result = None
        if deputies or self._has_no_peers():
            self._active_change = change
            result = await self._driver.run(change.run(), deputies)
            self._active_change = None
        # A keeper that refuses has just started, or leads itself; another may agree.
        self._refusals += result == _change.ChangeResult.NOT_ALLOWED
        now = time.monotonic()
        self._settled_at = now
        self._last_step = max(self._last_step, change.step_)
        self._cooldown_until = now + CHANGE_COOLDOWN_S
        self._maps.add(plan.version, plan.layers)
        if change.lost_orders_:
            self._lossy_until = now + LOSSY_PERIOD_S
        if result is None:
            change.detail_ = "no other agent could settle the change"
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

    async def _resolve_orphans(self, report_by_rank):
        """Release a hold that has lasted too long; return whether there is any hold."""
        now = time.monotonic()
        self._holds.record(report_by_rank, now)
        orphan = self._holds.find_orphan(now, self._is_urgent)
        if orphan is not None:
            await self._resolve(*orphan, report_by_rank)
            return True
        if len(report_by_rank) == self.size:
            self._is_urgent = False
        return self._holds.has_holds_

    async def _resolve(self, rank, step, report_by_rank):
        if self.holdings_ is None:
            return  # the next polls determine the map in use first
        plan = self._make_plan(report_by_rank, self.holdings_.layers)
        began = time.monotonic()
        _log.emit(
            base.Event.HOLD_FOUND,
            group=self.group,
            rank=rank,
            step=step,
            version=plan.version,
        )
        procedure = _change.resolve_hold(rank, step, plan)
        result = await self._driver.run(
            procedure, await self._driver.appoint_deputies()
        )
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
        """Return the rank at which to hold the pass; another one after each refusal."""
        candidates = deputies or [self.own_rank]
        return candidates[self._refusals % len(candidates)]

    def _has_no_peers(self):
        """Return whether there is no other agent that could settle a change."""
        if self.size == 1:
            return True
        has_waited = time.monotonic() - self._led_since > PEER_DISCOVERY_S
        return has_waited and not self.access.link_by_rank
