"""Planning of a group's next expert map, and whether it is worth its copies.

Handles demand that shifts every few seconds, ranks that become slow, and passes that
may take longer the further they are below the longest pause that callers tolerate.
"""

import dataclasses
import time

from sequoiagap import experts
from sequoiagap.ranks import _pass_time

MIN_SAVING = 0.05  # minimum share of a pass that a change has to save
COPY_COST_RANK_S = 0.48  # time of one rank that each copy has to save
HORIZON_S = 4.0  # time for which demand is expected to stay similar
TARGET_SKEW = 1.08
COPIES_PER_RANK = 3  # in one change; each delays the switch by the time of a copy
SLOW_RANK_FACTOR = 1.15  # slowness above which a rank is planned as slow


@dataclasses.dataclass(frozen=True)
class Improvement:
    """Map that is better than the one in use.

    :param experts.Holdings holdings: the map.
    :param int copies: number of experts that have to be copied for it.
    :param float skew: longest over mean time of the ranks with the map in use.
    :param float planned_skew: the same with the new map.
    :param float target_skew: skew that planning aimed at.
    :param int slow_ranks: number of ranks that were planned as slow.
    :param float took_s: duration of the planning, in seconds.
    """

    holdings: experts.Holdings
    copies: int
    skew: float
    planned_skew: float
    target_skew: float
    slow_ranks: int
    took_s: float


class MapPlanner:
    """Plans the next map of a group.

    :param routes.EngineProfile profile: profile of the group's engines.
    :param int size: number of ranks in the group.
    :param float longest_pause_s: longest pause between two events that callers
        tolerate, in seconds; 0 for no limit.
    :param base.Metrics metrics: metrics of the process.

    :ivar PassTimer timer: measures the duration of the group's passes.
    """

    def __init__(self, profile, size, longest_pause_s, metrics):
        self.profile = profile
        self.size = size
        self.longest_pause_s = longest_pause_s
        self.metrics = metrics
        self.pace = make_pace(profile, size)
        self.timer = _pass_time.PassTimer(self.pace.expert_share)

    def time_passes(self, holdings, loads, report_by_rank, step):
        """Record a reading of the last pass that was started.

        :param experts.Holdings holdings: the map in use.
        :param list loads: number of choices of each expert since the previous reading.
        :param dict report_by_rank: newest reports.
        :param int step: number of the pass.
        """
        skew = experts.holdings_skew(holdings, loads, self._rank_costs(report_by_rank))
        is_busy = any(report.running for report in report_by_rank.values())
        self.timer.record(step, time.monotonic(), is_busy, skew)
        self.metrics.set_gauge("group_pass_seconds", self.timer.even_pass_s_)

    async def plan(self, holdings, loads, report_by_rank):
        """Return a better map, or ``None`` if none is worth its copies.

        :param experts.Holdings holdings: the map in use.
        :param list loads: predicted share of each expert, layer by layer.
        :param dict report_by_rank: newest reports.
        :rtype: Improvement | None
        """
        began = time.monotonic()
        costs = self._rank_costs(report_by_rank)
        skew = experts.holdings_skew(holdings, loads, costs)
        self.metrics.set_gauge("group_step_skew", skew)
        target = self.timer.tolerable_skew(self.longest_pause_s, TARGET_SKEW)
        pace = dataclasses.replace(self.pace, target_skew=target)
        planned, copies = await experts.finish_in_slices(
            experts.plan_bounded(holdings, loads, pace, costs)
        )
        if planned == holdings:
            return None
        found = Improvement(
            holdings=planned,
            copies=copies,
            skew=skew,
            planned_skew=experts.holdings_skew(planned, loads, costs),
            target_skew=target,
            slow_ranks=sum(cost > 1.0 for cost in costs),
            took_s=time.monotonic() - began,
        )
        return found if self._is_worthwhile(found) else None

    def _rank_costs(self, report_by_rank):
        """Return each rank's relative time for the same work; 1 for usual speed."""
        slowness = [
            report_by_rank[rank].slowness if rank in report_by_rank else 1.0
            for rank in range(self.size)
        ]
        return tuple(s if s > SLOW_RANK_FACTOR else 1.0 for s in slowness)

    def _is_worthwhile(self, found):
        share = self.pace.expert_share
        before = 1.0 - share + share * found.skew
        after = 1.0 - share + share * found.planned_skew
        saving = 1.0 - after / before
        cost = found.copies * self.pace.copy_s / self.pace.horizon_s
        return saving >= MIN_SAVING and saving > cost


def make_pace(profile, size):
    """Return the costs and limits that a plan for a group has to respect.

    A copy takes bandwidth of one rank, while shorter passes save time of all ranks; so
    the larger the group, the smaller the share of a pass that a copy has to save.

    :param routes.EngineProfile profile: profile of the group's engines.
    :param int size: number of ranks in the group.
    :rtype: sequoiagap.experts.PlanLimits
    """
    return experts.PlanLimits(
        new_per_rank=profile.new_per_change,
        copies_per_rank=COPIES_PER_RANK,
        copy_s=COPY_COST_RANK_S / size,
        horizon_s=HORIZON_S,
        expert_share=profile.expert_share or 1.0,
        target_skew=TARGET_SKEW,
    )
