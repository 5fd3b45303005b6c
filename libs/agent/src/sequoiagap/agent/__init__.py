"""The process beside each endpoint."""

from sequoiagap.agent._agent import Agent, run
from sequoiagap.agent._guard import ConfigGuard
from sequoiagap.agent._orders import OrderDesk
from sequoiagap.agent._spread import ConfigSpread

__all__ = ["Agent", "ConfigGuard", "ConfigSpread", "OrderDesk", "run"]
