"""Stand-ins for outside systems, with fault switches, and the load tool."""

from sequoiagap.standins._fleet import Fleet, FleetPlan, Process
from sequoiagap.standins._load import LoadReport, run_load
from sequoiagap.standins._relay import LinkMode, Relay
from sequoiagap.standins._relays import Relays

__all__ = [
    "Fleet",
    "FleetPlan",
    "LinkMode",
    "LoadReport",
    "Process",
    "Relay",
    "Relays",
    "run_load",
]
