"""Stand-ins for external systems with fault injection, and a load generator."""

from sequoiagap.standins._direct import (
    DirectDialect,
    DirectEndpoint,
    DirectStore,
    EndpointFaults,
    reset_connection,
)
from sequoiagap.standins._engine_orders import EngineOrders
from sequoiagap.standins._fleet import Fleet
from sequoiagap.standins._frame_relay import FrameRelay
from sequoiagap.standins._load import AccountLoad, LoadGenerator, run_load
from sequoiagap.standins._plan import FleetPlan
from sequoiagap.standins._platform import PlatformStandIn
from sequoiagap.standins._process import Process
from sequoiagap.standins._rank_fleet import RankFleet, RankFleetPlan
from sequoiagap.standins._relay import LinkMode, Relay
from sequoiagap.standins._relays import Relays
from sequoiagap.standins._report import LoadReport, LoadReports
from sequoiagap.standins._serve import start

__all__ = [
    "AccountLoad",
    "DirectDialect",
    "DirectEndpoint",
    "DirectStore",
    "EndpointFaults",
    "EngineOrders",
    "Fleet",
    "FleetPlan",
    "FrameRelay",
    "LinkMode",
    "LoadReports",
    "LoadGenerator",
    "LoadReport",
    "PlatformStandIn",
    "Process",
    "RankFleet",
    "RankFleetPlan",
    "Relay",
    "Relays",
    "reset_connection",
    "run_load",
    "start",
]
