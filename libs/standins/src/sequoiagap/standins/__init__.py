"""Stand-ins for outside systems, with fault switches, and the load tool."""

from sequoiagap.standins._fleet import Fleet, FleetPlan, Process
from sequoiagap.standins._load import AccountLoad, LoadGenerator, run_load
from sequoiagap.standins._report import LoadBook, LoadReport

__all__ = [
    "AccountLoad",
    "Fleet",
    "FleetPlan",
    "LoadBook",
    "LoadGenerator",
    "LoadReport",
    "Process",
    "run_load",
]
