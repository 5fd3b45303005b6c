"""Agent beside a rank's engine: load reports and changes of the expert map."""

from sequoiagap.ranks._agent import RankAgent, run
from sequoiagap.ranks._change import (
    STEP_GUARD,
    ChangePlan,
    ChangeResult,
    KeeperQuery,
    MapChange,
    RankReply,
    Step,
    make_safe,
    make_version,
    may_begin,
    release,
    resolve_hold,
)
from sequoiagap.ranks._demand import GroupDemand
from sequoiagap.ranks._keeper import HeldChange, Keeper
from sequoiagap.ranks._leader import GroupLeader
from sequoiagap.ranks._ports import (
    EngineReport,
    ExpertCounts,
    OrderKind,
    OrderResult,
    RankEngine,
    RankOrder,
)

__all__ = [
    "STEP_GUARD",
    "KeeperQuery",
    "ChangePlan",
    "ChangeResult",
    "EngineReport",
    "ExpertCounts",
    "GroupDemand",
    "GroupLeader",
    "HeldChange",
    "Keeper",
    "MapChange",
    "OrderKind",
    "OrderResult",
    "RankAgent",
    "RankEngine",
    "RankOrder",
    "RankReply",
    "Step",
    "make_safe",
    "make_version",
    "may_begin",
    "release",
    "resolve_hold",
    "run",
]
