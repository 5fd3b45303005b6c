"""Leads a group: gathers reports, plans maps, stages weights, starts rounds."""

import asyncio
import time

from sequoiagap import base, experts
from sequoiagap.agent import _group_loads

TICK_S = 0.1
SETTLE_AFTER_S = 0.4
SETTLE_STAGGER_S = 0.4
SETTLE_STAGGER_RANKS = 8  # ranks beyond this one wait no longer
UNKNOWN_MAP_PATIENCE = 2  # plans that are left out to ask for the map in use
LEAD_AFTER_INTERVALS = 2.5
LEAD_STAGGER_INTERVALS = 0.5

_log = base.get_logger("rebalance")


class Rebalancer:
    """Leads the group while no lower rank does.

    Two leaders do no harm: the epochs of their rounds keep them apart.

    :param GroupMember member: the own rank.
    :param GroupLinks links: connections to the other ranks.
    :param RoundRunner rounds: runs rounds.
    :param sequoiagap.config.ConfigHolder holder: configuration in force.
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
        self._asked = 0
        self.bytes_moved_ = 0
        self._staged_by_rank = {}
        self._staged = asyncio.Event()
        links.handlers_.add(experts.RankReport, self._on_report)
        links.handlers_.add(experts.Staged, self._on_staged)

    async def run(self):
        """Lead, and settle what is stuck, until cancelled."""
        await asyncio.gather(
            self._settle_forever(), self._gather_forever(), self._plan_forever()
        )

    def dump_state(self):
        """Return the part of the state dump about rebalancing.

        :rtype: dict
        """
        return {
            "leads": self._leads(),
            "policy": self.member.settings.policy,
            "skew": round(self.loads_.skew_, 3),
            "rank_speeds": [round(s, 3) for s in self.loads_.speeds_.speeds_],
            "changes": self.changes_,
            "bytes_moved": self.bytes_moved_,
            "rounds": self.rounds.rounds_,
            "known_maps": sorted(self.member.maps.by_digest),
        }

    async def _settle_forever(self):
        """Start a round when the group waits for a decision."""
        rank = min(self.member.settings.rank, SETTLE_STAGGER_RANKS)
        patience_s = SETTLE_AFTER_S + SETTLE_STAGGER_S * rank
        while True:
            await asyncio.sleep(TICK_S)
            report = self.member.report_
            quiet_s = time.monotonic() - self.member.prepared_at_
            if report is None or min(report.blocked_s, quiet_s) < patience_s:
                continue
            if self._round_is_free():
                await self.rounds.run()
                await asyncio.sleep(patience_s)

    async def _gather_forever(self):
        while True:
            await asyncio.sleep(self.member.settings.report_interval_s)
            if not self._leads() or self.member.report_ is None:
                continue
            request = experts.ReportRequest(
                self.member.settings.name, self.member.settings.rank
            )
            own = await self.member.make_report()
            if own is not None:
                self.loads_.add(own)
            for rank in self._peers():
                self.links.start(self.links.send(rank, request), "report-request")

    async def _plan_forever(self):
        while True:
            await asyncio.sleep(self.member.settings.interval_s)
            if not self._leads() or not self._round_is_free():
                continue
            try:
                wanted = await self._choose_map()
                if wanted is not None:
                    await self._change_to(wanted)
            except base.SequoiagapError as error:
                _log.emit(base.Event.WEIGHTS_FAILED, error=error.message)

    async def _choose_map(self):
        """Return the map to change to, or ``None`` to stay."""
        committed = self.member.state_.committed_
        if not committed.version:
            return self.member.maps.initial_map
        current = self.member.maps.by_digest.get(committed.digest)
        if current is None:
            return self._find_unknown(committed.digest)
        self._asked = 0
        complete = self.loads_.close_interval(committed.version, current)
        orders = self.holder.current_.document.groups.get(self.member.settings.name)
        if orders is not None and orders.pinned_map is not None:
            return self._pinned(orders.pinned_map, current)
        if not complete or (orders is not None and not orders.rebalance):
            return None
        plan = self.policy_.plan(self.loads_.plan_input(current))
        planned = await experts.finish_in_slices(plan)
        return planned if planned.digest != current.digest else None

    def _pinned(self, digest, current):
        if digest == current.digest:
            return None
        pinned = self.member.maps.by_digest.get(digest)
        if pinned is None:
            self._ask_for(digest)
        return pinned

    def _find_unknown(self, digest):
        """Ask for the map in use; give it up where no agent knows it any more."""
        self._asked += 1
        if self._asked > UNKNOWN_MAP_PATIENCE:
            return self.member.maps.initial_map
        self._ask_for(digest)
        return None

    def _ask_for(self, digest):
        _log.emit(
            base.Event.MAP_UNKNOWN, group=self.member.settings.name, digest=digest
        )
        self.member.maps.ask_for(digest)

    async def _change_to(self, wanted):
        committed = self.member.state_.committed_
        current = self.member.maps.by_digest.get(committed.digest, wanted)
        moves = len(experts.moves_between(current, wanted))
        _log.emit(
            base.Event.MAP_PLANNED,
            group=self.member.settings.name,
            digest=wanted.digest,
            moves=moves,
            skew=self.loads_.skew_,
            config_version=self.holder.current_.number,
        )
        if not await self._stage(wanted):
            return
        current = await self.rounds.run(wanted.digest)
        if current is not None and current.target_.digest == wanted.digest:
            self.changes_ += 1 if current.committed_ else 0
            self.bytes_moved_ += moves * self.costs_.expert_bytes

    async def _stage(self, wanted):
        """Have every rank load the weights; tell whether all did."""
        body = self.member.maps.to_body(wanted)
        item = experts.Stage(body.group, body.digest, body.shape, body.content)
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
            late = sorted(set(range(self.member.ranks)) - set(self._staged_by_rank))
            _log.emit(base.Event.WEIGHTS_FAILED, error=f"ranks {late} are not ready")
            return False
        return all(self._staged_by_rank.values())

    async def _on_report(self, connection, item):
        if item.group == self.member.settings.name:
            self.loads_.add(item)

    async def _on_staged(self, connection, item):
        self._staged_by_rank[item.rank] = item.ready
        self._staged.set()

    def _leads(self):
        settings = self.member.settings
        if settings.rank == 0:
            return True
        wait = LEAD_AFTER_INTERVALS + LEAD_STAGGER_INTERVALS * settings.rank
        silent_s = time.monotonic() - self.member.heard_at_
        return silent_s > wait * settings.report_interval_s

    def _round_is_free(self):
        state = self.member.state_
        return state is not None and state.joined_ and not self.rounds.is_running

    def _peers(self):
        own = self.member.settings.rank
        return [rank for rank in range(self.member.ranks) if rank != own]
