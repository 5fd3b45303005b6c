"""The process beside each endpoint."""

from sequoiagap.agent._agent import Agent, run
from sequoiagap.agent._orders import OrderDesk

__all__ = ["Agent", "OrderDesk", "run"]
