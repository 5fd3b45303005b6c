"""Stand-ins for outside systems, with fault switches, and the load tool."""

from sequoiagap.standins._engine_orders import EngineOrders
from sequoiagap.standins._fleet import Fleet, FleetPlan, Process
from sequoiagap.standins._load import LoadReport, run_load
from sequoiagap.standins._platform import PlatformStandIn
from sequoiagap.standins._rank_fleet import RankFleet, RankFleetPlan
from sequoiagap.standins._relay import LinkMode, Relay
from sequoiagap.standins._relays import Relays
from sequoiagap.standins._serve import start

__all__ = [
    "EngineOrders",
    "Fleet",
    "FleetPlan",
    "LinkMode",
    "LoadReport",
    "PlatformStandIn",
    "Process",
    "RankFleet",
    "RankFleetPlan",
    "Relay",
    "Relays",
    "run_load",
    "start",
]
