"""Expert maps of rank groups: planning, bounds and the change of map."""

from sequoiagap.experts._bound import layer_bound, rank_times, step_skew
from sequoiagap.experts._load import LoadEstimator, SpeedEstimator
from sequoiagap.experts._placement import (
    ExpertMap,
    ExpertMapError,
    MapShape,
    Move,
    initial_map,
    moves_between,
)
from sequoiagap.experts._policies import (
    POLICIES,
    PlanCosts,
    PlanInput,
    finish,
    finish_in_slices,
)

__all__ = [
    "POLICIES",
    "ExpertMap",
    "ExpertMapError",
    "LoadEstimator",
    "MapShape",
    "Move",
    "PlanCosts",
    "PlanInput",
    "SpeedEstimator",
    "finish",
    "finish_in_slices",
    "initial_map",
    "layer_bound",
    "moves_between",
    "rank_times",
    "step_skew",
]
