"""Which map a group should have next, and whether it is worth its copies.

The load that it answers: demand that shifts every few seconds, ranks that turn slow,
and passes that may be the longer the further they are from the pause that callers bear.
"""

import dataclasses
import time

from sequoiagap import experts
from sequoiagap.ranks import _pass_time

MIN_SAVING = 0.05  # share of a pass that a change has to save
COPY_RANK_S = 0.48  # time of one rank that a copy has to save
HORIZON_S = 4.0  # demand is expected to stay alike for this long
TARGET_SKEW = 1.08
COPIES_PER_RANK = 3  # of one change; each delays the switch by a copy's time
SLOW_RANK = 1.15  # a rank that takes longer than this is planned as a slow one


@dataclasses.dataclass(frozen=True)
class Improvement:
    """A map that is better than the one in use.

    :param experts.Holdings holdings: the map.
    :param int copies: experts that have to be copied for it.
    :param float skew: longest over even time of the ranks with the map in use.
    :param float planned_skew: the same with the new one.
    :param float target_skew: skew that would have been good enough.
    :param int slow_ranks: ranks that were planned as slow ones.
    :param float took_s: how long planning took, in seconds.
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

    :param routes.EngineProfile terms: terms of the group's engines.
    :param int size: ranks of the group.
    :param float longest_pause_s: longest pause between two events that callers bear,
        in seconds; 0 for none.
    :param base.Metrics metrics: metrics of the process.

    :ivar PassTimer timer: times the group's passes.
    """

    def __init__(self, terms, size, longest_pause_s, metrics):
        self.terms = terms
        self.size = size
        self.longest_pause_s = longest_pause_s
        self.metrics = metrics
        self.pace = make_pace(terms, size)
        self.timer = _pass_time.PassTimer(self.pace.expert_share)

    def time_passes(self, holdings, loads, report_by_rank, step):
        """Take a reading of the last pass that was begun.

        :param experts.Holdings holdings: the map in use.
        :param list loads: choices of each expert since the reading before.
        :param dict report_by_rank: newest reports.
        :param int step: the pass.
        """
        skew = experts.holdings_skew(holdings, loads, self._costs(report_by_rank))
        is_busy = any(report.running for report in report_by_rank.values())
        self.timer.take(step, time.monotonic(), is_busy, skew)
        self.metrics.set_gauge("group_pass_seconds", self.timer.even_pass_s_)

    async def plan(self, holdings, loads, report_by_rank):
        """Return a better map, if there is one that is worth its copies.

        :param experts.Holdings holdings: the map in use.
        :param list loads: predicted share of each expert, layer by layer.
        :param dict report_by_rank: newest reports.
        :rtype: Improvement | None
        """
        began = time.monotonic()
        costs = self._costs(report_by_rank)
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
        return found if self._pays(found) else None

    def _costs(self, report_by_rank):
        """Return the time of each rank for the same work, 1 for a usual one."""
        slowness = [
            report_by_rank[rank].slowness if rank in report_by_rank else 1.0
            for rank in range(self.size)
        ]
        return tuple(s if s > SLOW_RANK else 1.0 for s in slowness)

    def _pays(self, found):
        share = self.pace.expert_share
        before = 1.0 - share + share * found.skew
        after = 1.0 - share + share * found.planned_skew
        saving = 1.0 - after / before
        cost = found.copies * self.pace.copy_s / self.pace.horizon_s
        return saving >= MIN_SAVING and saving > cost


def make_pace(terms, size):
    """Return what plans for a group have to bring.

    A copy takes bandwidth of one rank; shorter passes save the time of all of them, so
    the larger the group, the less of a pass a copy has to save.

    :param routes.EngineProfile terms: terms of the group's engines.
    :param int size: ranks of the group.
    :rtype: sequoiagap.experts.PlanLimits
    """
    return experts.PlanLimits(
        new_per_rank=terms.new_per_change,
        copies_per_rank=COPIES_PER_RANK,
        copy_s=COPY_RANK_S / size,
        horizon_s=HORIZON_S,
        expert_share=terms.expert_share or 1.0,
        target_skew=TARGET_SKEW,
    )
