"""Stand-ins for outside systems, with fault switches, and the load tool."""

from sequoiagap.standins._fleet import Fleet, FleetPlan, Process
from sequoiagap.standins._load import LoadReport, run_load
from sequoiagap.standins._relay import Relay

__all__ = ["Fleet", "FleetPlan", "LoadReport", "Process", "Relay", "run_load"]
