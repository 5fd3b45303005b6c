"""Leader of a group: collects reports, plans maps, stages weights, starts rounds."""

import asyncio
import time

from sequoiagap import base, experts
from sequoiagap.agent import _group_loads

SETTLE_POLL_INTERVAL_S = 0.1
SETTLE_DELAY_S = 0.4
SETTLE_DELAY_PER_RANK_S = 0.4
MAX_STAGGERED_RANKS = 8  # higher ranks wait as long as this one
MAX_UNKNOWN_MAP_REQUESTS = 2  # plans skipped to request the map in use
LEAD_DELAY_INTERVALS = 2.5
LEAD_DELAY_INTERVALS_PER_RANK = 0.5

_log = base.get_logger("rebalance")


class Rebalancer:
    """Leads the group while no lower rank does.

    Two leaders at once are safe, because the epochs of their rounds differ.

    :param GroupMember member: the rank of this agent.
    :param GroupLinks links: connections to the other ranks.
    :param RoundRunner rounds: runs the rounds of a map change.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.

    :ivar int changes_: number of map changes committed.
    :ivar int bytes_moved_: bytes of expert weights moved by map changes.
    """

    def __init__(self, member, links, rounds, holder):
        self.member = member
        self.links = links
        self.rounds = rounds
        self.holder = holder
        settings = member.settings
        self.costs_ = experts.PlanCosts(
            expert_bytes=settings.expert_bytes,
            store_bytes_s=settings.store_bytes_s,
            horizon_s=settings.horizon_s,
            interval_s=settings.interval_s,
        )
        self.policy_ = experts.POLICIES.get(settings.policy)(self.costs_)
        self.loads_ = _group_loads.GroupLoads(member.maps.shape)
        self.changes_ = 0
        self._map_request_count = 0
        self.bytes_moved_ = 0
        self._staging = ""
        self._staged_by_rank = {}
        self._staged = asyncio.Event()
        links.handlers_.add(experts.RankReport, self._on_report)
        links.handlers_.add(experts.Staged, self._on_staged)

    async def run(self):
        """Lead the group and settle stuck rounds until cancelled."""
        await asyncio.gather(
            self._settle_forever(),
            self._collect_reports_forever(),
            self._plan_forever(),
        )

    def dump_state(self):
        """Return the rebalancing part of the state dump.

        :rtype: dict
        """
        return {
            "leads": self._is_leader(),
            "policy": self.member.settings.policy,
            "skew": round(self.loads_.skew_, 3),
            "rank_speeds": [round(s, 3) for s in self.loads_.speeds_.speeds_],
            "changes": self.changes_,
            "bytes_moved": self.bytes_moved_,
            "rounds": self.rounds.rounds_,
            "known_maps": sorted(self.member.maps.by_digest),
        }

    async def _settle_forever(self):
        """Start a round when the group is blocked on a decision.

        Higher ranks wait longer, so that usually one rank proposes.
        """
        rank = min(self.member.settings.rank, MAX_STAGGERED_RANKS)
        delay_s = SETTLE_DELAY_S + SETTLE_DELAY_PER_RANK_S * rank
        while True:
            await asyncio.sleep(SETTLE_POLL_INTERVAL_S)
            report = self.member.report_
            idle_s = time.monotonic() - self.member.round_opened_at_
            if report is None or min(report.blocked_s, idle_s) < delay_s:
                continue
            if self._can_start_round():
                await self.rounds.run()
                await asyncio.sleep(delay_s)

    async def _collect_reports_forever(self):
        while True:
            await asyncio.sleep(self.member.settings.report_interval_s)
            if not self._is_leader() or self.member.report_ is None:
                continue
            request = experts.ReportRequest(
                self.member.settings.name, self.member.settings.rank
            )
            own = await self.member.make_report()
            if own is not None:
                self.loads_.record_report(own)
            for rank in self._peers():
                self.links.start(self.links.send(rank, request), "report-request")

    async def _plan_forever(self):
        while True:
            await asyncio.sleep(self.member.settings.interval_s)
            if not self._is_leader() or not self._can_start_round():
                continue
            try:
                target = await self._choose_map()
                if target is not None:
                    await self._change_to(target)
            except base.SequoiagapError as error:
                _log.emit(base.Event.WEIGHTS_FAILED, error=error.message)

    async def _choose_map(self):
        """Return the map to change to, or ``None`` to keep the current one."""
        committed = self.member.state_.committed_
        if not committed.version:
            return self.member.maps.initial_map
        current = self.member.maps.by_digest.get(committed.digest)
        if current is None:
            return self._recover_unknown(committed.digest)
        self._map_request_count = 0
        complete = self.loads_.close_interval(committed.version, current)
        group_config = self.holder.current_.document.groups.get(
            self.member.settings.name
        )
        if group_config is not None and group_config.pinned_map is not None:
            return self._find_pinned(group_config.pinned_map, current)
        if not complete or (group_config is not None and not group_config.rebalance):
            return None
        plan = self.policy_.plan(self.loads_.plan_input(current))
        planned = await experts.finish_in_slices(plan)
        return planned if planned.digest != current.digest else None

    def _find_pinned(self, digest, current):
        if digest == current.digest:
            return None
        pinned = self.member.maps.by_digest.get(digest)
        if pinned is None:
            self._request_map(digest)
        return pinned

    def _recover_unknown(self, digest):
        """Request the map in use from the peers.

        After :data:`MAX_UNKNOWN_MAP_REQUESTS` requests no agent is assumed to have it,
        and the initial map is returned instead.
        """
        self._map_request_count += 1
        if self._map_request_count > MAX_UNKNOWN_MAP_REQUESTS:
            return self.member.maps.initial_map
        self._request_map(digest)
        return None

    def _request_map(self, digest):
        _log.emit(
            base.Event.MAP_UNKNOWN, group=self.member.settings.name, digest=digest
        )
        self.member.maps.request_map(digest)

    async def _change_to(self, target):
        committed = self.member.state_.committed_
        current = self.member.maps.by_digest.get(committed.digest, target)
        moves = len(experts.moves_between(current, target))
        _log.emit(
            base.Event.MAP_PLANNED,
            group=self.member.settings.name,
            digest=target.digest,
            moves=moves,
            skew=self.loads_.skew_,
            config_version=self.holder.current_.number,
        )
        if not await self._stage(target):
            return
        current = await self.rounds.run(target.digest)
        if current is not None and current.target_.digest == target.digest:
            self.changes_ += 1 if current.committed_ else 0
            self.bytes_moved_ += moves * self.costs_.expert_bytes

    async def _stage(self, target):
        """Have all ranks load the weights; return whether all of them succeeded."""
        body = self.member.maps.to_body(target)
        item = experts.Stage(body.group, body.digest, body.shape, body.content)
        self._staging = target.digest
        self._staged_by_rank = {}
        self._staged.clear()
        for rank in self._peers():
            self.links.start(self.links.send(rank, item), "stage")
        try:
            async with asyncio.timeout(self.member.settings.interval_s * 2):
                await self.member.maps.stage(body)
                self._staged_by_rank[self.member.settings.rank] = True
                while len(self._staged_by_rank) < self.member.ranks:
                    self._staged.clear()
                    await self._staged.wait()
        except TimeoutError:
            missing = sorted(set(range(self.member.ranks)) - set(self._staged_by_rank))
            _log.emit(
                base.Event.WEIGHTS_FAILED,
                error=f"ranks {missing} have not loaded the weights",
            )
            return False
        return all(self._staged_by_rank.values())

    async def _on_report(self, connection, item):
        if item.group == self.member.settings.name:
            self.loads_.record_report(item)

    async def _on_staged(self, connection, item):
        if item.digest == self._staging:
            self._staged_by_rank[item.rank] = item.ready
            self._staged.set()

    def _is_leader(self):
        settings = self.member.settings
        if settings.rank == 0:
            return True
        delay_intervals = (
            LEAD_DELAY_INTERVALS + LEAD_DELAY_INTERVALS_PER_RANK * settings.rank
        )
        silent_s = time.monotonic() - self.member.leader_heard_at_
        return silent_s > delay_intervals * settings.report_interval_s

    def _can_start_round(self):
        state = self.member.state_
        return state is not None and state.joined_ and not self.rounds.is_running

    def _peers(self):
        own = self.member.settings.rank
        return [rank for rank in range(self.member.ranks) if rank != own]
