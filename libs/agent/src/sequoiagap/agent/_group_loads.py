"""Loads and speeds of a group, gathered from the reports of its ranks."""

from sequoiagap import experts


class GroupLoads:
    """Turns the ranks' running counts into the input of a plan.

    :param sequoiagap.experts.MapShape shape: dimensions of the maps.

    :ivar float skew_: step-time skew of the last interval; 0 if not known.
    """

    def __init__(self, shape):
        self.shape = shape
        self.skew_ = 0.0
        self.loads_ = experts.LoadEstimator(shape.layers, shape.experts)
        self.speeds_ = experts.SpeedEstimator(shape.ranks)
        self.last_ = self.loads_.predict()
        self._first_by_rank = {}
        self._last_by_rank = {}

    def add(self, report):
        """Keep a report until the next plan.

        :param sequoiagap.experts.RankReport report: the report.
        """
        self._last_by_rank[report.rank] = report
        first = self._first_by_rank.get(report.rank)
        if first is None or not _is_same_run(first, report):
            self._first_by_rank[report.rank] = report

    def close_interval(self, version, placement):
        """Take the reports since the last call.

        A rank that has not reported twice under the current map leaves a gap:
        then the estimates stay.

        :param int version: version of the map in use.
        :param sequoiagap.experts.ExpertMap placement: the map in use.
        :returns: whether there is no gap.
        :rtype: bool
        """
        pairs = []
        for rank in range(self.shape.ranks):
            first = self._first_by_rank.get(rank)
            last = self._last_by_rank.get(rank)
            if not _continues(first, last) or last.map_version != version:
                return False
            pairs.append((first, last))
        self._first_by_rank = dict(self._last_by_rank)
        self._update(placement, pairs)
        return True

    def plan_input(self, placement):
        """Return the input of a plan.

        :param sequoiagap.experts.ExpertMap placement: the map in use.
        :rtype: sequoiagap.experts.PlanInput
        """
        return experts.PlanInput(
            placement,
            self.loads_.predict(),
            self.last_,
            self.speeds_.speeds_,
            self.loads_.effective_tokens(),
        )

    def _update(self, placement, pairs):
        # Ranks report at different moments, so only rates can be compared.
        rates = [_rate(first, last) for first, last in pairs]
        steps = min(last.step - first.step for first, last in pairs)
        shape = self.shape
        by_layer = {}
        for layer in range(shape.layers):
            row = [0.0] * shape.experts
            for rank, (per_slot, _) in enumerate(rates):
                held = placement.rank_experts(layer, rank)
                start = layer * shape.slots
                for index, expert in enumerate(held):
                    row[expert] += per_slot[start + index]
            # The estimator needs counts: they tell how far to trust the shares.
            by_layer[layer] = [rate * steps for rate in row]
            if sum(row) > 0:
                self.last_[layer] = [rate / sum(row) for rate in row]
        self.loads_.update(by_layer)
        self.speeds_.update([sum(r[0]) for r in rates], [r[1] for r in rates])
        self.skew_ = experts.step_skew(
            [
                experts.rank_times(row, loads, self.speeds_.speeds_, shape.slots)
                for row, loads in zip(placement.rows, self.last_, strict=True)
            ]
        )


def _rate(first, last):
    """Return tokens of each slot and busy time, both for one step."""
    steps = last.step - first.step
    counts = zip(first.counts, last.counts, strict=True)
    per_slot = [max(now - then, 0) / steps for then, now in counts]
    return per_slot, (last.busy_s - first.busy_s) / steps


def _continues(first, last):
    """Tell whether a report counts on from an earlier one."""
    if first is None or last is None or last.step <= first.step:
        return False
    return _is_same_run(first, last)


def _is_same_run(first, last):
    return (first.start_id, first.map_version) == (last.start_id, last.map_version)
